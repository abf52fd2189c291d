// The leading keeper's local state, which is not replicated: it batches lease requests into log entries and
// decides by its own clock when a lease has expired. No I/O, no clock of its own; times are on this keeper's
// clock and are not comparable with another keeper's.
//
// A new leader does not know when earlier leases were applied. It starts the term of each of them when it
// knows that it leads and has applied all entries committed before. Each lease was requested earlier than
// that, so none of them can still be running when its term ends here.
//
// A log without terms is new: an earlier log may have been lost with its disks while its leases still run.
// Nothing is granted before the longest term of those leases has passed.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "budget/ledger.h"

namespace orchidgw::budget {

class Arbiter {
 public:
  // This keeper leads from now on; `ledger` must have all entries committed before its election.
  void become_leader(TimeUs now, const Ledger& ledger);
  // This keeper no longer leads. Queued requests are dropped; their senders repeat them at another keeper.
  void step_down();
  bool leads() const { return leads_; }

  // Queues a lease request; only the newest one of each member is kept. Returns false if the queue is full.
  bool asked(LeaseRequest request);
  // Sets the terms of this keeper's file, which are proposed if they are newer than the agreed ones.
  void set_own_terms(const Terms& terms) { own_terms_ = terms; }

  // Returns the next entry to propose, if any. To be called, like `next_due`, only while no proposed entry is
  // pending.
  std::optional<Entry> next(TimeUs now, const Ledger& ledger);
  // An entry, of this keeper or of an earlier leader, was applied here: the terms of `grants` start now.
  void applied(TimeUs now, const Ledger& ledger, const std::vector<Grant>& grants);

  // When `next` has to be called again even if nothing arrives; none: no need.
  std::optional<TimeUs> next_due() const;
  // Nothing is granted yet because leases of a lost log may still be running.
  bool waits_for_old_leases() const { return not_before_ > 0; }

 private:
  struct RunningLease {
    std::uint64_t number = 0;
    TimeUs expires_at = 0;
  };

  std::optional<Parts> next_ramp_level(TimeUs now, const Ledger& ledger);

  bool leads_ = false;
  std::optional<Terms> own_terms_;
  std::map<MemberKey, LeaseRequest> requests_;
  std::map<MemberKey, RunningLease> running_;
  TimeUs not_before_ = 0;  // on a new log, the earliest time for its first entry; 0: no restriction
  std::optional<TimeUs> next_ramp_step_at_;
};

}  // namespace orchidgw::budget
