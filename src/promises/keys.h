// Data types of key holds, which keep two controllers of a fleet from sending the same query if it must not
// run twice: while a key is held, only its holder may send the query. Plain values; no I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "budget/terms.h"

namespace orchidgw::promises {

using budget::MemberKey;

// Largest number of held keys: bounds the keepers' memory (some 300 bytes each) and the size of a snapshot
// (some 100 bytes each). `KeyTable::apply` depends on it, so all keepers of a log must have the same value.
inline constexpr std::size_t kMaxHeldKeys = 20'000;
inline constexpr std::size_t kMaxIdentityBytes = 96;  // bytes; a snapshot of all keys fits into a message

// Asks to hold a key for a query. The query may be sent once that is granted; each further attempt asks
// again, which restarts the hold.
struct HoldRequest {
  std::uint64_t query = 0;  // number of the query at the controller that asks
  std::string identity;     // recognizes the query when a client sends it again
  TimeUs key_hold = 0;      // duration of the hold from the send
  bool operator==(const HoldRequest&) const = default;
};

// Releases a key: nothing of that query has run, and nothing of it will be sent.
struct HoldRelease {
  std::uint64_t query = 0;
  std::string identity;
  bool operator==(const HoldRelease&) const = default;
};

// All key requests and releases of one turn of a controller's event loop.
struct KeyRequest {
  MemberKey from;
  std::uint64_t seq = 0;  // rises with each request of an incarnation
  std::vector<HoldRequest> wants;
  std::vector<HoldRelease> free;
  bool operator==(const KeyRequest&) const = default;
};

enum class KeyResult : std::uint32_t {
  kGranted = 1,  // granted, durable on a majority of the keepers
  kHeld,         // held by another query, which may have run
  kUnavailable   // table full, identity too long, or holds from before this log may not have expired
};

struct KeyReply {
  MemberKey to;
  std::uint64_t seq = 0;         // of the request
  std::vector<KeyResult> wants;  // one result for each wanted key, in the order of the request
  bool operator==(const KeyReply&) const = default;
};

// The keys' part of one entry of the replicated log, applied in this order.
struct KeyEntry {
  std::vector<std::uint64_t> ended_holds;  // numbers of holds that have expired by the leading keeper's clock
  bool settled = false;                    // all holds from before this log have expired
  std::vector<KeyRequest> asks;
  bool empty() const { return ended_holds.empty() && asks.empty() && !settled; }
  bool operator==(const KeyEntry&) const = default;
};

}  // namespace orchidgw::promises
