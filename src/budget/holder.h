// A controller's side of its leases: what it may use at a given time, and the requests that renew the lease.
// No I/O, no clock of its own. Times are on the holder's clock, which must advance while the machine sleeps
// and must never be set (CLOCK_BOOTTIME).
//
// The term of a lease counts from the time of its request, which is before any keeper grants it; so the lease
// expires here before a keeper regards it as expired. After that only the cut-off part may be used.
//
// `a` is the index of an allowance in `terms().allowances`.
#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "budget/terms.h"

namespace orchidgw::budget {

class LeaseHolder {
 public:
  // `terms`: of this controller's file; the keepers' terms replace them later.
  LeaseHolder(MemberKey self, Terms terms) : self_(std::move(self)), terms_(std::move(terms)) {
    reset_parts();
  }

  // Returns the next lease request, to be sent now: the term of a lease that answers it counts from `now`.
  // `demand`: what could be used, by allowance. `parts_in_use`: what is in use beyond the cut-off part and
  // can't be given back before it ends, by allowance.
  LeaseRequest ask(TimeUs now, std::vector<Parts> demand, const std::vector<Parts>& parts_in_use);

  // Handles an answer; `terms`: none, or those that it refers to. Returns false if it is ignored (late,
  // duplicate, not for this process, a lease that has expired on arrival).
  bool answered(TimeUs now, const Grant& grant, const std::vector<Terms>& terms);

  // Returns the parts that may be used now, including the cut-off part. To be checked at each send.
  Parts usable(TimeUs now, std::size_t a) const;
  bool leased(TimeUs now) const { return !dropped_ && now < ends_at_; }
  TimeUs ends_at() const { return ends_at_; }  // 0: no lease so far

  // Gives up the lease: from now on only the cut-off part is used, and the next request reports that.
  void leave() { leaving_ = true, drop_lease(); }
  bool leaving() const { return leaving_; }
  bool left() const { return left_; }              // confirmed by the keepers
  bool superseded() const { return superseded_; }  // this process must not use even its cut-off part any more
  bool not_admitted() const { return not_admitted_; }  // the last answer refused admission to the fleet

  // The last lease is smaller than the one before and has to be acknowledged by a request soon, because other
  // members wait for the difference.
  bool must_acknowledge() const { return must_acknowledge_; }

  const Terms& terms() const { return terms_; }
  const MemberKey& self() const { return self_; }
  std::uint64_t number() const { return number_; }
  Parts part(std::size_t a) const { return parts_[a]; }  // of the last lease, even if it has expired
  int live() const { return live_; }
  int place() const { return place_; }
  bool half_granted() const { return half_granted_; }  // see Grant::half_granted
  Parts level() const { return level_; }               // of the fleet's ramp

 private:
  void reset_parts();
  void drop_lease();
  void adopt_terms(const Terms& terms);
  std::optional<TimeUs> requested_at(std::uint64_t seq) const;

  MemberKey self_;
  Terms terms_;
  std::uint64_t seq_ = 0;
  std::uint64_t number_ = 0;
  std::deque<std::pair<std::uint64_t, TimeUs>> sent_requests_;  // the last few: seq and time
  std::vector<Parts> parts_;                                    // of the last lease
  std::vector<Parts> held_;                                     // upper bound of use: falls only as use falls
  TimeUs ends_at_ = 0;
  int live_ = 1;
  int place_ = 0;
  Parts level_ = kFullLevel;
  bool half_granted_ = false;
  bool leaving_ = false;
  bool left_ = false;
  bool superseded_ = false;
  bool not_admitted_ = false;
  bool must_acknowledge_ = false;
  bool dropped_ = false;  // the lease was dropped before it expired
};

}  // namespace orchidgw::budget
