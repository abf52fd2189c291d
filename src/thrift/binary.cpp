#include "thrift/binary.h"

namespace orchidgw::thrift {
namespace {

constexpr int kMaxDepth = 16;  // of nested values

// The smallest encoded size of an element in bytes. Bounds the element count of a container by the bytes that
// are left, so that a short frame can't announce a huge container.
std::size_t min_size(FieldType type) {
  switch (type) {
    case FieldType::kBool:
    case FieldType::kByte:
      return 1;
    case FieldType::kI16:
      return 2;
    case FieldType::kI32:
    case FieldType::kString:
      return 4;
    case FieldType::kI64:
    case FieldType::kDouble:
      return 8;
    case FieldType::kStruct:
      return 1;
    case FieldType::kMap:
      return 6;
    case FieldType::kSet:
    case FieldType::kList:
      return 5;
    case FieldType::kStop:
      return 0;
  }
  return 0;
}

}  // namespace

void Reader::fail() {
  ok_ = false;
  rest_ = {};
}

std::string_view Reader::take(std::size_t n) {
  if (n > rest_.size()) {
    fail();
    return {};
  }
  const std::string_view out = rest_.substr(0, n);
  rest_.remove_prefix(n);
  return out;
}

std::uint8_t Reader::u8() {
  const auto b = take(1);
  return b.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(b[0]);
}

std::uint16_t Reader::u16() {
  const std::uint32_t high = u8();
  const std::uint32_t low = u8();
  return static_cast<std::uint16_t>(high << 8 | low);
}

std::uint32_t Reader::u32() {
  const std::uint32_t high = u16();
  const std::uint32_t low = u16();
  return high << 16 | low;
}

// A negative length is read as a huge unsigned one, and fails.
std::string_view Reader::bytes() { return take(u32()); }

void Reader::skip_all(std::uint32_t count, FieldType key, FieldType value, int depth) {
  const std::size_t min_element_size = min_size(key) + min_size(value);
  if (count > 0 && (min_element_size == 0 || count > rest_.size() / min_element_size)) return fail();
  for (std::uint32_t i = 0; i < count && ok_; ++i) {
    if (key != FieldType::kStop) skip(key, depth + 1);
    skip(value, depth + 1);
  }
}

void Reader::skip(FieldType type, int depth) {
  if (depth > kMaxDepth) return fail();
  switch (type) {
    case FieldType::kBool:
    case FieldType::kByte:
      take(1);
      return;
    case FieldType::kI16:
      take(2);
      return;
    case FieldType::kI32:
      take(4);
      return;
    case FieldType::kI64:
    case FieldType::kDouble:
      take(8);
      return;
    case FieldType::kString:
      bytes();
      return;
    case FieldType::kStruct:
      while (ok_) {
        const auto inner = static_cast<FieldType>(u8());
        if (inner == FieldType::kStop) return;
        u16();
        skip(inner, depth + 1);
      }
      return;
    case FieldType::kMap: {
      const auto key = static_cast<FieldType>(u8());
      const auto value = static_cast<FieldType>(u8());
      const auto count = u32();
      return skip_all(count, key, value, depth);
    }
    case FieldType::kSet:
    case FieldType::kList: {
      const auto value = static_cast<FieldType>(u8());
      const auto count = u32();
      return skip_all(count, FieldType::kStop, value, depth);
    }
    case FieldType::kStop:
      break;
  }
  fail();
}

void Writer::u16(std::uint16_t value) {
  u8(static_cast<std::uint8_t>(value >> 8));
  u8(static_cast<std::uint8_t>(value & 0xff));
}

void Writer::u32(std::uint32_t value) {
  u16(static_cast<std::uint16_t>(value >> 16));
  u16(static_cast<std::uint16_t>(value & 0xffff));
}

void Writer::bytes(std::string_view value) {
  u32(static_cast<std::uint32_t>(value.size()));
  out_ += value;
}

void Writer::message(MessageType type, std::string_view name, std::int32_t sequence) {
  u32(kVersion1 | static_cast<std::uint32_t>(type));
  bytes(name);
  u32(static_cast<std::uint32_t>(sequence));
}

void Writer::field(FieldType type, std::uint16_t id) {
  u8(static_cast<std::uint8_t>(type));
  u16(id);
}

void Writer::text_map(const std::map<std::string, std::string>& values) {
  u8(static_cast<std::uint8_t>(FieldType::kString));
  u8(static_cast<std::uint8_t>(FieldType::kString));
  u32(static_cast<std::uint32_t>(values.size()));
  for (const auto& [key, value] : values) {
    bytes(key);
    bytes(value);
  }
}

}  // namespace orchidgw::thrift
