#include "config/address.h"

#include <arpa/inet.h>

#include <string_view>

#include "core/parse_number.h"

namespace orchidgw::config {

std::optional<core::Address> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  core::Address address;
  address.host = text.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, address.host.c_str(), &parsed) != 1) return std::nullopt;
  const auto port = core::parse_integer<std::uint16_t>(std::string_view(text).substr(colon + 1));
  if (!port || *port == 0) return std::nullopt;
  address.port = *port;
  return address;
}

}  // namespace orchidgw::config
