// Parses addresses such as "10.0.0.4:7001".
#pragma once

#include <optional>
#include <string>

#include "core/engine_listing.h"

namespace orchidgw::config {

// `text` is an IPv4 address in dotted form and a port from 1 to 65535. Returns nullopt for anything else.
std::optional<core::Address> parse_address(const std::string& text);

}  // namespace orchidgw::config
