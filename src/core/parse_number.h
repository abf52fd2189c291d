// Converts a text to a number; nullopt unless the entire text is that number.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>

namespace orchidgw::core {

template <typename Integer>
std::optional<Integer> parse_integer(std::string_view text, int base = 10) {
  Integer value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value, base);
  if (error != std::errc() || end != last) return std::nullopt;
  return value;
}

// Also nullopt for infinities and NaN.
inline std::optional<double> parse_finite_double(std::string_view text) {
  double value = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  if (error != std::errc() || end != last || !std::isfinite(value)) return std::nullopt;
  return value;
}

}  // namespace orchidgw::core
