// The ledger of all leases: which member holds which part of each allowance. It is the replicated state of
// the keepers and changes only by `apply`, which is deterministic: the same entries give the same state on
// every keeper. No clock: the expiry of a lease is part of an entry.
//
// Why the parts in use of an allowance never exceed its total:
// - a lease grows only by free parts: `shared` less all that members may be using;
// - a member's parts count until it has acknowledged a smaller lease and reports that it uses no more, or its
//   lease has expired (`Expiry`, created by the leader after the term and the drift of both clocks);
// - a lease counts from when it was granted, whether or not the answer arrives;
// - a new incarnation of a name does not inherit the parts of an earlier one.
#pragma once

#include <map>
#include <vector>

#include "budget/terms.h"

namespace orchidgw::budget {

struct Member {
  std::uint64_t seq = 0;     // of its last request
  std::uint64_t number = 0;  // of its last lease
  std::uint64_t acked = 0;   // number of the last lease that it has acknowledged
  bool superseded = false;   // a later incarnation of its name is a member
  TimeUs term = 0;           // longest term of its leases that are not known to have expired
  std::vector<Parts> demand;
  std::vector<Parts> granted;  // by the last lease
  std::vector<Parts> held;     // upper bound of its use under the lease that it has acknowledged
  std::vector<Parts> unacked;  // maximum of the leases granted since
  bool operator==(const Member&) const = default;

  // Returns the most that it may be using now.
  Parts outstanding(std::size_t a) const { return held[a] > unacked[a] ? held[a] : unacked[a]; }
};

// `a` is the index of an allowance in `terms().allowances`.
class Ledger {
 public:
  // Applies an entry and returns the answers: refusals first, then leases, each in the order of the requests.
  // A stale request gets none, nor does one whose sender left or was superseded within the same entry.
  std::vector<Grant> apply(const Entry& entry);

  const Terms& terms() const { return terms_; }
  const std::map<MemberKey, Member>& members() const { return members_; }
  Parts outstanding(std::size_t a) const;  // sum of all members
  Parts free(std::size_t a) const { return at_level(terms_.shared(a)) - outstanding(a); }
  Parts level() const { return level_; }  // of the ramp

  // Replaces the state by that of a snapshot.
  void restore(Terms terms, std::map<MemberKey, Member> members, Parts level);
  bool operator==(const Ledger&) const = default;

 private:
  void adopt_terms(const Terms& terms);
  void expire(const Expiry& expiry);
  bool record(const LeaseRequest& ask, Grant& refusal);
  bool can_admit(const MemberKey& key) const;
  struct Division {
    std::vector<const MemberKey*> members;    // all that are not superseded, in the order of their keys
    std::vector<std::vector<Parts>> targets;  // parts by allowance, then by index in `members`
  };
  void lower_level_if_idle();
  Division compute_targets() const;
  Grant grant(const LeaseRequest& ask, const Division& division, std::vector<Parts>& free);
  Parts next_lease_part(std::size_t a, const Member& member, Parts target, Parts free) const;

  Parts at_level(Parts parts) const {
    return static_cast<Parts>(static_cast<WideParts>(parts) * level_ / kFullLevel);
  }

  Terms terms_;
  Parts level_ = kFullLevel;
  std::map<MemberKey, Member> members_;
};

}  // namespace orchidgw::budget
