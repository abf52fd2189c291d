#include "budget/divide.h"

#include <algorithm>
#include <numeric>

namespace orchidgw::budget {
namespace {

using AllParts = std::vector<Parts>;

Parts sum_of(const AllParts& parts) { return std::accumulate(parts.begin(), parts.end(), Parts{0}); }

// Gives each claim `level` times its weight, clamped to its bounds.
AllParts at_level(Parts level, const std::vector<Claim>& claims, const AllParts& least,
                  const AllParts& most) {
  AllParts out(claims.size());
  for (std::size_t i = 0; i < out.size(); ++i) {
    const WideParts raised = static_cast<WideParts>(level) * claims[i].weight;
    out[i] = std::clamp(static_cast<Parts>(std::min<WideParts>(raised, most[i])), least[i], most[i]);
  }
  return out;
}

// Finds the highest level whose sum does not exceed `pool`, and hands out the remainder one by one.
// Precondition: sum(least) <= pool <= sum(most).
AllParts water_fill(Parts pool, const std::vector<Claim>& claims, const AllParts& least,
                    const AllParts& most) {
  Parts fitting_level = 0;
  Parts too_high_level = pool + 1;
  while (too_high_level - fitting_level > 1) {
    const Parts level = fitting_level + (too_high_level - fitting_level) / 2;
    (sum_of(at_level(level, claims, least, most)) <= pool ? fitting_level : too_high_level) = level;
  }
  AllParts out = at_level(fitting_level, claims, least, most);
  Parts remainder = pool - sum_of(out);
  while (remainder > 0) {  // at most two rounds if all weights are equal
    const Parts before = remainder;
    for (std::size_t i = 0; i < out.size() && remainder > 0; ++i)
      if (out[i] < most[i]) ++out[i], --remainder;
    if (remainder == before) break;
  }
  return out;
}

}  // namespace

std::vector<Parts> divide(Parts pool, const std::vector<Claim>& claims) {
  AllParts zeros(claims.size(), 0);
  if (claims.empty() || pool <= 0) return zeros;
  AllParts least(claims.size());
  AllParts wanted(claims.size());
  std::int64_t weights = 0;  // positive: there is a claim, and each has a positive weight
  for (std::size_t i = 0; i < claims.size(); ++i) {
    least[i] = std::max<Parts>(claims[i].least, 0);
    wanted[i] = std::max(claims[i].demand, least[i]);
    weights += claims[i].weight;
  }
  if (sum_of(least) > pool) return water_fill(pool, claims, zeros, least);
  if (sum_of(wanted) > pool) return water_fill(pool, claims, least, wanted);
  const Parts surplus = pool - sum_of(wanted);
  Parts remainder = surplus;
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    const auto part = static_cast<Parts>(static_cast<WideParts>(surplus) * claims[i].weight /
                                         std::max<std::int64_t>(weights, 1));
    wanted[i] += part;
    remainder -= part;
  }
  for (std::size_t i = 0; remainder > 0; i = (i + 1) % wanted.size()) ++wanted[i], --remainder;
  return wanted;
}

}  // namespace orchidgw::budget
