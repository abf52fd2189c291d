// The engines' protocol: formats calls as HTTP requests and interprets HTTP answers. No I/O.
#pragma once

#include <optional>
#include <string>

#include "core/effects.h"
#include "core/events.h"
#include "http/response_parser.h"

namespace orchidgw::http {

// Upper bound on the body of an answer, which holds one page of rows.
inline constexpr std::size_t kMaxPageBytes = 6000;

// Returns the complete request. The time that it gives the engine is counted from `now`.
std::string write_call(const core::SendCall& call, TimeUs now);

// Interprets a complete answer to a call of the given kind; nullopt if it breaks the protocol. `rows` is its
// body; `whole_rows` says whether that consists of complete rows.
std::optional<core::CallAnswer> read_answer(core::CallKind kind, const ResponseHead& head,
                                            core::PayloadPtr rows, bool whole_rows);

}  // namespace orchidgw::http
