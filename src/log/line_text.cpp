#include "log/line_text.h"

#include <charconv>
#include <cmath>

namespace orchidgw::log {
namespace {

constexpr std::size_t kMaxValueLength = 4096;  // bytes of one value

std::string format_number(double number) {
  if (!std::isfinite(number)) return "null";
  char text[32];
  const auto [end, error] = std::to_chars(text, text + sizeof text, number);
  return error == std::errc() ? std::string(text, end) : "0";
}

bool needs_no_quotes(std::string_view value) {
  if (value.empty()) return false;
  for (const char c : value)
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || static_cast<unsigned char>(c) >= 0x7f) return false;
  return true;
}

}  // namespace

void LineText::append_header(std::string_view level, std::string_view name, std::string_view component,
                             std::string_view event) {
  if (json_) {
    append_member("level", level);
    line_ += ',';
    append_member("name", name);
    line_ += ',';
    append_member("component", component);
    line_ += ',';
    append_member("event", event);
    return;
  }
  line_ += level;
  line_ += ' ';
  append_escaped(name, false);
  line_ += ": ";
  append_escaped(event, false);
  if (component != "net") append_member(" component", component);
}

void LineText::append_field(const Field& field) {
  line_ += json_ ? "," : " ";
  if (const auto* text = std::get_if<std::string_view>(&field.value)) return append_member(field.key, *text);
  if (json_) append_quoted(field.key);
  if (!json_) line_ += field.key;
  line_ += json_ ? ':' : '=';
  if (const auto* whole = std::get_if<std::int64_t>(&field.value)) {
    line_ += std::to_string(*whole);
  } else {
    line_ += format_number(std::get<double>(field.value));
  }
}

void LineText::append_member(std::string_view key, std::string_view value) {
  if (json_) {
    append_quoted(key);
    line_ += ':';
    return append_quoted(value);
  }
  line_ += key;
  line_ += '=';
  if (needs_no_quotes(value)) {
    line_ += value;
  } else {
    append_quoted(value);
  }
}

void LineText::append_quoted(std::string_view value) {
  line_ += '"';
  append_escaped(value, true);
  line_ += '"';
}

// Writes bytes that are not printable ASCII as \u00XX, one by one: the text need not be valid UTF-8.
void LineText::append_escaped(std::string_view value, bool in_quotes) {
  constexpr std::string_view kHex = "0123456789abcdef";
  for (const char c : value.substr(0, kMaxValueLength)) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte >= 0x7f) {
      line_ += "\\u00";
      line_ += kHex[byte >> 4];
      line_ += kHex[byte & 15];
      continue;
    }
    if (in_quotes && (c == '"' || c == '\\')) line_ += '\\';
    line_ += c;
  }
}

}  // namespace orchidgw::log
