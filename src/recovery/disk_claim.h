// May this keeper keep with the disk it has found? A keeper that lost its disk and begins anew under its old
// identity votes a second time where it voted before, and knows nothing of what it acknowledged: what a
// majority had is then with fewer. No I/O, no clock.
//
// A keeper whose disk knows of a log goes on with it. One whose disk is empty begins only once every other
// keeper has said whom it knows to have begun, and none knows this one. Each keeper has that knowledge on its
// disk before it acts on the first word of another's log, so that no vote of a keeper counts for who does not
// remember it.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/messages.h"
#include "store/log_store.h"

namespace orchidgw::recovery {

// Of a disk that is another's: what is wrong with it; empty: it is this keeper's, or nobody's yet.
std::string fault_of(const store::StoredOwner& found, const store::StoredOwner& wanted);

class DiskClaim {
 public:
  enum class Verdict {
    kMay,     // it goes on with its log, or begins one
    kWait,    // for the other keepers' word
    kMustNot  // it has begun before, on a disk that is lost
  };

  // `self`: who this keeper is; what it knows comes from `found`.
  DiskClaim(const store::StoredOwner& self, std::vector<fleet::KeeperId> voters, const store::Stored& found);

  // A greeting, or a word of its log, of that keeper: true if it is news that it has begun, to be stored with
  // what follows.
  bool told(fleet::KeeperId by, const std::vector<fleet::KeeperId>& begun);
  bool met(fleet::KeeperId by);
  void begin() { owner_.begun.insert(owner_.keeper); }

  Verdict verdict() const;
  std::vector<fleet::KeeperId> waits_for() const;
  const store::StoredOwner& owner() const { return owner_; }

 private:
  bool is_another(fleet::KeeperId keeper) const;  // of this fleet's

  store::StoredOwner owner_;
  std::vector<fleet::KeeperId> voters_;
  std::map<fleet::KeeperId, bool> knows_me_;  // of those that told
};

}  // namespace orchidgw::recovery
