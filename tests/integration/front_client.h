// A client of the controller's Thrift service `Front`, on libthrift's transports and protocol.
#pragma once

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace orchidgw::integration {

struct FrontAnswer {
  // kClosed: there was no whole answer (the connection ended, or nothing came for 20 s).
  enum class Kind { kServed, kRefused, kFailed, kApplicationException, kPong, kClosed };
  Kind kind = Kind::kClosed;
  std::int32_t sequence = 0;
  std::string body;  // result rows; of kApplicationException: its message
  bool good = false;
  std::map<std::string, std::string> fields;
};

class FrontClient {
 public:
  explicit FrontClient(const std::string& address);
  ~FrontClient() { close(); }

  // Sends a valid request; `more` adds fields to it or replaces them. Sends throw apache::thrift::TException
  // once the connection has ended.
  void invoke(std::int32_t sequence, const std::map<std::string, std::string>& more = {},
              const std::string& statement = "select * from sales_3.orders");
  // The reference (field `ref`) that `invoke` gives to the request of that sequence number. Clients of one
  // process never share a reference.
  std::string reference_of(std::int32_t sequence) const;
  // The bytes that `invoke` would write.
  std::string encode_invoke(std::int32_t sequence, const std::map<std::string, std::string>& more = {});
  void abort(std::int32_t aborted);  // aborts the request of that sequence number; has no answer
  void ping(std::int32_t sequence);
  void call(const std::string& method, std::int32_t sequence);  // of any method, without fields
  void send_raw(const std::string& bytes);                      // writes these bytes, unframed
  FrontAnswer receive();                                        // waits for the next answer
  // Whether the controller has ended the connection and nothing is left to read; does not wait.
  bool ended_by_peer() const;
  void close();

 private:
  void write_invoke(apache::thrift::protocol::TProtocol& protocol, std::int32_t sequence,
                    const std::map<std::string, std::string>& more, const std::string& statement) const;
  void read_result(FrontAnswer& answer);
  void read_answer_struct(FrontAnswer& answer);
  void read_fields_struct(FrontAnswer& answer);
  std::map<std::string, std::string> read_map();

  unsigned number_ = 0;  // of this client within the process
  std::shared_ptr<apache::thrift::transport::TSocket> socket_;
  std::shared_ptr<apache::thrift::transport::TFramedTransport> framed_;
  std::unique_ptr<apache::thrift::protocol::TBinaryProtocol> protocol_;
};

}  // namespace orchidgw::integration
