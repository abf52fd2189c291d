// Who holds which part of each allowance: the state that the keepers agree on. It changes by `apply` alone,
// which gives the same result from the same entries on every keeper. No clock: that a lease is over by time
// is an entry of its own.
//
// Why no allowance ever sums to more than its whole:
// - a lease grows only by parts that are free: shared - what all members may be using;
// - a member's parts count until it has acknowledged a smaller lease and says that it uses no more, or its
//   lease is over (`Expiry`, made by the leader once the term and the drift of both clocks have passed);
// - a lease that was granted counts from then on, whether its answer arrives or not;
// - a further incarnation of a name begins with nothing of the old one's.
#pragma once

#include <map>
#include <vector>

#include "budget/terms.h"

namespace orchidgw::budget {

struct Member {
  std::uint64_t seq = 0;     // of its last ask
  std::uint64_t number = 0;  // of its last lease
  std::uint64_t acked = 0;   // of its leases, the last that it said to have taken over
  bool superseded = false;   // a later incarnation of its name is a member
  TimeUs term = 0;           // the longest of its leases that are not known to be over
  std::vector<Parts> demand;
  std::vector<Parts> granted;  // by the last lease
  std::vector<Parts> held;     // at the most, by the lease it has acknowledged
  std::vector<Parts> unacked;  // the most of the leases since
  bool operator==(const Member&) const = default;

  // What it may be using now.
  Parts outstanding(std::size_t a) const { return held[a] > unacked[a] ? held[a] : unacked[a]; }
};

class Ledger {
 public:
  // One grant for each ask that is not stale, in the order of the asks.
  std::vector<Grant> apply(const Entry& entry);

  const Terms& terms() const { return terms_; }
  const std::map<MemberKey, Member>& members() const { return members_; }
  Parts outstanding(std::size_t a) const;  // of all members together
  Parts free(std::size_t a) const { return at_level(terms_.shared(a)) - outstanding(a); }
  Parts level() const { return level_; }  // of the ramp

  // For snapshots.
  void restore(Terms terms, std::map<MemberKey, Member> members, Parts level);
  bool operator==(const Ledger&) const = default;

 private:
  void adopt_terms(const Terms& terms);
  void expire(const Expiry& expiry);
  bool record(const Ask& ask, Grant& refusal);
  bool can_admit(const MemberKey& key) const;
  // Among all members: in the order of their keys, and each one's part by allowance, then by place.
  struct Division {
    std::vector<const MemberKey*> members;
    std::vector<std::vector<Parts>> targets;
  };
  void lower_level_if_idle();
  Division compute_targets() const;
  Grant grant(const Ask& ask, const Division& division, std::vector<Parts>& free);
  Parts next_lease_part(std::size_t a, const Member& member, Parts target, Parts free) const;

  Parts at_level(Parts parts) const {
    return static_cast<Parts>(static_cast<WideParts>(parts) * level_ / kFullLevel);
  }

  Terms terms_;
  Parts level_ = kFullLevel;
  std::map<MemberKey, Member> members_;
};

}  // namespace orchidgw::budget
