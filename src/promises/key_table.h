// Which keys rest, and for whom: the state that the keepers agree on. It changes by `apply` alone, which
// gives the same result from the same entries on every keeper. No clock: that a rest is over is an entry of
// its own.
//
// Why no key runs twice while it rests:
// - it is given to one query of one process, and to no other before that query freed it or its rest is over;
// - it is free before its rest is over only by the word of who has it, that nothing of it ran or will;
// - each further attempt begins another rest under another number, which an older one's end does not end;
// - a log that knows nothing of the one before it (it is new, or its disks are) gives nothing before the
//   longest rest is over (`settled`).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "promises/keys.h"

namespace orchidgw::promises {

struct Rest {
  MemberKey holder;
  std::uint64_t query = 0;
  std::uint64_t number = 0;  // of all that were ever given
  TimeUs time = 0;           // from the send
  bool operator==(const Rest&) const = default;
};

class KeyTable {
 public:
  using Rests = std::map<std::string, Rest>;  // by identity

  // One answer for each ask, in their order.
  std::vector<KeyTold> apply(const KeyEntry& entry);

  const Rests& rests() const { return rests_; }
  bool settled() const { return settled_; }
  std::uint64_t last_number() const { return last_number_; }
  const Rest* by_number(std::uint64_t number) const;

  // For snapshots.
  void restore(Rests rests, std::uint64_t last_number, bool settled);
  bool operator==(const KeyTable&) const = default;

 private:
  Told want(const MemberKey& from, const Want& want);
  void erase(Rests::iterator it);

  Rests rests_;
  std::map<std::uint64_t, std::string> identities_;  // by number
  std::uint64_t last_number_ = 0;
  bool settled_ = false;
};

}  // namespace orchidgw::promises
