// What controllers of a fleet say to each other, as plain values (src/thrift/fleet_codec.h has their form on
// the wire). No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "budget/terms.h"
#include "promises/keys.h"

namespace orchidgw::fleet {

inline constexpr std::uint32_t kVersion = 1;

using KeeperId = std::uint32_t;  // from 1; 0: none

// An entry's place in the log. Of two logs the one whose last entry is greater is ahead.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  auto operator<=>(const LogPosition&) const = default;
};

// How far a keeper's log is.
struct LogStanding {
  std::uint64_t term = 0;  // of the keeper
  LogPosition last;        // entry that it has
  LogPosition agreed;      // the last that it knows to be on a majority
  bool operator==(const LogStanding&) const = default;
};

// First on each connection, both ways: keeps out by accident, not by intent, who belongs elsewhere.
struct Hello {
  std::uint32_t version = kVersion;
  std::string fleet;
  std::uint64_t number = 0;
  budget::MemberKey from;
  KeeperId keeper = 0;
  std::vector<KeeperId> begun;  // a keeper's: which keepers it knows to have a log, itself too
  LogStanding at;               // a keeper's: its log
  bool operator==(const Hello&) const = default;
};

struct GrantTold {
  budget::Grant grant;
  std::vector<budget::Terms> terms;  // none, or those that the ask did not know
  bool keys_settled = false;         // no key rests unknown from before the keepers' log
  bool operator==(const GrantTold&) const = default;
};

// Not this keeper: that one leads, if any is known.
struct Elsewhere {
  std::uint64_t seq = 0;
  KeeperId leader = 0;
  bool operator==(const Elsewhere&) const = default;
};

struct LogEntry {
  std::uint64_t term = 0;
  std::uint32_t type = 0;
  std::string data;
  bool operator==(const LogEntry&) const = default;
};

// What keepers say to each other about their log (Raft: Ongaro, Ousterhout 2014), one shape for all kinds.
struct LogMessage {
  enum class Kind : std::uint32_t { kAppend = 1, kAppendResult, kVote, kVoteResult, kSnapshot, kTimeoutNow };
  Kind kind = Kind::kAppend;
  KeeperId from = 0;
  KeeperId to = 0;
  std::uint64_t term = 0;
  std::uint64_t index = 0;       // before the entries; of the last entry; rejected, of a result
  std::uint64_t index_term = 0;  // of that entry
  std::uint64_t commit =
      0;  // committed; the receiver's last, of a result; of the configuration, of a snapshot
  bool granted = false;
  bool disrupt = false;
  std::uint32_t pre_vote = 0;
  std::vector<LogEntry> entries;
  std::string configuration;  // of a snapshot, as is the one below
  std::string data;
  bool operator==(const LogMessage&) const = default;
};

// What an ask is answered with.
using Answer = std::variant<GrantTold, Elsewhere, promises::KeyTold>;

using Message =
    std::variant<Hello, budget::Ask, GrantTold, Elsewhere, LogMessage, promises::KeyAsk, promises::KeyTold>;

inline Message message_of(const Answer& answer) {
  return std::visit([](const auto& one) { return Message(one); }, answer);
}

}  // namespace orchidgw::fleet
