// Power losses of a fleet of real processes: all are killed at one instant under load and restart in various
// orders, some of them without their disks. Guards against limits that are exceeded, or queries that are not
// accounted for, while the fleet recovers; clients and engines both count.
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "fleet_harness.h"

namespace orchidgw::integration {
namespace {

constexpr int kControllers = 5;

// The recovery stages that a process logged, in order, without the earlier ones that it fell back to.
std::vector<std::string> stages_in_order(const std::string& log) {
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
  ASSERT_TRUE(fleet.wait_fully_leased(order));
  fleet.start_traffic();
  for (int loss = 0; loss < 2; ++loss) {  // the second comes during the recovery from the first
    fleet.kill_all();
    for (const int i : order) fleet.start(i);
    for (const int i : order) ASSERT_TRUE(fleet.wait_line(i, "stage "));
  }
  ASSERT_TRUE(fleet.wait_fully_leased(order));
  const auto counts = fleet.stop_traffic();
  for (const int i : order) {
    ASSERT_TRUE(fleet.wait_line(i, "stage full"));
    const auto seen = stages_in_order(fleet.at(i).log());
    ASSERT_GE(seen.size(), 3U);
    EXPECT_EQ(seen[seen.size() - 2], "ramp") << "controller " << i;
  }
  EXPECT_GT(counts.served, 0);
  EXPECT_EQ(counts.asked, counts.served + counts.refused + counts.failed + counts.lost);
  EXPECT_LE(counts.served, fleet.admitted());
  EXPECT_LE(fleet.admitted(), counts.served + counts.lost + counts.failed);
  EXPECT_TRUE(fleet.rate_within_limit(10 + 3 * kControllers));
  EXPECT_LE(fleet.max_running(), shape().concurrency);
  const Audit audit = fleet.audit();
  EXPECT_EQ(audit.violation, "");
}

INSTANTIATE_TEST_SUITE_P(Orders, PowerLossOfAll,
                         ::testing::Values(std::vector<int>{0, 1, 2, 3, 4}, std::vector<int>{4, 3, 2, 1, 0},
                                           std::vector<int>{3, 1, 4, 0, 2}));

// The controllers are in full service before any engine is listed: until then every query is refused, and
// what is admitted once the engines are back stays within the rates.
class EnginesLast : public PowerLossOfAll {};

TEST_F(EnginesLast, UntilTheyAreBackAllIsRefusedAndThenTheRatesHold) {
  const std::vector<int> all = {0, 1, 2, 3, 4};
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_fully_leased(all));
  fleet.start_traffic();
  ASSERT_TRUE(fleet.wait_served(20));
  fleet.kill_all();
  fleet.list_engines(false);
  fleet.start_all();
  for (const int i : all) ASSERT_TRUE(fleet.wait_line(i, "stage full")) << i;
  const long before = fleet.admitted();
  EXPECT_TRUE(fleet.wait_refused(20));
  EXPECT_EQ(fleet.admitted(), before);
  fleet.list_engines(true);
  EXPECT_TRUE(fleet.wait_served(100));
  const auto counts = fleet.stop_traffic();
  EXPECT_EQ(counts.asked, counts.served + counts.refused + counts.failed + counts.lost);
  EXPECT_LE(counts.served, fleet.admitted());
  EXPECT_LE(fleet.admitted(), counts.served + counts.lost + counts.failed);
  EXPECT_TRUE(fleet.rate_within_limit(10 + 3 * kControllers));
  EXPECT_LE(fleet.max_running(), shape().concurrency);
  EXPECT_EQ(fleet.audit().violation, "");
}

// Operators lower the total of a limit. Power is lost when the first so many controllers (the parameter) have
// the new file and may have read it; the others get it only after their restart.
class PowerLossWithinAReload : public ::testing::TestWithParam<int> {};

TEST_P(PowerLossWithinAReload, TheSumHoldsAndTheNewWholeIsFollowed) {
  FleetShape shape;
  shape.controllers = kControllers;
  shape.keepers = 3;
  FleetHarness fleet(shape);
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3, 4}));
  fleet.start_traffic();
  FleetShape smaller = shape;
  smaller.rate = 80;
  smaller.concurrency = 12;
  fleet.reconfigure(smaller, 2, GetParam());
  if (GetParam() == kControllers) {
    ASSERT_TRUE(fleet.wait_line(0, "revision 2 "));
  }
  fleet.kill_all();
  fleet.start_all();
  fleet.reconfigure(smaller, 2);
  for (int i = 0; i < kControllers; ++i) EXPECT_TRUE(fleet.wait_line(i, "revision 2 ")) << i;
  EXPECT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3, 4}));
  const auto counts = fleet.stop_traffic();
  EXPECT_GT(counts.served, 0);
  EXPECT_EQ(counts.asked, counts.served + counts.refused + counts.failed + counts.lost);
  EXPECT_LE(counts.served, fleet.admitted());
  EXPECT_LE(fleet.max_running(), shape.concurrency);
  std::int64_t sum = 0;
  for (int i = 0; i < kControllers; ++i) sum += fleet.newest_lease_part(i, "rate/acme");
  EXPECT_LT(sum, 80'000);
  EXPECT_GT(sum, 40'000);
  EXPECT_EQ(fleet.audit().violation, "");
}

// One keeper, all keepers, all controllers.
INSTANTIATE_TEST_SUITE_P(Files, PowerLossWithinAReload, ::testing::Values(1, 3, 5));

class LostDisk : public PowerLossOfAll {};

// With an empty disk it could vote twice in one term, so it does not vote: one more keeper down, and there is
// no majority.
TEST_F(LostDisk, AKeeperWithoutItsDiskDoesNotVoteAndTheOthersGoOn) {
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3, 4}));
  fleet.kill(0);
  fleet.lose_store(0);
  fleet.start(0);
  EXPECT_TRUE(fleet.wait_line(0, "it must not vote on an empty one"));
  EXPECT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3, 4}));  // as a member it still gets leases
  fleet.kill(1);
  for (const int i : {0, 2, 3, 4})
    EXPECT_TRUE(fleet.wait_line(i, "no lease: the cut-off part alone is used")) << i;
  fleet.start(1);
  EXPECT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3, 4}));
  EXPECT_EQ(fleet.audit().violation, "");
}

