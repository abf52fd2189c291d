// Power losses of real processes: all are killed at one instant under load, come back in some order, some of
// them without their disks. Both sides are counted as in the other stories.
#include <gtest/gtest.h>

#include <sstream>

#include "fleet_harness.h"

namespace orchidgw::integration {
namespace {

constexpr int kControllers = 5;

// The stages that a process wrote, in order, without those it fell back to.
std::vector<std::string> stages(const std::string& log) {
  const std::vector<std::string> order = {"store", "keepers", "log", "terms", "budgets", "ramp", "full"};
  std::vector<std::string> out;
  std::size_t furthest = 0;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    const auto at = line.find("stage ");
    if (at == std::string::npos) continue;
    const std::string name = line.substr(at + 6, line.find_first_of(" \"", at + 6) - at - 6);
    const auto place = static_cast<std::size_t>(std::find(order.begin(), order.end(), name) - order.begin());
    if (place < order.size() && (out.empty() || place > furthest)) {
      furthest = place;
      out.push_back(name);
    }
  }
  return out;
}

class PowerLossOfAll : public ::testing::TestWithParam<std::vector<int>> {
 protected:
  PowerLossOfAll() : fleet(shape()) {}
  static FleetShape shape() {
    FleetShape out;
    out.controllers = kControllers;
    out.keepers = 3;
    out.tenants = {"acme", "beta"};
    out.ramp_ms = 2'000;
    return out;
  }
  FleetHarness fleet;
};

TEST_P(PowerLossOfAll, ComesBackInStagesAndOverdrawsNothing) {
  const std::vector<int>& order = GetParam();
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_divided(order));
  fleet.traffic();
  for (int loss = 0; loss < 2; ++loss) {  // the second while they recover from the first
    fleet.kill_all();
    for (const int i : order) fleet.start(i);
    for (const int i : order) ASSERT_TRUE(fleet.wait_line(i, "stage "));
  }
  ASSERT_TRUE(fleet.wait_divided(order));
  const auto counts = fleet.stop_traffic();
  for (const int i : order) {
    ASSERT_TRUE(fleet.wait_line(i, "stage full"));
    const auto seen = stages(fleet.at(i).log());
    ASSERT_GE(seen.size(), 3U);
    EXPECT_EQ(seen[seen.size() - 2], "ramp") << "controller " << i;
  }
  EXPECT_GT(counts.served, 0);
  EXPECT_EQ(counts.asked, counts.served + counts.refused + counts.failed + counts.lost);
  EXPECT_LE(counts.served, fleet.admitted());
  EXPECT_LE(fleet.admitted(), counts.served + counts.lost + counts.failed);
  EXPECT_TRUE(fleet.rate_held(10 + 3 * kControllers));
  EXPECT_LE(fleet.most_running(), shape().concurrency);
  const Audit audit = fleet.audit();
  EXPECT_EQ(audit.fault, "");
}

INSTANTIATE_TEST_SUITE_P(Orders, PowerLossOfAll,
                         ::testing::Values(std::vector<int>{0, 1, 2, 3, 4}, std::vector<int>{4, 3, 2, 1, 0},
                                           std::vector<int>{3, 1, 4, 0, 2}));

class LostDisk : public PowerLossOfAll {};

// Its vote on an empty disk would be a second one: two of three are then no majority.
TEST_F(LostDisk, AKeeperWithoutItsDiskDoesNotVoteAndTheOthersGoOn) {
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_divided({0, 1, 2, 3, 4}));
  fleet.kill(0);
  fleet.lose_store(0);
  fleet.start(0);
  EXPECT_TRUE(fleet.wait_line(0, "it must not vote on an empty one"));
  EXPECT_TRUE(fleet.wait_divided({0, 1, 2, 3, 4}));  // as a member it has its part
  fleet.kill(1);
  for (const int i : {0, 2, 3, 4})
    EXPECT_TRUE(fleet.wait_line(i, "no lease: the cut-off part alone is used")) << i;
  fleet.start(1);
  EXPECT_TRUE(fleet.wait_divided({0, 1, 2, 3, 4}));
  EXPECT_EQ(fleet.audit().fault, "");
}

// All disks at once: another log is begun, and what the lost one had leased is waited out.
TEST_F(LostDisk, AllKeepersWithoutTheirDisksBeginAnewAfterTheOldTerms) {
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_divided({0, 1, 2, 3, 4}));
  fleet.traffic();
  for (const int k : {0, 1, 2}) fleet.kill(k);
  for (const int k : {0, 1, 2}) fleet.lose_store(k);
  for (const int k : {0, 1, 2}) fleet.start(k);
  for (const int k : {0, 1, 2}) EXPECT_TRUE(fleet.wait_line(k, "a log is begun"));
  EXPECT_TRUE(fleet.wait_divided({0, 1, 2, 3, 4}));
  fleet.stop_traffic();
  EXPECT_TRUE(fleet.rate_held(10 + 10));
  EXPECT_LE(fleet.most_running(), shape().concurrency);
  EXPECT_EQ(fleet.audit().fault, "");
}

}  // namespace
}  // namespace orchidgw::integration
