// Weighted max-min division of parts by demand (Bertsekas, Gallager: Data Networks, 6.5.2; the water-filling
// of Demers, Keshav, Shenker 1989), in integers.
#pragma once

#include <vector>

#include "budget/terms.h"

namespace orchidgw::budget {

struct Claim {
  Parts demand = 0;
  Parts least = 0;  // served before any demand
  std::int64_t weight = 1;
};

// Returns the part of each claim, in their order. The parts sum to exactly `pool` if there is a claim. No
// claim gets more than its demand (or its `least`, if that is more) while the demand of another is not met;
// what remains after all demands is spread by weight.
std::vector<Parts> divide(Parts pool, const std::vector<Claim>& claims);

}  // namespace orchidgw::budget
