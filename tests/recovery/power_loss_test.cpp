// The whole fleet without power, on a network, disks and a clock moved by hand: what a keeper had committed
// is there, all else is gone; then all come back in some order, some late, some while power goes again.
#include <gtest/gtest.h>

#include "fleet_simulation.h"

namespace orchidgw::fleet {
namespace {

constexpr TimeUs kSecond = 1'000'000;
constexpr TimeUs kRamp = 5 * kSecond;

// Everyone is started within `spread`, in an order of its own.
void power_on(FleetSimulation& fleet, std::mt19937_64& random, TimeUs spread) {
  std::vector<std::pair<TimeUs, std::size_t>> starts;
  for (std::size_t i = 0; i < fleet.keepers() + fleet.members(); ++i)
    starts.emplace_back(static_cast<TimeUs>(random() % static_cast<std::uint64_t>(spread)), i);
  std::sort(starts.begin(), starts.end());
  const TimeUs from = fleet.now();
  for (const auto& [at, place] : starts) {
    if (from + at > fleet.now()) fleet.run(from + at - fleet.now());
    if (place < fleet.keepers()) {
      fleet.start_keeper(place);
    } else {
      fleet.start_member(place - fleet.keepers());
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
      // Off for less than a term too: old leases would still run, had their holders not died.
      fleet.run(static_cast<TimeUs>(random() % 5'000) * 1'000);
      power_on(fleet, random, losses > 1 ? 3 * kSecond : 10 * kSecond);
    }
    // All old terms, the drift, the ramp, an election and two renewals.
    const TimeUs until = fleet.now() + 4 * kSecond + kRamp + 6 * kSecond;
    while (fleet.now() < until && fleet.overdrawn().empty() && !fleet.all_in_use()) {
      fleet.run(50'000);
      const int leader = fleet.leads();
      if (leader < 0) continue;
      const budget::Ledger& ledger = fleet.ledger(static_cast<std::size_t>(leader));
      if (ledger.level() == budget::kFullLevel) continue;
      ++ramped;
      for (std::size_t a = 0; a < ledger.terms().allowances.size(); ++a)
        ASSERT_GE(ledger.free(a), 0) << "seed " << seed << " above the ramp";
    }
    ASSERT_EQ(fleet.overdrawn(), "") << "seed " << seed;
    EXPECT_TRUE(fleet.all_in_use()) << "seed " << seed;
  }
  EXPECT_GT(ramped, 20 * kSeeds);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PowerLoss, ::testing::Range(0, 10));

// Half is back at once, a majority of the keepers among it, the rest over ten minutes: those that are back
// have all there is to lease meanwhile, and who comes late has a part of it.
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
  for (std::size_t k = 0; k < 3; ++k)
    if (k != late_keeper) fleet.start_keeper(k);
  for (std::size_t m = 0; m < 5; ++m) fleet.start_member(m);
  fleet.run(4 * kSecond + kRamp + 6 * kSecond);
  EXPECT_TRUE(fleet.all_in_use()) << "seed " << seed;
  for (std::size_t m = 5; m < 10; ++m) {
    fleet.run(static_cast<TimeUs>(60 + random() % 60) * kSecond);
    EXPECT_TRUE(fleet.all_in_use()) << "seed " << seed << " before " << m;
    fleet.start_member(m);
    if (m == 7) fleet.start_keeper(late_keeper);
  }
  fleet.run(10 * kSecond);
  ASSERT_EQ(fleet.overdrawn(), "") << "seed " << seed;
  EXPECT_TRUE(fleet.all_in_use()) << "seed " << seed;
  for (std::size_t m = 0; m < 10; ++m) EXPECT_TRUE(fleet.holder(m).leased(fleet.now())) << m;
}

INSTANTIATE_TEST_SUITE_P(Seeds, PowerLossOfHalf, ::testing::Range(1, 11));

// Where the keepers alone were without power, members that live go on: no ramp for engines that are warm.
TEST(PowerLossOfKeepers, MembersThatLiveMeetNoRamp) {
  FleetSimulation::Shape shape = fleet_shape(3, 8);
  shape.terms.ramp = kRamp;
  FleetSimulation fleet(shape, 3);
  fleet.run(15 * kSecond);
  ASSERT_TRUE(fleet.all_in_use());
  for (std::size_t k = 0; k < 3; ++k) fleet.kill_keeper(k);
  for (std::size_t k = 0; k < 3; ++k) fleet.start_keeper(k);
  for (int n = 0; n < 60; ++n) {
    fleet.run(100'000);
    if (fleet.leads() < 0) continue;
    EXPECT_EQ(fleet.ledger(static_cast<std::size_t>(fleet.leads())).level(), budget::kFullLevel);
  }
  EXPECT_TRUE(fleet.all_in_use());
}

}  // namespace
}  // namespace orchidgw::fleet
