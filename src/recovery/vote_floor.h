// Restricts the votes of a keeper after its start. Its disk may be an old copy, which lacks entries that it
// has acknowledged and votes that it has cast since. It can't detect that by itself. So each keeper reports
// the position of its log in its greeting, and this one votes for no candidate whose log is behind what was
// reported, and in no term in which it may have voted already. No I/O, no clock.
//
// Committed entries count permanently. If all keepers return at once, none of them knows which entries were
// committed; then any reported entry counts for a limited time, as it may not have been committed. Until
// every other keeper has sent its greeting, but for a limited time, this keeper votes for nobody. Otherwise
// two keepers could elect one of them before the third is heard, which has the entries that the old disk
// lacks.
//
// This does not protect against a third keeper that returns later than that.
#pragma once

#include <map>
#include <vector>

#include "fleet/messages.h"

namespace orchidgw::recovery {

class VoteGuard {
 public:
  // `greeting_timeout`: how long the greetings of the others are waited for. Reported entries that are not
  // known to be committed count for twice that time.
  VoteGuard(fleet::KeeperId self, std::vector<fleet::KeeperId> voters, TimeUs now, TimeUs greeting_timeout);

  // A greeting of keeper `by` reports the position of its log.
  void on_greeting(fleet::KeeperId by, const fleet::LogProgress& at);
  // Returns whether a log message may be received or sent. Only vote requests are ever withheld.
  bool allows(const fleet::LogMessage& message, TimeUs now) const;
  // Returns the other keepers whose greetings are still waited for.
  std::vector<fleet::KeeperId> waits_for(TimeUs now) const;
  // The last position that is reported to be committed.
  const fleet::LogPosition& agreed() const { return reported_agreed_; }

 private:
  fleet::KeeperId self_;
  std::vector<fleet::KeeperId> voters_;
  TimeUs wait_for_all_until_;
  TimeUs uncommitted_counts_until_;
  std::map<fleet::KeeperId, std::uint64_t> reported_terms_;  // by keeper, from its first greeting
  fleet::LogPosition reported_agreed_;
  fleet::LogPosition reported_last_;
};

}  // namespace orchidgw::recovery
