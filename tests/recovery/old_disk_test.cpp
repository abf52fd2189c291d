// A keeper is started on an old copy of its disk, which lacks the entries that it has acknowledged and the
// votes that it has cast since.
#include <gtest/gtest.h>

#include <numeric>

#include "fleet_simulation.h"

namespace orchidgw::fleet {
namespace {

constexpr TimeUs kSecond = 1'000'000;

// The other keepers continue. The one on the old disk catches up and is a full copy again: it forms a
// majority when another keeper is lost.
TEST(OldDisk, AKeeperCatchesUpUnderTheSameLeaderAndCountsAgain) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FleetSimulation fleet(fleet_shape(3, 6), seed);
    fleet.run(6 * kSecond);
    for (int n = 0; n < 40 && fleet.leads() < 0; ++n) fleet.run(kSecond / 4);
    ASSERT_GE(fleet.leads(), 0) << "seed " << seed;
    const std::size_t leader = static_cast<std::size_t>(fleet.leads());
    const std::size_t restored = (leader + 1) % 3, other = (leader + 2) % 3;
    const store::Disk disk_copy = fleet.copy_of_disk(restored);
    fleet.run(static_cast<TimeUs>(1 + seed % 10) * kSecond);
    fleet.kill_keeper(restored);
    fleet.put_back_disk(restored, disk_copy);
    fleet.start_keeper(restored);
    fleet.run(6 * kSecond);  // the leader steps down within two, and an election follows
    fleet.kill_keeper(other);
    // Time for an election, the terms of earlier leases and two renewals; without the killed keeper two of
    // three run.
    for (int n = 0; n < 30 && !(n > 4 && fleet.leads() >= 0 && fleet.fully_leased()); ++n)
      fleet.run(kSecond / 2);
    EXPECT_EQ(fleet.violation(), "") << "seed " << seed;
    EXPECT_GE(fleet.leads(), 0) << "seed " << seed;
    EXPECT_TRUE(fleet.fully_leased()) << "seed " << seed;
  }
}

// All lose power, and one keeper returns on an old disk; the others return within the time for which
// greetings are waited for. One of them may lack entries that only the keeper with the old disk and a third
// one had.
class OldDiskOverAPowerLoss : public ::testing::TestWithParam<int> {};

TEST_P(OldDiskOverAPowerLoss, NothingAgreedOnIsLost) {
  constexpr int kSeeds = 50;
  std::uint64_t sent = 0;
  for (int n = 1; n <= kSeeds; ++n) {
    const auto seed = static_cast<std::uint64_t>(GetParam() * kSeeds + n);
    std::mt19937_64 random(seed);
    FleetSimulation fleet(fleet_shape(seed % 4 == 0 ? 5 : 3, 6), seed);
    fleet.run(12 * kSecond);
    const std::size_t restored = random() % fleet.keepers();
    const std::size_t lagging = (restored + 1 + random() % (fleet.keepers() - 1)) % fleet.keepers();
    const store::Disk disk_copy = fleet.copy_of_disk(restored);
    for (std::size_t keeper = 0; keeper < fleet.keepers(); ++keeper)
      fleet.cut(keeper, lagging, keeper != lagging);
    fleet.run(static_cast<TimeUs>(500 + random() % 4'000) * 1'000);
    fleet.power_off();
    fleet.heal();
    fleet.put_back_disk(restored, disk_copy);
    std::vector<std::size_t> order(fleet.keepers());
    std::iota(order.begin(), order.end(), 0U);
    std::shuffle(order.begin(), order.end(), random);
    for (const std::size_t keeper : order) {
      fleet.start_keeper(keeper);
      fleet.run(static_cast<TimeUs>(random() % 400) * 1'000);
    }
    for (std::size_t member = 0; member < fleet.members(); ++member) fleet.start_member(member);
    for (int round = 0; round < 40 && !fleet.fully_leased() && fleet.violation().empty(); ++round)
      fleet.run(500'000);
    ASSERT_EQ(fleet.violation(), "") << "seed " << seed;
    EXPECT_TRUE(fleet.fully_leased()) << "seed " << seed;
    sent += fleet.keys_sent();
  }
  EXPECT_GT(sent, 5U * kSeeds);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OldDiskOverAPowerLoss, ::testing::Range(0, 8));

}  // namespace
}  // namespace orchidgw::fleet
