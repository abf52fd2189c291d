// A client of the front, on libthrift's transports and protocol.
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
  enum class Kind { kServed, kRefused, kFailed, kApplicationException, kPong, kClosed };
  Kind kind = Kind::kClosed;
  std::int32_t sequence = 0;
  std::string body;
  bool good = false;
  std::map<std::string, std::string> fields;
};

class FrontClient {
 public:
  explicit FrontClient(const std::string& address);
  ~FrontClient() { close(); }

  // Fields of a usable request; overwritten by `more`.
  void invoke(std::int32_t sequence, const std::map<std::string, std::string>& more = {},
              const std::string& statement = "select * from sales_3.orders");
  // The reference that `invoke` gives a request of that number; no other client's has it.
  std::string reference_of(std::int32_t sequence) const;
  // The bytes that `invoke` would write.
  std::string bytes_of_invoke(std::int32_t sequence, const std::map<std::string, std::string>& more = {});
  void abort(std::int32_t aborted);
  void ping(std::int32_t sequence);
  void call(const std::string& method, std::int32_t sequence);
  void raw(const std::string& bytes);
  FrontAnswer receive();       // the next answer; kClosed if there is none
  bool ended_by_peer() const;  // and nothing is left to be read before that
  void close();

 private:
  void write_invoke(apache::thrift::protocol::TProtocol& protocol, std::int32_t sequence,
                    const std::map<std::string, std::string>& more, const std::string& statement) const;
  void read_result(FrontAnswer& answer);
  void read_answer_struct(FrontAnswer& answer);
  void read_fields_struct(FrontAnswer& answer);
  std::map<std::string, std::string> read_map();

  unsigned number_ = 0;
  std::shared_ptr<apache::thrift::transport::TSocket> socket_;
  std::shared_ptr<apache::thrift::transport::TFramedTransport> framed_;
  std::unique_ptr<apache::thrift::protocol::TBinaryProtocol> protocol_;
};

}  // namespace orchidgw::integration
