// The table of held keys and their holders. It is the replicated state of the keepers and changes only by
// `apply`, which is deterministic: the same entries give the same state on every keeper. No clock: the end of
// a hold is part of an entry.
//
// Why no query with a held key runs twice:
// - a key is granted to one query of one process, and to no other before that query releases it or its hold
//   expires;
// - it is released before its hold expires only by its holder, who thereby states that nothing of the query
//   has run or will run;
// - each further attempt starts another hold under another number, which the end of an older one does not
//   end;
// - a log that knows nothing of an earlier one (it is new, or its disks are) grants nothing before the
//   longest hold has expired (`settled`).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "promises/keys.h"

namespace orchidgw::promises {

struct KeyHold {
  MemberKey holder;
  std::uint64_t query = 0;
  std::uint64_t number = 0;  // unique within the log, increasing; another one for each grant
  TimeUs time = 0;           // duration of the hold from the send
  bool operator==(const KeyHold&) const = default;
};

class KeyTable {
 public:
  using KeyHolds = std::map<std::string, KeyHold>;  // by identity

  // Applies an entry and returns one reply for each request, in their order.
  std::vector<KeyReply> apply(const KeyEntry& entry);

  const KeyHolds& holds() const { return holds_; }
  bool settled() const { return settled_; }  // all holds of earlier logs have expired: keys may be granted
  std::uint64_t last_number() const { return last_number_; }
  // Returns null if no such hold is left. The pointer is valid until the next change.
  const KeyHold* find_by_number(std::uint64_t number) const;

  // Replaces the state by that of a snapshot.
  void restore(KeyHolds holds, std::uint64_t last_number, bool settled);
  bool operator==(const KeyTable&) const = default;

 private:
  KeyResult want(const MemberKey& from, const HoldRequest& want);
  void erase(KeyHolds::iterator it);

  KeyHolds holds_;
  std::map<std::uint64_t, std::string> identity_by_number_;
  std::uint64_t last_number_ = 0;
  bool settled_ = false;
};

}  // namespace orchidgw::promises
