// Power loss of the whole fleet, on a simulated network, disks and clock: what a keeper had committed to its
// disk is kept, everything else is lost. Then all return in some order, some late, some while power is lost
// again.
#include <gtest/gtest.h>

#include "fleet_simulation.h"

namespace orchidgw::fleet {
namespace {

constexpr TimeUs kSecond = 1'000'000;
constexpr TimeUs kRamp = 5 * kSecond;

// Starts all keepers and members within `spread`, in random order.
void power_on(FleetSimulation& fleet, std::mt19937_64& random, TimeUs spread) {
  std::vector<std::pair<TimeUs, std::size_t>> starts;
  for (std::size_t node = 0; node < fleet.keepers() + fleet.members(); ++node)
    starts.emplace_back(static_cast<TimeUs>(random() % static_cast<std::uint64_t>(spread)), node);
  std::sort(starts.begin(), starts.end());
  const TimeUs from = fleet.now();
  for (const auto& [at, node] : starts) {
    if (from + at > fleet.now()) fleet.run(from + at - fleet.now());
    if (node < fleet.keepers()) {
      fleet.start_keeper(node);
    } else {
      fleet.start_member(node - fleet.keepers());
    }
  }
}

class PowerLoss : public ::testing::TestWithParam<int> {};

TEST_P(PowerLoss, TheSumHoldsTheRampIsKeptAndAllIsBackInTime) {
  constexpr int kSeeds = 50;
  int ramped = 0;
  for (int n = 0; n < kSeeds; ++n) {
    const auto seed = static_cast<std::uint64_t>(GetParam() * kSeeds + n + 1);
    std::mt19937_64 random(seed);
    FleetSimulation::Shape shape = fleet_shape(std::array{1, 3, 3, 5}[seed % 4], n == 0 ? 50 : 5 + n % 6);
    shape.terms.ramp = kRamp;
    FleetSimulation fleet(shape, seed);
    fleet.run(static_cast<TimeUs>(random() % 20) * kSecond);
    for (std::size_t losses = 1 + random() % 3; losses > 0; --losses) {
      fleet.power_off();
      // Sometimes off for less than a term: earlier leases would still be running if their holders had
      // survived.
      fleet.run(static_cast<TimeUs>(random() % 5'000) * 1'000);
      power_on(fleet, random, losses > 1 ? 3 * kSecond : 10 * kSecond);
    }
    // Time for the terms of earlier leases, the drift, the ramp, an election and two renewals.
    const TimeUs deadline = fleet.now() + 4 * kSecond + kRamp + 6 * kSecond;
    while (fleet.now() < deadline && fleet.violation().empty() && !fleet.fully_leased()) {
      fleet.run(50'000);
      const int leader = fleet.leads();
      if (leader < 0) continue;
      const budget::Ledger& ledger = fleet.ledger(static_cast<std::size_t>(leader));
      if (ledger.level() == budget::kFullLevel) continue;
      ++ramped;
      for (std::size_t allowance = 0; allowance < ledger.terms().allowances.size(); ++allowance)
        ASSERT_GE(ledger.free(allowance), 0) << "seed " << seed << " above the ramp";
    }
    ASSERT_EQ(fleet.violation(), "") << "seed " << seed;
    EXPECT_TRUE(fleet.fully_leased()) << "seed " << seed;
  }
  EXPECT_GT(ramped, 20 * kSeeds);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PowerLoss, ::testing::Range(0, 10));

// Half of the fleet, including a majority of the keepers, returns at once, the rest over ten minutes.
// Meanwhile the returned members hold all that can be leased, and each late one gets its part.
class PowerLossOfHalf : public ::testing::TestWithParam<int> {};

TEST_P(PowerLossOfHalf, TheRestComesBackOverTenMinutes) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  std::mt19937_64 random(seed);
  FleetSimulation::Shape shape = fleet_shape(3, 10);
  shape.terms.ramp = kRamp;
  FleetSimulation fleet(shape, seed);
  fleet.run(15 * kSecond);
  fleet.power_off();
  const std::size_t late_keeper = random() % 3;
  for (std::size_t keeper = 0; keeper < 3; ++keeper)
    if (keeper != late_keeper) fleet.start_keeper(keeper);
  for (std::size_t member = 0; member < 5; ++member) fleet.start_member(member);
  fleet.run(4 * kSecond + kRamp + 6 * kSecond);
  EXPECT_TRUE(fleet.fully_leased()) << "seed " << seed;
  for (std::size_t member = 5; member < 10; ++member) {
    fleet.run(static_cast<TimeUs>(60 + random() % 60) * kSecond);
    EXPECT_TRUE(fleet.fully_leased()) << "seed " << seed << " before " << member;
    fleet.start_member(member);
    if (member == 7) fleet.start_keeper(late_keeper);
  }
  fleet.run(10 * kSecond);
  ASSERT_EQ(fleet.violation(), "") << "seed " << seed;
  EXPECT_TRUE(fleet.fully_leased()) << "seed " << seed;
  for (std::size_t member = 0; member < 10; ++member)
    EXPECT_TRUE(fleet.holder(member).leased(fleet.now())) << member;
}

INSTANTIATE_TEST_SUITE_P(Seeds, PowerLossOfHalf, ::testing::Range(1, 11));

// If only the keepers lose power, the running members continue: no ramp, as the engines are not in slow
// start.
TEST(PowerLossOfKeepers, MembersThatLiveMeetNoRamp) {
  FleetSimulation::Shape shape = fleet_shape(3, 8);
  shape.terms.ramp = kRamp;
  FleetSimulation fleet(shape, 3);
  fleet.run(15 * kSecond);
  ASSERT_TRUE(fleet.fully_leased());
  for (std::size_t keeper = 0; keeper < 3; ++keeper) fleet.kill_keeper(keeper);
  for (std::size_t keeper = 0; keeper < 3; ++keeper) fleet.start_keeper(keeper);
  for (int n = 0; n < 60; ++n) {
    fleet.run(100'000);
    if (fleet.leads() < 0) continue;
    EXPECT_EQ(fleet.ledger(static_cast<std::size_t>(fleet.leads())).level(), budget::kFullLevel);
  }
  EXPECT_TRUE(fleet.fully_leased());
}

}  // namespace
}  // namespace orchidgw::fleet
