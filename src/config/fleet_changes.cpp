#include "config/fleet_changes.h"

#include <optional>

#include "config/address.h"
#include "config/json_fields.h"

namespace orchidgw::config {
namespace {

using rapidjson::Value;

constexpr std::int64_t kUsPerMs = 1000;

// Throws FieldError if a field has a bad value.
std::optional<core::EngineListing> read_member(const Value& member) {
  if (!member.IsObject()) return std::nullopt;
  core::EngineListing listing;
  listing.entry.id = string_or(member, "id", "");
  const auto state = parse_engine_state(string_or(member, "phase", ""));
  const auto address = parse_address(string_or(member, "host_port", ""));
  if (listing.entry.id.empty() || !state) return std::nullopt;
  if (!address && *state == EngineState::kInService) return std::nullopt;
  listing.entry.state = *state;
  if (address) listing.address = *address;
  listing.entry.zone = string_or(member, "locality", "");
  listing.entry.kind = string_or(member, "flavor", "");
  listing.entry.cell = static_cast<int>(integer_or(member, "cell", 0));
  const std::int64_t up_since_ms = integer_or(member, "up_since_ms", 0);
  if (up_since_ms > 0) listing.up_since = WallTime{up_since_ms * kUsPerMs};
  return listing;
}

}  // namespace

std::optional<EngineState> parse_engine_state(std::string_view word) {
  if (word == "in_service") return EngineState::kInService;
  if (word == "terminating") return EngineState::kDraining;
  if (word == "terminated") return EngineState::kGone;
  return std::nullopt;
}

std::optional<core::EngineListing> read_engine(const Value& value) {
  try {
    return read_member(value);
  } catch (const FieldError&) {
    return std::nullopt;
  }
}

std::optional<EngineListEvent> read_engine_list_event(const Value& event) {
  if (!event.IsObject()) return std::nullopt;
  const Value* fleet = find_member(event, "fleet");
  if (!fleet || !fleet->IsObject()) return std::nullopt;
  EngineListEvent change;
  change.number = static_cast<std::uint64_t>(integer_or(event, "seq", 0));
  change.complete = bool_or(*fleet, "complete", false);
  const Value* members = find_member(*fleet, "members");
  if (!members || !members->IsArray()) return std::nullopt;
  for (const auto& member : members->GetArray())
    if (auto listing = read_engine(member)) change.engines.push_back(std::move(*listing));
  return change;
}

EngineListEvents read_engine_list_events(const Value& value) {
  if (!value.IsObject()) throw_field_error("known", "an object is needed");
  EngineListEvents out;
  const std::int64_t last = integer_or(value, "seq", 0);
  if (last < 0) throw_field_error("seq", "a number from 0 is needed");
  out.last = static_cast<std::uint64_t>(last);
  const Value* results = find_member(value, "results");
  if (!results) return out;
  if (!results->IsArray()) throw_field_error("results", "a list is needed");
  for (const auto& event : results->GetArray())
    if (auto change = read_engine_list_event(event)) out.changes.push_back(std::move(*change));
  return out;
}

}  // namespace orchidgw::config
