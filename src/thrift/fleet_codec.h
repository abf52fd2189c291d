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

inline constexpr std::size_t kMaxFleetFrameBytes = std::size_t{4} * 1024 * 1024;

// With the length of the frame before it.
std::string encode_fleet_message(const fleet::Message& message);
// `frame`: without the length. nullopt: invalid.
std::optional<fleet::Message> decode_fleet_message(std::string_view frame);

// What keepers store: entries of their log and snapshots of their state. Reading returns nullopt for bytes
// that are invalid.
std::string encode_entry(const fleet::Entry& entry);
std::optional<fleet::Entry> decode_entry(std::string_view bytes);
std::string encode_state(const fleet::State& state);
std::optional<fleet::State> decode_state(std::string_view bytes);

}  // namespace orchidgw::thrift
