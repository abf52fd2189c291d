// What the keepers agree on, as the fleet sees it: entries go in at the leader and come out on every keeper
// in one order, once they are durable on a majority. `src/keeper` implements it.
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

// What all entries so far lead to.
struct State {
  budget::Ledger ledger;
  promises::KeyTable keys;
  bool operator==(const State&) const = default;
};

// What entries are applied to.
class Replica {
 public:
  virtual ~Replica() = default;
  virtual void apply(const Entry& entry) = 0;
  virtual const State& state() const = 0;  // for a snapshot
  virtual void restore(State state) = 0;
};

class AgreedLog {
 public:
  virtual ~AgreedLog() = default;
  // This keeper leads, and all entries before its election are applied here.
  virtual bool leads() const = 0;
  virtual std::uint64_t term() const = 0;  // only rises; in each one keeper leads at the most
  virtual KeeperId leader() const = 0;     // 0: none is known
  // False: it does not lead, or the entry can't be taken now. Else `finished` counts it one day.
  virtual bool propose(const Entry& entry) = 0;
  // Of the entries proposed here, how many are applied by now, or given up here: their fate is not known
  // then.
  virtual std::uint64_t finished() const = 0;
};

}  // namespace orchidgw::fleet
