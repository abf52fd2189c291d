// Encodes the messages between controllers and what keepers store, in Thrift's binary protocol (fleet.thrift
// in docs/fleet.md). Works on byte strings, without I/O. Memory is bounded by the input: a list whose count
// exceeds what the bytes can hold is rejected.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fleet/agreed_log.h"
#include "fleet/messages.h"

namespace orchidgw::thrift {

inline constexpr std::size_t kFleetFrameMost = std::size_t{4} * 1024 * 1024;

std::string write_fleet(const fleet::Message& message);            // with the length of the frame before it
std::optional<fleet::Message> read_fleet(std::string_view frame);  // without the length; nullopt: invalid

// What keepers store: entries of their log and snapshots of their state. Reading returns nullopt for bytes
// that are invalid.
std::string write_entry(const fleet::Entry& entry);
std::optional<fleet::Entry> read_entry(std::string_view bytes);
std::string write_state(const fleet::State& state);
std::optional<fleet::State> read_state(std::string_view bytes);

}  // namespace orchidgw::thrift
