// Reader and writer for Thrift's strict binary protocol, on byte strings. The reader never goes beyond its
// bytes, whatever lengths they state. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace orchidgw::thrift {

enum class MessageType : std::uint8_t { kCall = 1, kReply = 2, kException = 3, kOneway = 4 };

enum class FieldType : std::uint8_t {
  kStop = 0,
  kBool = 2,
  kByte = 3,
  kDouble = 4,
  kI16 = 6,
  kI32 = 8,
  kI64 = 10,
  kString = 11,
  kStruct = 12,
  kMap = 13,
  kSet = 14,
  kList = 15
};

inline constexpr std::uint32_t kVersion1 = 0x80010000U;

// Reads from bytes that must outlive it. After an error ok() stays false and every further read returns 0 or
// an empty value.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  bool ok() const { return ok_; }
  std::size_t left() const { return rest_.size(); }
  std::uint8_t u8();
  std::uint16_t u16();
  std::uint32_t u32();
  std::string_view bytes();  // a 32-bit length and that many bytes; refers to the input
  // Skips a value of that type. Fails if structures are nested too deeply; `depth` is for its own recursion.
  void skip(FieldType type, int depth = 0);
  void fail();  // marks the input as invalid

 private:
  std::string_view take(std::size_t n);
  void skip_all(std::uint32_t count, FieldType key, FieldType value, int depth);
  std::string_view rest_;
  bool ok_ = true;
};

// Appends to a string. field() writes a field's header, stop() the end of a structure.
class Writer {
 public:
  void u8(std::uint8_t value) { out_ += static_cast<char>(value); }
  void u16(std::uint16_t value);
  void u32(std::uint32_t value);
  void bytes(std::string_view value);
  void message(MessageType type, std::string_view name, std::int32_t sequence);
  void field(FieldType type, std::uint16_t id);
  void stop() { u8(0); }
  void text_map(const std::map<std::string, std::string>& values);
  const std::string& text() const { return out_; }

 private:
  std::string out_;
};

}  // namespace orchidgw::thrift
