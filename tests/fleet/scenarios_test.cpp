// A fleet of real processes under faults. Guards against controllers that together use more than the total of
// a limit: after each test the audit sums up what all processes might use at every moment, and the engines'
// own counts are checked besides.
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <chrono>
#include <sstream>
#include <thread>

#include "fleet_harness.h"
#include "net/admin_socket.h"
#include "thrift/fleet_codec.h"

namespace orchidgw::integration {
namespace {

using Fault = Relay::Fault;

void expect_held(FleetHarness& fleet) {
  const Audit audit = fleet.audit();
  EXPECT_EQ(audit.violation, "");
  EXPECT_GT(audit.moments, 3U);
}

std::vector<int> all_but(int n, int without = -1) {
  std::vector<int> out;
  for (int i = 0; i < n; ++i)
    if (i != without) out.push_back(i);
  return out;
}

// Waits until the first keeper's status has this text; false after 20 s.
bool wait_for_status(FleetHarness& fleet, const std::string& part) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (std::chrono::steady_clock::now() < until) {
    if (net::ask_admin(fleet.admin(0), "fleet status\n").find(part) != std::string::npos) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

// Guards against terms that wait for another file than their own (issue 67): the fleet's file raises the
// revision while the operators' file is bad. The totals follow the limits in force; others need a revision of
// their own.
TEST(Fleet, ANewRevisionIsFollowedWhereTheOperatorsFileIsBad) {
  FleetShape shape;
  FleetHarness fleet(shape);
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_fully_leased({0, 1}));
  FleetShape smaller = shape;
  smaller.rate = 80;
  fleet.set_bad_file(FleetHarness::BadFile::kLimits);
  fleet.reconfigure(smaller, 2);
  for (const int i : {0, 1}) {
    EXPECT_TRUE(fleet.at(i).wait_for_line("limits.yaml:1:1: misspelt: unknown field"));
    EXPECT_TRUE(fleet.wait_line(i, "revision 2 "));
  }
  EXPECT_TRUE(wait_for_status(fleet, "allowance rate/acme whole 200000 "));
  fleet.set_bad_file(FleetHarness::BadFile::kNone);
  fleet.reconfigure(smaller, 2);
  for (const int i : {0, 1}) EXPECT_TRUE(fleet.at(i).wait_for_line("raise it in the fleet's file"));
  fleet.reconfigure(smaller, 3);
  for (const int i : {0, 1}) EXPECT_TRUE(fleet.wait_line(i, "revision 3 "));
  EXPECT_TRUE(wait_for_status(fleet, "allowance rate/acme whole 80000 "));
  expect_held(fleet);
}

// The other order: the limits are taken over where the fleet's file is bad, and the terms stay until it is
// good.
TEST(Fleet, NewLimitsAreTakenOverWhereTheFleetsFileIsBad) {
  FleetShape shape;
  shape.tenants = {"acme", "beta"};
  FleetHarness fleet(shape);
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_fully_leased({0, 1}));
  FleetShape smaller = shape;
  smaller.rate = 80;
  smaller.tenants = {"acme"};
  fleet.set_bad_file(FleetHarness::BadFile::kFleet);
  fleet.reconfigure(smaller, 2);
  for (const int i : {0, 1}) {
    EXPECT_TRUE(fleet.at(i).wait_for_line(".fleet.yaml:1:1: misspelt: unknown field"));
    EXPECT_TRUE(fleet.at(i).wait_for_line("limits in force component=limits routes=1"));
  }
  EXPECT_TRUE(wait_for_status(fleet, "allowance rate/beta whole 200000 "));
  EXPECT_EQ(fleet.at(0).log().find("revision 2 "), std::string::npos);
  fleet.set_bad_file(FleetHarness::BadFile::kNone);
  fleet.reconfigure(smaller, 2);
  for (const int i : {0, 1}) EXPECT_TRUE(fleet.wait_line(i, "revision 2 "));
  EXPECT_TRUE(wait_for_status(fleet, "allowance rate/acme whole 80000 "));
  expect_held(fleet);
}

// Two processes that share limits, with traffic: the sum of their leases stays within the total through a
// kill.
TEST(Fleet, TwoControllersShareOneWholeAndItHoldsThroughAKill) {
  FleetShape shape;
  FleetHarness fleet(shape);
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_fully_leased({0, 1}));
  fleet.start_traffic();
  const std::string status = net::ask_admin(fleet.admin(0), "fleet status\n");
  EXPECT_NE(status.find("keeper leads leader 1"), std::string::npos) << status;
  std::istringstream lines(status);  // each total is leased, set aside or free
  int allowances = 0;
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string word, name;
    std::int64_t total = 0, leased = 0, set_aside = 0, free = 0;
    if (!(words >> word >> name) || word != "allowance") continue;
    words >> word >> total >> word >> leased >> word >> set_aside >> word >> free;
    EXPECT_GT(leased, 0) << line;
    EXPECT_EQ(leased + set_aside + free, total) << line;
    ++allowances;
  }
  EXPECT_EQ(allowances, 3);
  const auto before = fleet.newest_lease_part(0, "rate/acme");
  fleet.kill(1);
  ASSERT_TRUE(fleet.wait_fully_leased({0}));
  EXPECT_GT(fleet.newest_lease_part(0, "rate/acme"), before);
  fleet.start(1);
  ASSERT_TRUE(fleet.wait_fully_leased({0, 1}));
  const FleetHarness::Counts counts = fleet.stop_traffic();
  EXPECT_GT(counts.served, 0);
  EXPECT_EQ(counts.asked, counts.served + counts.refused + counts.failed + counts.lost);
  EXPECT_LE(counts.served, fleet.admitted());
  EXPECT_LE(fleet.admitted(), counts.served + counts.lost + counts.failed);
  EXPECT_LE(fleet.max_running(), shape.concurrency);
  // The burst of the limit (10), and one query for each of the 3 processes that ran.
  EXPECT_TRUE(fleet.rate_within_limit(10 + 3));
  expect_held(fleet);
}

