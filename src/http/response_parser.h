// Reads HTTP/1.1 answers from bytes split anywhere; lines, headers and bodies are bounded. No I/O.
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
  bool keep_alive = true;
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  const std::string* find(std::string_view lower_name) const;
};

class ResponseParser {
 public:
  enum class Result {
    kMore,    // all bytes are taken, the answer goes on
    kBody,    // `piece` holds bytes of the body
    kDone,    // the answer is whole; bytes behind it are left
    kBroken,  // the protocol or a bound is broken
  };

  explicit ResponseParser(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

  // Takes bytes off the front of `bytes`. Call again until kMore, kDone or kBroken.
  Result feed(std::string_view& bytes);

  const ResponseHead& head() const { return head_; }
  std::string_view piece() const { return piece_; }
  bool begun() const { return begun_; }  // a byte of an answer has come
  void reset();                          // for the next answer on the connection

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
