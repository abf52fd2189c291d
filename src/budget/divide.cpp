#include "budget/divide.h"

#include <algorithm>
#include <numeric>

namespace orchidgw::budget {
namespace {

using AllParts = std::vector<Parts>;

Parts sum_of(const AllParts& parts) { return std::accumulate(parts.begin(), parts.end(), Parts{0}); }

// Each at the same level by weight, but within its bounds.
AllParts at_level(Parts level, const std::vector<Claim>& claims, const AllParts& least,
                  const AllParts& most) {
  AllParts out(claims.size());
  for (std::size_t i = 0; i < out.size(); ++i) {
    const WideParts raised = static_cast<WideParts>(level) * claims[i].weight;
    out[i] = std::clamp(static_cast<Parts>(std::min<WideParts>(raised, most[i])), least[i], most[i]);
  }
  return out;
}

// The highest level whose sum fits, the rest one by one: sum(least) <= pool <= sum(most).
AllParts fill(Parts pool, const std::vector<Claim>& claims, const AllParts& least, const AllParts& most) {
  Parts fits = 0;
  Parts too_high = pool + 1;
  while (too_high - fits > 1) {
    const Parts level = fits + (too_high - fits) / 2;
    (sum_of(at_level(level, claims, least, most)) <= pool ? fits : too_high) = level;
  }
  AllParts out = at_level(fits, claims, least, most);
  Parts left = pool - sum_of(out);
  while (left > 0) {  // twice at the most where weights are even
    const Parts before = left;
    for (std::size_t i = 0; i < out.size() && left > 0; ++i)
      if (out[i] < most[i]) ++out[i], --left;
    if (left == before) break;
  }
  return out;
}

}  // namespace

std::vector<Parts> divide(Parts pool, const std::vector<Claim>& claims) {
  AllParts none(claims.size(), 0);
  if (claims.empty() || pool <= 0) return none;
  AllParts least(claims.size());
  AllParts wanted(claims.size());
  std::int64_t weights = 0;  // above zero: there is a claim, and each weighs something
  for (std::size_t i = 0; i < claims.size(); ++i) {
    least[i] = std::max<Parts>(claims[i].least, 0);
    wanted[i] = std::max(claims[i].demand, least[i]);
    weights += claims[i].weight;
  }
  if (sum_of(least) > pool) return fill(pool, claims, none, least);
  if (sum_of(wanted) > pool) return fill(pool, claims, least, wanted);
  const Parts rest = pool - sum_of(wanted);
  Parts left = rest;
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    const auto part = static_cast<Parts>(static_cast<WideParts>(rest) * claims[i].weight /
                                         std::max<std::int64_t>(weights, 1));
    wanted[i] += part;
    left -= part;
  }
  for (std::size_t i = 0; left > 0; i = (i + 1) % wanted.size()) ++wanted[i], --left;
  return wanted;
}

}  // namespace orchidgw::budget