// A peer of another protocol version or of another fleet is refused with one log line, and its connection is
// closed.
TEST(Fleet, StrangersAreTurnedAwayWithALine) {
  FleetHarness fleet({});
  fleet.start(0);
  using Hello = orchidgw::fleet::Hello;
  const std::pair<Hello, const char*> strangers[] = {
      {{9, "test", 7, {"future", 1}, 0, {}, {}}, "name=future why=\"speaks version 9\""},
      {{1, "other", 7, {"lost", 1}, 0, {}, {}}, "name=lost why=\"is of fleet other 7\""}};
  for (const auto& [hello, line] : strangers) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(fleet.keeper_address(0))};
    const std::string bytes = thrift::encode_fleet_message(hello);
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    EXPECT_TRUE(fleet.wait_line(0, line));
    char buffer[4096];
    while (socket.receiveBytes(buffer, sizeof buffer) > 0)
      continue;  // the keeper's own greeting, then end of stream
  }
}

class FiveControllers : public ::testing::Test {
 protected:
  FiveControllers() : fleet(shape()) {
    fleet.start_all();
    divided = fleet.wait_fully_leased(all_but(5));
  }
  static FleetShape shape() {
    FleetShape shape;
    shape.controllers = 5;
    shape.keepers = 3;
    shape.tenants = {"acme", "beta"};
    return shape;
  }
  void SetUp() override { ASSERT_TRUE(divided); }
  // Checks the leases that the processes logged, and what the engines counted for each tenant.
  void TearDown() override {
    expect_held(fleet);
    EXPECT_LE(fleet.max_running(), shape().concurrency);
  }

  FleetHarness fleet;
  bool divided = false;
};

TEST_F(FiveControllers, ALeadingKeeperIsKilledAndAnotherGoesOn) {
  fleet.start_traffic();
  const int leader = fleet.leader();
  ASSERT_GE(leader, 0);
  fleet.kill(leader);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5, leader)));
  fleet.start(leader);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
  const auto counts = fleet.stop_traffic();
  EXPECT_GT(counts.served, 0);
  EXPECT_TRUE(fleet.rate_within_limit(10 + 6));
}

TEST_F(FiveControllers, AMemberThatSleepsPastItsLeaseWakesWithItsCutOffPartAlone) {
  fleet.start_traffic();
  fleet.pause(4);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5, 4)));  // its leased parts are with the others
  fleet.resume(4);
  EXPECT_TRUE(fleet.wait_line(4, "no lease: the cut-off part alone is used"));
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
  fleet.stop_traffic();
  EXPECT_TRUE(fleet.rate_within_limit(10 + 5));
}

TEST_F(FiveControllers, ALeadingKeeperSleepsAndWakesAsNoLeader) {
  const int leader = fleet.leader();
  ASSERT_GE(leader, 0);
  fleet.pause(leader);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5, leader)));
  fleet.resume(leader);
  EXPECT_TRUE(fleet.wait_line(leader, "this keeper leads no more"));
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
}

TEST_F(FiveControllers, TwoSleepOneAfterTheOtherAndOneOfThemKeeps) {
  fleet.pause(3);
  fleet.pause(1);
  EXPECT_TRUE(fleet.wait_fully_leased({0, 2, 4}));
  fleet.resume(1);
  fleet.resume(3);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
}

