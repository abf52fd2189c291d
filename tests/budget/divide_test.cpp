// Tests of the weighted max-min division.
#include "budget/divide.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <numeric>

namespace orchidgw::budget {
namespace {

Parts sum_of(const std::vector<Parts>& parts) {
  return std::accumulate(parts.begin(), parts.end(), Parts{0});
}

TEST(Divide, WhoNeedsLessLeavesMoreToAllOthers) {
  EXPECT_EQ(divide(100, {{10, 0, 1}, {50, 0, 1}, {90, 0, 1}}), (std::vector<Parts>{10, 45, 45}));
  EXPECT_EQ(divide(100, {{10, 0, 1}, {10, 0, 1}}), (std::vector<Parts>{50, 50}));  // the remainder is spread
  EXPECT_EQ(divide(9, {{0, 10, 1}, {0, 3, 1}}), (std::vector<Parts>{6, 3}));  // not enough for all of `least`
  EXPECT_EQ(divide(90, {{90, 0, 2}, {90, 0, 1}}), (std::vector<Parts>{60, 30}));
  EXPECT_EQ(divide(100, {{0, 20, 1}, {500, 20, 1}}), (std::vector<Parts>{20, 80}));
  EXPECT_EQ(divide(0, {{5, 5, 1}}), (std::vector<Parts>{0}));
  EXPECT_TRUE(divide(5, {}).empty());
}

TEST(Divide, GivesAllAndIsMaxMinFair) {
  ::setenv("RC_PARAMS", "seed=20261201 max_success=200", 1);
  EXPECT_TRUE(rc::check([] {
    const auto n = *rc::gen::inRange<std::size_t>(1, 40);
    const auto pool = *rc::gen::inRange<Parts>(0, 2'000'000);
    std::vector<Claim> claims;
    for (std::size_t i = 0; i < n; ++i)
      claims.push_back({*rc::gen::inRange<Parts>(0, 100'000), *rc::gen::inRange<Parts>(0, 1'000), 1});
    const std::vector<Parts> out = divide(pool, claims);
    RC_ASSERT(sum_of(out) == pool);
    Parts least = 0;
    for (const Claim& c : claims) least += c.least;
    for (std::size_t i = 0; i < n; ++i) {
      if (least <= pool) RC_ASSERT(out[i] >= claims[i].least);
      // A claim whose demand is not met gets no less than any other claim beyond its least, except for
      // rounding.
      if (out[i] >= claims[i].demand) continue;
      for (std::size_t j = 0; j < n; ++j) RC_ASSERT(out[j] <= std::max(out[i], claims[j].least) + 1);
    }
  }));
}

}  // namespace
}  // namespace orchidgw::budget