// All keepers lose their disks: a new log is bootstrapped, and grants wait until the leases of the lost log
// have expired.
TEST_F(LostDisk, AllKeepersWithoutTheirDisksBeginAnewAfterTheOldTerms) {
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3, 4}));
  fleet.start_traffic();
  for (const int k : {0, 1, 2}) fleet.kill(k);
  for (const int k : {0, 1, 2}) fleet.lose_store(k);
  for (const int k : {0, 1, 2}) fleet.start(k);
  for (const int k : {0, 1, 2}) EXPECT_TRUE(fleet.wait_line(k, "a log is begun"));
  EXPECT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3, 4}));
  fleet.stop_traffic();
  EXPECT_TRUE(fleet.rate_within_limit(10 + 10));
  EXPECT_LE(fleet.max_running(), shape().concurrency);
  EXPECT_EQ(fleet.audit().violation, "");
}

// A keeper's store is damaged in one of several ways: it refuses to start, with a line that names the folder,
// or, where the fleet file says `bad_store: careful`, starts as a plain member. The others keep serving, and
// no limit is exceeded.
class DamagedStore : public ::testing::Test {
 protected:
  static FleetShape shape(bool start_with_bad_store) {
    FleetShape out;
    out.controllers = 4;
    out.keepers = 3;
    out.term_ms = 600;
    out.start_with_bad_store = start_with_bad_store;
    return out;
  }
  static void write(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
  }
  static std::string read(const std::string& path) {
    std::ostringstream out;
    out << std::ifstream(path, std::ios::binary).rdbuf();
    return out.str();
  }
};

TEST_F(DamagedStore, IsRefusedWithALineAtEachPlaceAndTheOthersGoOn) {
  FleetHarness fleet(shape(false));
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3}));
  fleet.start_traffic();
  fleet.kill(0);
  const std::string file = fleet.store(0) + "/data.mdb";
  const std::string good = read(file);
  std::vector<std::string> damaged = {good.substr(0, 1), good.substr(0, 4'096), good.substr(0, 8'192),
                                      "not a store at all" + std::string(20'000, 'x')};
  std::string corrupt = good;
  std::fill_n(corrupt.begin(), 8'192, '\xff');  // both meta pages
  damaged.push_back(corrupt);
  corrupt = good;
  for (std::size_t at = good.find("test"); at != std::string::npos; at = good.find("test", at + 1))
    corrupt[at] = 'T';  // the fleet's name, in each copy of the owner record
  damaged.push_back(corrupt);
  for (std::size_t n = 0; n < damaged.size(); ++n) {
    write(file, damaged[n]);
    const std::string said = fleet.start_error(0);
    EXPECT_NE(said.find("orchidgw: " + fleet.store(0) + ": "), std::string::npos) << n << ": " << said;
  }
  write(file, good);
  fleet.start(0);
  EXPECT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3}));
  fleet.stop_traffic();
  EXPECT_TRUE(fleet.rate_within_limit(10 + 10));
  EXPECT_EQ(fleet.audit().violation, "");
}

TEST_F(DamagedStore, StartsCarefulWhereTheFileSaysSo) {
  FleetHarness fleet(shape(true));
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3}));
  fleet.kill(0);
  write(fleet.store(0) + "/data.mdb", "not a store at all" + std::string(20'000, 'x'));
  fleet.start(0);
  EXPECT_TRUE(fleet.wait_line(0, "starts careful, as a member that keeps nothing: " + fleet.store(0)));
  EXPECT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3}));
  // It does not count as a copy of the log: with one more keeper down there is no majority.
  fleet.kill(1);
  EXPECT_TRUE(fleet.wait_line(3, "no lease: the cut-off part alone is used"));
  fleet.start(1);
  EXPECT_TRUE(fleet.wait_fully_leased({0, 1, 2, 3}));
  EXPECT_EQ(fleet.audit().violation, "");
}

}  // namespace
}  // namespace orchidgw::integration
