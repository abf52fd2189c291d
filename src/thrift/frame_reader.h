// Cuts a stream of bytes, split and merged anywhere, into frames of Thrift's framed transport.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace orchidgw::thrift {

class FrameReader {
 public:
  enum class Result { kMore, kFrame, kBroken };

  explicit FrameReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Takes bytes off the front of `bytes` until a frame is whole or none are left.
  Result feed(std::string_view& bytes);

  const std::string& frame() const { return body_; }  // after kFrame, until the next feed
  // What a frame that is not whole takes, with the room that its string has beyond it.
  std::size_t gathered() const { return inside() ? body_.capacity() : 0; }
  bool inside() const { return length_bytes_ > 0 && !complete_; }

 private:
  std::size_t max_bytes_;
  std::uint32_t length_ = 0;
  int length_bytes_ = 0;
  bool complete_ = false;
  std::string body_;
};

}  // namespace orchidgw::thrift
