// The change log's protocol, which has one request. No I/O.
#pragma once

#include <cstdint>
#include <string>

#include "core/engine_listing.h"
#include "decision/decision.h"

namespace orchidgw::http {

// Returns the HTTP request for the events after number `since`. It is a long poll: the server answers after
// `hold` (us) at the latest.
std::string write_changes_call(const core::Address& to, std::uint64_t since, TimeUs hold);

}  // namespace orchidgw::http
