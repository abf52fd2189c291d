// Incremental parser of HTTP/1.1 responses; bytes may be split anywhere. Heads and bodies are bounded. No
// I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace orchidgw::http {

struct ResponseHead {
  int status = 0;
  bool keep_alive = true;                                    // the connection may be used again
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  // Returns the value of the first header with that name, or nullptr.
  const std::string* find(std::string_view lower_name) const;
};

class ResponseParser {
 public:
  enum class Result {
    kNeedMore,  // all bytes are consumed and the response is not complete
    kBody,      // piece() holds the next bytes of the body
    kDone,      // the response is complete; bytes after it are left in the input
    kBroken,    // the response breaks the protocol or exceeds a bound
  };

  explicit ResponseParser(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

  // Removes the bytes that it consumes from the front of `bytes`. Call it again after kBody.
  Result feed(std::string_view& bytes);

  const ResponseHead& head() const { return head_; }
  // Part of the bytes that were passed to the last feed(), valid as long as they are.
  std::string_view piece() const { return piece_; }
  bool begun() const { return begun_; }  // a byte of a response has arrived
  void reset();                          // prepares for the next response on the connection

 private:
  enum class State { kStatus, kHeaders, kBody, kDone, kBroken };
  Result fail();
  bool take_line(std::string_view& bytes, std::string& line);
  bool read_status(const std::string& line);
  bool read_header(const std::string& line);
  bool end_headers();

  std::size_t max_body_bytes_;
  State state_ = State::kStatus;
  ResponseHead head_;
  std::string line_;
  std::string_view piece_;
  std::size_t head_bytes_ = 0;
  std::optional<std::size_t> content_length_;
  std::size_t body_bytes_left_ = 0;
  bool begun_ = false;
};

}  // namespace orchidgw::http
