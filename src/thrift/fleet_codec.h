// The messages between controllers, and what keepers store, in Thrift's binary protocol (fleet.thrift in
// docs/fleet.md). On byte spans; no I/O. Bounded by the bytes: a count that they can't hold is no message.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fleet/agreed_log.h"
#include "fleet/messages.h"

namespace orchidgw::thrift {

inline constexpr std::size_t kFleetFrameMost = std::size_t{4} * 1024 * 1024;

std::string write_fleet(const fleet::Message& message);            // with its frame's length
std::optional<fleet::Message> read_fleet(std::string_view frame);  // without; nothing: it can't be read

std::string write_entry(const fleet::Entry& entry);
std::optional<fleet::Entry> read_entry(std::string_view bytes);
std::string write_state(const fleet::State& state);
std::optional<fleet::State> read_state(std::string_view bytes);

}  // namespace orchidgw::thrift
