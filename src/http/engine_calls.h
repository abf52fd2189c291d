// The engines' protocol: calls written as HTTP requests, HTTP answers read as what they mean. No I/O.
#pragma once

#include <optional>
#include <string>

#include "core/effects.h"
#include "core/events.h"
#include "http/response_parser.h"

namespace orchidgw::http {

inline constexpr std::size_t kPageBytesMost = 6000;

// The whole request, as it stands at `now`.
std::string write_call(const core::StartCall& call, TimeUs now);

// What a whole answer to a call of that kind means; nothing if it can't be one. `rows` is its body;
// `whole_rows`: it consists of whole rows.
std::optional<core::CallAnswer> read_answer(core::CallKind kind, const ResponseHead& head,
                                            core::PayloadPtr rows, bool whole_rows);

}  // namespace orchidgw::http