TEST_F(FiveControllers, AMemberCutOffFromAllKeepersGoesOnWithItsCutOffPart) {
  fleet.start_traffic();
  fleet.set_link_fault(3, Fault::kReset);
  EXPECT_TRUE(fleet.wait_line(3, "no lease: the cut-off part alone is used"));
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5, 3)));
  fleet.set_link_fault(3, Fault::kNone);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
  const auto counts = fleet.stop_traffic();
  EXPECT_EQ(counts.lost, 0);
  EXPECT_TRUE(fleet.rate_within_limit(10 + 5));
}

TEST_F(FiveControllers, AnswersThatNeverArriveAreCountedAllTheSame) {
  fleet.set_link_fault(4, Fault::kHoldBackward);  // its lease requests arrive, the replies to it don't
  EXPECT_TRUE(fleet.wait_line(4, "no lease: the cut-off part alone is used"));
  fleet.set_link_fault(4, Fault::kNone);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
}

TEST_F(FiveControllers, AsksThatNeverArriveEndInNoLease) {
  fleet.set_link_fault(4, Fault::kHoldForward);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5, 4)));
  fleet.set_link_fault(4, Fault::kNone);  // held messages arrive now, all of them late
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
}

TEST_F(FiveControllers, WhatIsThrownAwayOnTheWayIsSaidAgain) {
  fleet.set_link_fault(3, Fault::kDrop);
  EXPECT_TRUE(fleet.wait_line(3, "no lease: the cut-off part alone is used"));
  fleet.set_link_fault(3, Fault::kNone);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
}

// Members can still reach it, and it does not know that the other keepers have another leader.
TEST_F(FiveControllers, ALeaderThatIsCutOffFromTheOtherKeepersGrantsNothing) {
  const int leader = fleet.leader();
  ASSERT_GE(leader, 0);
  for (int k = 0; k < 3; ++k) {
    if (k == leader) continue;
    fleet.relay(leader, k).set(Fault::kHold);
    fleet.relay(k, leader).set(Fault::kHold);
  }
  EXPECT_TRUE(fleet.wait_line(leader, "this keeper leads no more"));
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5, leader)));
  for (int k = 0; k < 3; ++k) {
    if (k == leader) continue;
    fleet.relay(leader, k).set(Fault::kNone);
    fleet.relay(k, leader).set(Fault::kNone);
  }
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
}

TEST_F(FiveControllers, WithoutAMajorityEveryOneIsLeftWithItsCutOffPart) {
  const std::vector<int> asleep = {0, 1};
  for (const int k : asleep) fleet.pause(k);
  for (const int i : {2, 3, 4}) EXPECT_TRUE(fleet.wait_line(i, "no lease: the cut-off part alone is used"));
  for (const int k : asleep) fleet.resume(k);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
}

TEST_F(FiveControllers, AllKeepersAreKilledAndComeBackWithTheirDisks) {
  for (int k = 0; k < 3; ++k) fleet.kill(k);
  for (int k = 0; k < 3; ++k) fleet.start(k);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
}

TEST_F(FiveControllers, EachIsKilledAndStartedInTurn) {
  fleet.start_traffic();
  for (int i = 0; i < 5; ++i) {
    fleet.kill(i);
    fleet.start(i);
  }
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
  fleet.stop_traffic();
  EXPECT_TRUE(fleet.rate_within_limit(10 + 10));
}

TEST_F(FiveControllers, AStopGivesItsPartsBackBeforeItsLeaseIsOver) {
  EXPECT_EQ(fleet.stop(4), 0);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5, 4)));
  EXPECT_EQ(fleet.stop(3), 0);
  EXPECT_TRUE(fleet.wait_fully_leased({0, 1, 2}));
}

TEST_F(FiveControllers, SlowWaysBetweenAllDoNotStopIt) {
  for (int i = 0; i < 5; ++i)
    for (int k = 0; k < 3; ++k)
      if (i != k) fleet.relay(i, k).delay(std::chrono::milliseconds(20 + 10 * i));
  fleet.kill(4);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5, 4)));
  fleet.start(4);
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
}

TEST_F(FiveControllers, AWholeThatIsMadeSmallerIsFollowedDown) {
  FleetShape smaller = shape();
  smaller.rate = 80;
  smaller.concurrency = 12;
  fleet.reconfigure(smaller, 2);
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(fleet.wait_line(i, "revision 2 "));
  EXPECT_TRUE(fleet.wait_fully_leased(all_but(5)));
  std::int64_t sum = 0;
  for (int i = 0; i < 5; ++i) sum += fleet.newest_lease_part(i, "rate/acme");
  EXPECT_LT(sum, 80'000);
}

}  // namespace
}  // namespace orchidgw::integration
