// What is divided in a fleet, and on which terms: one whole for each allowance, counted in integer parts, so
// that sums are exact. Plain values; no I/O, no clock.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace orchidgw::budget {

using Parts = std::int64_t;
__extension__ typedef __int128 WideParts;  // products of parts, exact

inline constexpr Parts kFullLevel = 1'000'000;
inline constexpr Parts kRampSteps = 10;
inline Parts percent_of(Parts level) { return level * 100 / kFullLevel; }  // for operators

// One allowance and its whole. largest x cut_off + reserve <= whole.
struct Allowance {
  std::string name;
  Parts whole = 0;
  Parts cut_off = 0;  // each controller's at any time, lease or not: set aside for the largest number of them
  Parts reserve = 0;  // kept free for newcomers
  Parts least = 0;    // of each live member, where that many can be had
  bool operator==(const Allowance&) const = default;
};

struct Terms {
  std::uint64_t revision = 0;  // of the operators' file; only ever rises
  int largest = 1;             // controllers there may ever be at one time
  TimeUs term = 0;             // of a lease, from when its holder asked for it
  std::int64_t drift_ppm = 0;  // any two clocks run apart by this at the most (parts per million)
  std::vector<Allowance> allowances;
  // Once next to nothing of the whole is leased (all members were lost at once), what leases sum to rises to
  // it over this time: engines are cold then, and meet one sum, however many controllers there are. 0: at
  // once.
  TimeUs ramp = 0;
  TimeUs longest_rest = 0;  // of a key that the fleet keeps; 0: it keeps none
  bool operator==(const Terms&) const = default;

  // What leases may sum to: the whole less what is set aside for those that are cut off.
  Parts shared(std::size_t a) const { return allowances[a].whole - largest * allowances[a].cut_off; }
  // A lease of `term` that was put in force so long ago can't be used by its holder any more, whatever the
  // drift of both clocks.
  static TimeUs surely_over_after(TimeUs term, std::int64_t drift_ppm) {
    return term + 2 * (term * drift_ppm / 1'000'000) + 1;
  }
};

// One process of a controller: another start of the same one is another incarnation.
struct MemberKey {
  std::string name;
  std::uint64_t incarnation = 0;
  auto operator<=>(const MemberKey&) const = default;
};

// What a member tells of itself, and asks for by that.
struct Ask {
  MemberKey from;
  std::uint64_t seq = 0;       // rises with each ask of an incarnation
  std::uint64_t revision = 0;  // of the terms that it knows
  std::uint64_t acked = 0;     // the newest lease that it has taken over
  bool leaving = false;        // it uses nothing any more but its cut-off part
  std::vector<Parts> demand;   // by allowance: what it could use
  std::vector<Parts> held;     // by allowance: what it uses at the most until it is granted more
  bool operator==(const Ask&) const = default;
};

struct Grant {
  enum class Kind {
    kLease,
    kSuperseded,  // a later incarnation of its name is here: use nothing any more
    kNoRoom,      // for now: as many controllers as there may be are members, or a later start of its name is
    kLeft         // its leaving is known
  };
  MemberKey to;
  std::uint64_t seq = 0;  // of the ask that it answers: the term counts from when that was sent
  Kind kind = Kind::kLease;
  std::uint64_t number = 0;    // rises with each lease of an incarnation
  std::uint64_t revision = 0;  // of the terms by which `parts` are counted
  TimeUs term = 0;
  int live = 1;              // members
  int place = 0;             // of this one among them, from 0
  std::vector<Parts> parts;  // by allowance, beside the cut-off part
  Parts level = kFullLevel;  // parts per million of the whole that the fleet is held to
  bool settled = false;      // these are half of what it is due, or more: no old leases are in the way
  bool operator==(const Grant&) const = default;
};

// Said by the leading keeper alone: the lease of that number is over by its clock.
struct Expiry {
  MemberKey member;
  std::uint64_t number = 0;
  bool operator==(const Expiry&) const = default;
};

// What is agreed on in one step: applied whole; terms and level first, asks last.
struct Entry {
  std::vector<Terms> terms;  // none or one
  std::vector<Expiry> expired;
  std::vector<Ask> asks;
  std::vector<Parts> level = {};  // none or one: of the ramp, parts per million
  bool empty() const { return terms.empty() && expired.empty() && asks.empty() && level.empty(); }
  bool operator==(const Entry&) const = default;
};

}  // namespace orchidgw::budget
