// Decides whether a keeper may take part in the log with the disk that it has found. A keeper that has lost
// its disk and starts anew under its old identity may vote twice in a term and lacks the entries that it has
// acknowledged, so that entries that were on a majority are on fewer keepers. No I/O, no clock.
//
// A keeper whose disk has a log continues it. A keeper whose disk is empty begins one only after every other
// keeper has reported which keepers it knows to have begun, and none of them knows this one. Each keeper
// stores that knowledge before it acts on the first log message of another keeper, so that a vote never
// counts at a keeper that does not remember the voter.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/messages.h"
#include "store/log_store.h"

namespace orchidgw::recovery {

// Returns an error text if the store `found` belongs to another keeper or fleet than `wanted`; else empty.
std::string ownership_error(const store::StoredOwner& found, const store::StoredOwner& wanted);

class RejoinGuard {
 public:
  enum class Verdict {
    kAllowed,   // continue the log, or begin one
    kWait,      // other keepers have not reported yet
    kForbidden  // it has begun before, on a disk that is lost
  };

  // `self`: this keeper's identity. `found`: the content of its disk.
  RejoinGuard(const store::StoredOwner& self, std::vector<fleet::KeeperId> voters,
              const store::StoredLog& found);

  // A greeting of keeper `by` with the keepers that it knows to have begun, and a log message of keeper `by`.
  // Both return true if it was not known that `by` has begun: `owner()` is to be stored then, before anything
  // that follows from the message is sent.
  bool on_greeting(fleet::KeeperId by, const std::vector<fleet::KeeperId>& bootstrapped);
  bool on_log_message(fleet::KeeperId by);
  // This keeper begins, or continues, its log.
  void begin() { owner_.bootstrapped.insert(owner_.keeper); }

  Verdict verdict() const;
  std::vector<fleet::KeeperId> waits_for() const;  // other keepers that have not reported yet
  const store::StoredOwner& owner() const { return owner_; }

 private:
  bool is_other_voter(fleet::KeeperId keeper) const;  // a voter of this fleet, and not this keeper

  store::StoredOwner owner_;
  std::vector<fleet::KeeperId> voters_;
  std::map<fleet::KeeperId, bool> knows_me_;  // by keeper that has reported
};

}  // namespace orchidgw::recovery
