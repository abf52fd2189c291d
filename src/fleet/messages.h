// The messages between the controllers of a fleet, as plain values (src/thrift/fleet_codec.h encodes them).
// No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "budget/terms.h"
#include "promises/keys.h"

namespace orchidgw::fleet {

inline constexpr std::uint32_t kProtocolVersion = 1;

using KeeperId = std::uint32_t;  // from 1; 0: none

// An entry's position in the log. Of two logs the one whose last entry has the greater position is ahead.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  auto operator<=>(const LogPosition&) const = default;
};

// How far a keeper's log has come.
struct LogProgress {
  std::uint64_t term = 0;  // the keeper's current Raft term
  LogPosition last;        // last entry of its log
  LogPosition agreed;      // last entry that it knows to be committed: stored by a majority
  bool operator==(const LogProgress&) const = default;
};

// The first message on each connection, in both directions. Rejects controllers of another fleet that connect
// by mistake; it is no protection against attackers.
struct Hello {
  std::uint32_t version = kProtocolVersion;
  std::string fleet;
  std::uint64_t number = 0;
  budget::MemberKey from;
  KeeperId keeper = 0;
  // From a keeper: the keepers, itself included, that it knows to have a log.
  std::vector<KeeperId> bootstrapped;
  LogProgress at;  // from a keeper: how far its log has come
  bool operator==(const Hello&) const = default;
};

// Reply to a lease request.
struct GrantReply {
  budget::Grant grant;
  std::vector<budget::Terms> terms;  // none, or one: the current terms, where the request named other ones
  bool keys_settled = false;         // holds of keys from before the keepers' current log have all expired
  bool operator==(const GrantReply&) const = default;
};

// Reply to a lease request that this keeper can't grant: `leader` is the keeper to ask, 0 if none is known.
struct Redirect {
  std::uint64_t seq = 0;  // of the request
  KeeperId leader = 0;
  bool operator==(const Redirect&) const = default;
};

struct LogEntry {
  std::uint64_t term = 0;
  std::uint32_t type = 0;
  std::string data;
  bool operator==(const LogEntry&) const = default;
};

// A Raft message between keepers (Ongaro, Ousterhout 2014); one structure for all kinds.
struct LogMessage {
  enum class Kind : std::uint32_t { kAppend = 1, kAppendResult, kVote, kVoteResult, kSnapshot, kTimeoutNow };
  Kind kind = Kind::kAppend;
  KeeperId from = 0;
  KeeperId to = 0;
  std::uint64_t term = 0;
  // kAppend: index of the entry before `entries`. kAppendResult: the index that was rejected; 0: none was.
  // Other kinds: index of the sender's last entry, or of the last one within a snapshot.
  std::uint64_t index = 0;
  std::uint64_t index_term = 0;  // term of the entry at `index`
  // kAppend: index of the last committed entry. kAppendResult: index of the receiver's last entry. kSnapshot:
  // index of the entry that has the configuration.
  std::uint64_t commit = 0;
  bool granted = false;
  bool disrupt = false;
  std::uint32_t pre_vote = 0;
  std::vector<LogEntry> entries;
  std::string configuration;  // kSnapshot: the servers and their roles
  std::string data;           // kSnapshot: the state
  bool operator==(const LogMessage&) const = default;
};

// A reply to a request.
using Answer = std::variant<GrantReply, Redirect, promises::KeyReply>;

using Message = std::variant<Hello, budget::LeaseRequest, GrantReply, Redirect, LogMessage,
                             promises::KeyRequest, promises::KeyReply>;

inline Message message_of(const Answer& answer) {
  return std::visit([](const auto& alternative) { return Message(alternative); }, answer);
}

}  // namespace orchidgw::fleet
