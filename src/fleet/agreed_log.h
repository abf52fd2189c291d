// The keepers' replicated log, as the fleet's code uses it: entries are proposed at the leader and applied on
// every keeper in the same order, once they are durable on a majority. `src/keeper` implements it.
#pragma once

#include "budget/ledger.h"
#include "fleet/messages.h"
#include "promises/key_table.h"

namespace orchidgw::fleet {

struct Entry {
  budget::Entry budget;
  promises::KeyEntry keys;
  bool empty() const { return budget.empty() && keys.empty(); }
  bool operator==(const Entry&) const = default;
};

// The result of applying all entries so far.
struct State {
  budget::Ledger ledger;
  promises::KeyTable keys;
  bool operator==(const State&) const = default;
};

// The state machine that committed entries are applied to.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual void apply(const Entry& entry) = 0;
  virtual const State& state() const = 0;  // read when a snapshot is taken
  virtual void restore(State state) = 0;   // replaces the state by a snapshot's
};

class ReplicatedLog {
 public:
  virtual ~ReplicatedLog() = default;
  // True: this keeper is the leader and has applied all entries from before its election.
  virtual bool leads() const = 0;
  virtual std::uint64_t term() const = 0;  // Raft term; never decreases, and has one leader at most
  virtual KeeperId leader() const = 0;     // 0: no leader is known
  // Starts to replicate `entry`. False: this keeper is not the leader, or the entry can't be accepted now.
  // After true, `finished_proposals` will count the proposal.
  virtual bool propose(const Entry& entry) = 0;
  // How many of the entries proposed here are done with: applied, or abandoned, in which case it is unknown
  // whether they will be committed.
  virtual std::uint64_t finished_proposals() const = 0;
};

}  // namespace orchidgw::fleet
