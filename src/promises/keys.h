// What controllers of a fleet promise each other about a query that must not run twice: a key that rests is
// sent by nobody but who it rests for. Plain values; no I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "budget/terms.h"

namespace orchidgw::promises {

using budget::MemberKey;

// Keys that rest at one time: bounds the keepers' memory (some 300 bytes each) and a snapshot's size (some
// 100 each). Part of what is agreed on: all keepers of a log have the same.
inline constexpr std::size_t kKeysMost = 20'000;
inline constexpr std::size_t kIdentityMost = 96;  // bytes of one; a snapshot of all fits into a message

// A query may be sent once its key rests for it; its further attempts ask again, and have the rest begin
// anew.
struct Want {
  std::uint64_t query = 0;  // of the controller that asks
  std::string identity;     // of the query, for who sends it again
  TimeUs rest = 0;          // how long from the send
  bool operator==(const Want&) const = default;
};

// Nothing of that query has run, and nothing of it will be sent: its key is free.
struct Free {
  std::uint64_t query = 0;
  std::string identity;
  bool operator==(const Free&) const = default;
};

// All that a turn asks for.
struct KeyAsk {
  MemberKey from;
  std::uint64_t seq = 0;  // rises with each ask of an incarnation
  std::vector<Want> wants;
  std::vector<Free> free;
  bool operator==(const KeyAsk&) const = default;
};

enum class Told : std::uint32_t {
  kGiven = 1,  // durable on a majority of the keepers
  kRests,      // it may have run: another query has it
  kNotNow      // no room, or what rested before this log began is not known to be over
};

struct KeyTold {
  MemberKey to;
  std::uint64_t seq = 0;    // of the ask that it answers
  std::vector<Told> wants;  // in their order
  bool operator==(const KeyTold&) const = default;
};

// What is agreed on in one step, in this order.
struct KeyEntry {
  std::vector<std::uint64_t> over;  // numbers of rests, by the leading keeper's clock
  bool settled = false;             // no key rests from before this log
  std::vector<KeyAsk> asks;
  bool empty() const { return over.empty() && asks.empty() && !settled; }
  bool operator==(const KeyEntry&) const = default;
};

}  // namespace orchidgw::promises
