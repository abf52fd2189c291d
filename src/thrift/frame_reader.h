// Splits a byte stream, which arrives in pieces of any size, into frames of Thrift's framed transport.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace orchidgw::thrift {

// How much of a frame is kept once its body is discarded: enough for a message's name and sequence number.
inline constexpr std::size_t kFramePrefixBytes = 256;

class FrameReader {
 public:
  // kNeedMore: more bytes are needed. kFrame: frame() is complete. kBroken: the frame is empty or too large.
  enum class Result { kNeedMore, kFrame, kBroken };

  // `max_bytes`: the largest frame that is accepted, without its length field.
  explicit FrameReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Removes bytes from the front of `bytes` until a frame is complete or no bytes are left.
  Result feed(std::string_view& bytes);

  // After kFrame, until the next feed. Only its first bytes if its body was discarded.
  const std::string& frame() const { return body_; }
  // Frees what the incomplete frame holds beyond its first kFramePrefixBytes. Of what still arrives of it,
  // nothing beyond them is kept either; the frame completes as usual.
  void discard_body();
  // The body of the frame begun, or complete, was discarded and is longer than kFramePrefixBytes.
  bool body_discarded() const { return discarding_ && length_ > kFramePrefixBytes; }
  // Bytes of memory that an incomplete frame takes: those read and as many again for what is still to come,
  // but never more than the frame's length.
  std::size_t buffered_bytes() const { return in_frame() ? body_.capacity() : 0; }
  // Bytes that are still to come of the frame begun; 0 if there is none or its length is not known yet.
  std::size_t missing_bytes() const;
  // A frame has begun and is not complete.
  bool in_frame() const { return length_bytes_ > 0 && !complete_; }

 private:
  void append_to_body(std::string_view bytes);

  std::size_t max_bytes_;
  std::uint32_t length_ = 0;
  int length_bytes_ = 0;
  std::size_t received_bytes_ = 0;  // of the frame, without its length field
  bool complete_ = false;
  bool discarding_ = false;
  std::string body_;
};

}  // namespace orchidgw::thrift
