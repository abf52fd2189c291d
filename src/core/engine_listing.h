// One entry of the engine list: what the decision module is told about the engine, and its address.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "decision/decision.h"

namespace orchidgw::core {

struct Address {
  std::string host;  // an IPv4 address in dotted form
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

struct EngineListing {
  EngineEntry entry;  // `started_at` is set when the listing is received (decision/engine_starts.h)
  Address address;
  std::optional<WallTime> up_since;  // start time as published; nullopt: long ago
};

}  // namespace orchidgw::core
