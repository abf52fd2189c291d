// One engine as the list gives it: what the module is told, and where it listens.
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
  EngineEntry entry;  // `started_at` is set when the listing is heard (decision/engine_starts.h)
  Address address;
  std::optional<WallTime> up_since;  // as published; none: a long time back
};

}  // namespace orchidgw::core
