// The numbered events of the engine list, as in the configuration's field `known` and the change log's
// answers.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/engine_listing.h"

namespace orchidgw::config {

struct EngineListEvent {
  std::uint64_t number = 0;  // its sequence number
  bool complete = false;     // `engines` is the whole list; else only the engines that changed
  std::vector<core::EngineListing> engines;
};

struct EngineListEvents {
  std::uint64_t last = 0;                // sequence number of the last event
  std::vector<EngineListEvent> changes;  // without events of other kinds
};

// Parses the state of an engine; the change log and the simulator use the same words. nullopt: unknown word.
std::optional<EngineState> parse_engine_state(std::string_view word);

// nullopt: it is invalid or has a state that this version doesn't know.
std::optional<core::EngineListing> read_engine(const rapidjson::Value& value);
// nullopt: an event of another kind. Throws FieldError if a field has a bad value. Invalid engines are left
// out; the other engines are kept.
std::optional<EngineListEvent> read_engine_list_event(const rapidjson::Value& value);
// Throws FieldError if the input is no list of events.
EngineListEvents read_engine_list_events(const rapidjson::Value& value);

}  // namespace orchidgw::config
