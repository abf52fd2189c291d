#include "thrift/frame_reader.h"

#include <algorithm>

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
  const std::size_t n = std::min<std::size_t>(bytes.size(), length_ - body_.size());
  body_.append(bytes.substr(0, n));
  bytes.remove_prefix(n);
  if (body_.size() < length_) return Result::kNeedMore;
  complete_ = true;
  return Result::kFrame;
}

}  // namespace orchidgw::thrift
