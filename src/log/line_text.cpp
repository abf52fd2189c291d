#include "log/line_text.h"

#include <charconv>
#include <cmath>

namespace orchidgw::log {
namespace {

constexpr std::size_t kValueMost = 4096;  // bytes of one value

std::string number_text(double number) {
  if (!std::isfinite(number)) return "null";
  char text[32];
  const auto [end, error] = std::to_chars(text, text + sizeof text, number);
  return error == std::errc() ? std::string(text, end) : "0";
}

bool plain(std::string_view value) {
  if (value.empty()) return false;
  for (const char c : value)
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || static_cast<unsigned char>(c) >= 0x7f) return false;
  return true;
}

}  // namespace

void LineText::head(std::string_view level, std::string_view name, std::string_view component,
                    std::string_view text) {
  if (json_) {
    member("level", level);
    line_ += ',';
    member("name", name);
    line_ += ',';
    member("component", component);
    line_ += ',';
    member("event", text);
    return;
  }
  line_ += level;
  line_ += ' ';
  escaped(name, false);
  line_ += ": ";
  escaped(text, false);
  if (component != "net") member(" component", component);
}

void LineText::field(const Field& field) {
  line_ += json_ ? "," : " ";
  if (const auto* text = std::get_if<std::string_view>(&field.value)) return member(field.key, *text);
  if (json_) quoted(field.key);
  if (!json_) line_ += field.key;
  line_ += json_ ? ':' : '=';
  if (const auto* whole = std::get_if<std::int64_t>(&field.value)) {
    line_ += std::to_string(*whole);
  } else {
    line_ += number_text(std::get<double>(field.value));
  }
}

void LineText::member(std::string_view key, std::string_view value) {
  if (json_) {
    quoted(key);
    line_ += ':';
    return quoted(value);
  }
  line_ += key;
  line_ += '=';
  if (plain(value)) {
    line_ += value;
  } else {
    quoted(value);
  }
}

void LineText::quoted(std::string_view value) {
  line_ += '"';
  escaped(value, true);
  line_ += '"';
}

// What is no plain ASCII is written as \u00XX, byte by byte: whether it is UTF-8 is not known.
void LineText::escaped(std::string_view value, bool in_quotes) {
  constexpr std::string_view kHex = "0123456789abcdef";
  for (const char c : value.substr(0, kValueMost)) {
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
