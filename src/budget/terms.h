// Data types of the leases by which a fleet of controllers divides its allowances: each allowance has a
// total, counted in integer parts so that sums are exact. Plain values; no I/O, no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace orchidgw::budget {

using Parts = std::int64_t;
__extension__ typedef __int128 WideParts;  // products of parts, exact

inline constexpr Parts kFullLevel = 1'000'000;  // the ramp's level when it is over, in parts per million
inline constexpr Parts kRampSteps = 10;
inline Parts percent_of(Parts level) { return level * 100 / kFullLevel; }  // for operators

// One allowance, in parts. Invariant: Terms::largest * cut_off + reserve <= whole.
struct Allowance {
  std::string name;
  Parts whole = 0;    // total of the fleet
  Parts cut_off = 0;  // usable by each controller, with or without a lease; set aside for `largest` of them
  Parts reserve = 0;  // kept free for new members
  Parts least = 0;    // minimum of each live member, as far as the total allows it
  bool operator==(const Allowance&) const = default;
};

// The conditions under which leases are granted, as stated in the operators' file.
struct Terms {
  std::uint64_t revision = 0;  // of the operators' file; never decreases
  int largest = 1;             // largest number of controllers at any time
  TimeUs term = 0;             // duration of a lease, from the time of its request
  std::int64_t drift_ppm = 0;  // largest difference between the rates of any two clocks, in parts per million
  std::vector<Allowance> allowances;
  // When hardly anything is leased any more (all members were lost at once), the sum of all leases rises from
  // a low level to the total over this time. Engines are in slow start then, and the limit holds for the
  // fleet as a whole, however many controllers there are. 0: no ramp.
  TimeUs ramp = 0;
  TimeUs longest_key_hold = 0;  // longest time for which the fleet holds a key; 0: it holds no keys
  bool operator==(const Terms&) const = default;

  // The largest sum of all leases of allowance `a`: the total less all cut-off parts.
  Parts shared(std::size_t a) const { return allowances[a].whole - largest * allowances[a].cut_off; }
  // Time after which a lease of `term` has expired for its holder as well, counted on a keeper's clock from
  // when it was granted there, with the drift of both clocks included.
  static TimeUs safe_expiry_delay(TimeUs term, std::int64_t drift_ppm) {
    return term + 2 * (term * drift_ppm / 1'000'000) + 1;
  }
};

// Identifies one process of a controller; each start of the controller is another incarnation.
struct MemberKey {
  std::string name;
  std::uint64_t incarnation = 0;
  auto operator<=>(const MemberKey&) const = default;
};

// A member's request for a lease, with its state.
struct LeaseRequest {
  MemberKey from;
  std::uint64_t seq = 0;       // rises with each request of an incarnation
  std::uint64_t revision = 0;  // of the terms that the member knows
  std::uint64_t acked = 0;     // number of the newest lease that the member has adopted
  bool leaving = false;        // the member uses nothing but its cut-off parts any more
  std::vector<Parts> demand;   // by allowance: what it could use
  std::vector<Parts> held;     // by allowance: the most that it uses until it is granted more
  bool operator==(const LeaseRequest&) const = default;
};

// The answer to a lease request.
struct Grant {
  enum class Kind {
    kLease,
    kSuperseded,   // a later incarnation of its name is a member: it must not use anything any more
    kNotAdmitted,  // not admitted for now: `largest` members, or a later incarnation of its name is a member
    kLeft          // confirms that it has left
  };
  MemberKey to;
  std::uint64_t seq = 0;  // of the request; the term counts from the time when that was sent
  Kind kind = Kind::kLease;
  std::uint64_t number = 0;    // rises with each lease of an incarnation
  std::uint64_t revision = 0;  // of the terms that `parts` refer to
  TimeUs term = 0;
  int live = 1;              // number of members
  int place = 0;             // index of this member among them, from 0
  std::vector<Parts> parts;  // by allowance, in addition to the cut-off parts
  Parts level = kFullLevel;  // of the ramp: limits the fleet to this share of the total, in parts per million
  // At least half of its target in each allowance: old leases do not block it any more.
  bool half_granted = false;
  bool operator==(const Grant&) const = default;
};

// The lease of that number has expired by the leading keeper's clock. Only the leader creates these.
struct Expiry {
  MemberKey member;
  std::uint64_t number = 0;
  bool operator==(const Expiry&) const = default;
};

// One entry of the replicated log, applied atomically: terms and level first, then expiries, then requests.
struct Entry {
  std::vector<Terms> terms;  // at most one
  std::vector<Expiry> expired;
  std::vector<LeaseRequest> asks;
  std::vector<Parts> level = {};  // at most one: a level of the ramp, in parts per million
  bool empty() const { return terms.empty() && expired.empty() && asks.empty() && level.empty(); }
  bool operator==(const Entry&) const = default;
};

}  // namespace orchidgw::budget
