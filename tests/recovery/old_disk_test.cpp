// A keeper is started on a copy of its disk from before: what it acknowledged since, and where it voted, it
// does not know any more.
#include <gtest/gtest.h>

#include <numeric>

#include "fleet_simulation.h"

namespace orchidgw::fleet {
namespace {

constexpr TimeUs kSecond = 1'000'000;

// The others go on; the one on the old disk catches up and is the copy that it was before: the majority
// holds with it when another one is lost.
TEST(OldDisk, AKeeperCatchesUpUnderTheSameLeaderAndCountsAgain) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FleetSimulation fleet(fleet_shape(3, 6), seed);
    fleet.run(6 * kSecond);
    for (int n = 0; n < 40 && fleet.leads() < 0; ++n) fleet.run(kSecond / 4);
    ASSERT_GE(fleet.leads(), 0) << "seed " << seed;
    const std::size_t leader = static_cast<std::size_t>(fleet.leads());
    const std::size_t old = (leader + 1) % 3, other = (leader + 2) % 3;
    const store::Disk copy = fleet.copy_of_disk(old);
    fleet.run(static_cast<TimeUs>(1 + seed % 10) * kSecond);
    fleet.kill_keeper(old);
    fleet.put_back_disk(old, copy);
    fleet.start_keeper(old);
    fleet.run(6 * kSecond);  // the leader steps down within two, and an election follows
    fleet.kill_keeper(other);
    // An election, old terms, two renewals; with the one that was killed there are two of three.
    for (int n = 0; n < 30 && !(n > 4 && fleet.leads() >= 0 && fleet.all_in_use()); ++n)
      fleet.run(kSecond / 2);
    EXPECT_EQ(fleet.overdrawn(), "") << "seed " << seed;
    EXPECT_GE(fleet.leads(), 0) << "seed " << seed;
    EXPECT_TRUE(fleet.all_in_use()) << "seed " << seed;
  }
}

// Power is lost by all, one comes back on an old disk; the others within the time that greetings are waited
// for. One of them may lack what only the old disk and the third had.
class OldDiskOverAPowerLoss : public ::testing::TestWithParam<int> {};

TEST_P(OldDiskOverAPowerLoss, NothingAgreedOnIsLost) {
  constexpr int kSeeds = 50;
  std::uint64_t sent = 0;
  for (int n = 1; n <= kSeeds; ++n) {
    const auto seed = static_cast<std::uint64_t>(GetParam() * kSeeds + n);
    std::mt19937_64 random(seed);
    FleetSimulation fleet(fleet_shape(seed % 4 == 0 ? 5 : 3, 6), seed);
    fleet.run(12 * kSecond);
    const std::size_t old = random() % fleet.keepers();
    const std::size_t behind = (old + 1 + random() % (fleet.keepers() - 1)) % fleet.keepers();
    const store::Disk copy = fleet.copy_of_disk(old);
    for (std::size_t k = 0; k < fleet.keepers(); ++k) fleet.cut(k, behind, k != behind);
    fleet.run(static_cast<TimeUs>(500 + random() % 4'000) * 1'000);
    fleet.power_off();
    fleet.heal();
    fleet.put_back_disk(old, copy);
    std::vector<std::size_t> order(fleet.keepers());
    std::iota(order.begin(), order.end(), 0U);
    std::shuffle(order.begin(), order.end(), random);
    for (const std::size_t k : order) {
      fleet.start_keeper(k);
      fleet.run(static_cast<TimeUs>(random() % 400) * 1'000);
    }
    for (std::size_t m = 0; m < fleet.members(); ++m) fleet.start_member(m);
    for (int wait = 0; wait < 40 && !fleet.all_in_use() && fleet.overdrawn().empty(); ++wait)
      fleet.run(500'000);
    ASSERT_EQ(fleet.overdrawn(), "") << "seed " << seed;
    EXPECT_TRUE(fleet.all_in_use()) << "seed " << seed;
    sent += fleet.keys_sent();
  }
  EXPECT_GT(sent, 5U * kSeeds);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OldDiskOverAPowerLoss, ::testing::Range(0, 8));

}  // namespace
}  // namespace orchidgw::fleet
