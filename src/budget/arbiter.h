// The leading keeper's own part, which is not agreed on: it gathers asks into entries, and says when a lease
// is over by its clock. No I/O, no clock; times are on this keeper's clock and mean nothing to another.
//
// A new leader does not know when the leases before it were put in force: it counts all of them from when it
// knows that it leads and has all that was agreed on before. Each of them was asked for earlier than that, so
// none of them outlives its count here.
//
// A log without terms is new: the one before it may be lost with its disks, and its leases may be out. Their
// longest term is waited out before anything is granted.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "budget/ledger.h"

namespace orchidgw::budget {

class Arbiter {
 public:
  // From now on this keeper leads; `ledger` has all entries up to its election.
  void lead(TimeUs now, const Ledger& ledger);
  void follow();  // it leads no more: what was gathered is asked for again elsewhere
  bool leads() const { return leads_; }

  // False: too many wait already. Of a member's asks the newest alone is kept.
  bool asked(Ask ask);
  void wants(const Terms& terms) { wanted_ = terms; }  // put to all if newer than what is agreed on

  // What is to be agreed on next; to be called while no entry is on its way, as `next_due`.
  std::optional<Entry> next(TimeUs now, const Ledger& ledger);
  // An entry was applied here, this keeper's or an earlier leader's: its leases are in force from now.
  void applied(TimeUs now, const Ledger& ledger, const std::vector<Grant>& grants);

  std::optional<TimeUs> next_due() const;
  // Asks wait: leases of a log that is lost may still be out.
  bool waits_out() const { return not_before_ > 0; }

 private:
  struct Running {
    std::uint64_t number = 0;
    TimeUs over_at = 0;
  };

  std::optional<Parts> next_level(TimeUs now, const Ledger& ledger);

  bool leads_ = false;
  std::optional<Terms> wanted_;
  std::map<MemberKey, Ask> asks_;
  std::map<MemberKey, Running> running_;
  TimeUs not_before_ = 0;          // of the first terms of a new log, until they are due; else 0
  std::optional<TimeUs> step_at_;  // of the ramp
};

}  // namespace orchidgw::budget
