// Weighted max-min division of parts by demand (Bertsekas, Gallager: Data Networks, 6.5.2; the water-filling
// of Demers, Keshav, Shenker 1989), in integers.
#pragma once

#include <vector>

#include "budget/terms.h"

namespace orchidgw::budget {

struct Claim {
  Parts demand = 0;
  Parts least = 0;  // before any demand is met
  std::int64_t weight = 1;
};

// The part of each claim: sums to `pool` exactly where there is a claim. Nobody gets more than its demand
// while another lacks some of its own; what no demand needs is spread by weight.
std::vector<Parts> divide(Parts pool, const std::vector<Claim>& claims);

}  // namespace orchidgw::budget
