#include "thrift/frame_reader.h"

#include <algorithm>
#include <utility>

namespace orchidgw::thrift {
namespace {

constexpr int kLengthBytes = 4;
// Capacity that is kept between frames: one large frame must not hold its memory for good.
constexpr std::size_t kMaxKeptCapacity = 4096;

}  // namespace

FrameReader::Result FrameReader::feed(std::string_view& bytes) {
  if (complete_) {
    complete_ = false;
    length_bytes_ = 0;
    length_ = 0;
    received_bytes_ = 0;
    discarding_ = false;
    body_.clear();
    if (body_.capacity() > kMaxKeptCapacity) body_.shrink_to_fit();
  }
  while (length_bytes_ < kLengthBytes) {
    if (bytes.empty()) return Result::kNeedMore;
    length_ = length_ << 8 | static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    ++length_bytes_;
  }
  if (length_ == 0 || length_ > max_bytes_) return Result::kBroken;  // a negative length reads as a huge one
  const std::size_t n = std::min<std::size_t>(bytes.size(), length_ - received_bytes_);
  const std::size_t room = discarding_ ? kFramePrefixBytes - std::min(body_.size(), kFramePrefixBytes) : n;
  append_to_body(bytes.substr(0, std::min(n, room)));
  received_bytes_ += n;
  bytes.remove_prefix(n);
  if (received_bytes_ < length_) return Result::kNeedMore;
  complete_ = true;
  return Result::kFrame;
}

// A string that grows by itself may take twice the frame's length.
void FrameReader::append_to_body(std::string_view bytes) {
  const std::size_t size = body_.size() + bytes.size();
  if (size > body_.capacity()) {
    std::string larger;
    larger.reserve(std::min<std::size_t>(2 * size, length_));
    larger.append(body_);
    body_ = std::move(larger);
  }
  body_.append(bytes);
}

std::size_t FrameReader::missing_bytes() const {
  return in_frame() && length_bytes_ == kLengthBytes ? length_ - received_bytes_ : 0;
}

void FrameReader::discard_body() {
  if (!in_frame()) return;
  discarding_ = true;
  if (body_.capacity() > kFramePrefixBytes) body_ = std::string(body_, 0, kFramePrefixBytes);
}

}  // namespace orchidgw::thrift
