// The parts between leases and the rest of the program: allowances, shares, how the decision module and the
// limits use them, the requests of a member, the fleet's configuration file.
#include <gtest/gtest.h>

#include "fleet/allowances.h"
#include "fleet/member_role.h"
#include "limits/limiter.h"
#include "operator_file/fleet_file.h"

namespace orchidgw::fleet {
namespace {

constexpr TimeUs kSecond = 1'000'000;

Settings two_tenants() {
  Settings s;
  ClassSettings c;
  c.name = "lookup";
  c.deadline = 4 * kSecond;
  c.latency_target = kSecond;
  s.classes = {c};
  s.tenants = {{"a", 0.5, 10}, {"b", 0.5, 10}};
  s.rules.overload_multiple = 2;
  s.limits.retry_after = true;
  s.limits.max_retry_after = kSecond;
  return s;
}

FleetConfig config_for_four() {
  FleetConfig c;
  c.name = "f";
  c.number = c.revision = 1;
  c.largest = 4;
  c.term = 3 * kSecond;
  return c;
}

std::shared_ptr<const limits::LimitSet> fleet_limits(const Settings& settings, double rate, int concurrency) {
  limits::LimitFile file;
  limits::Route route;
  route.name = "r";
  route.match.class_name = {"lookup", {}};
  route.bounds.rate = {limits::Rate{rate, 8, true}, {}};
  route.bounds.concurrency = {limits::Concurrency{concurrency, 0, true}, {}};
  file.routes = {route};
  return std::make_shared<const limits::LimitSet>(settings, file, 1);
}

budget::LeaseHolder holder_with(const budget::Terms& terms, std::vector<budget::Parts> parts) {
  budget::LeaseHolder holder({"c0", 1}, terms);
  const budget::LeaseRequest ask = holder.ask(0, {}, {});
  budget::Grant grant;
  grant.to = ask.from;
  grant.seq = ask.seq;
  grant.number = 1;
  grant.revision = terms.revision;
  grant.term = terms.term;
  grant.live = 3;
  grant.place = 2;
  grant.parts = std::move(parts);
  holder.answered(1, grant, {});
  return holder;
}

TEST(Allowances, AreNamedAndCountedByWhatIsDivided) {
  const Settings s = two_tenants();
  FleetConfig c = config_for_four();
  c.further_attempts = 40;
  const auto limits = fleet_limits(s, 5, 40);
  const budget::Terms terms = terms_of(c, s, limits.get());
  std::vector<std::string> names;
  for (const auto& a : terms.allowances) names.push_back(a.name);
  EXPECT_EQ(names, (std::vector<std::string>{"cpu/a", "cpu/b", "cold", "further_attempts", "rate/r",
                                             "concurrency/r"}));
  EXPECT_EQ(terms.allowances[0], (budget::Allowance{"cpu/a", 1'000'000, 50'000, 50'000, 25'000}));
  EXPECT_EQ(terms.allowances[4].whole, 5'000);
  EXPECT_EQ(terms.shared(5), 40 - 4 * 2);
}

TEST(Allowances, ALeasesPartsAreWorthTheirShareUntilItEnds) {
  const Settings s = two_tenants();
  const auto limits = fleet_limits(s, 5, 40);
  const budget::LeaseHolder holder =
      holder_with(terms_of(config_for_four(), s, limits.get()), {200'000, 100'000, 0, 1'000, 10});
  const Shares shares = shares_of(holder, s, kSecond);
  EXPECT_DOUBLE_EQ(shares.module.budgets[0], 0.25);
  EXPECT_DOUBLE_EQ(shares.module.budgets[1], 0.15);
  EXPECT_DOUBLE_EQ(shares.module.bounds, 0.2);
  EXPECT_DOUBLE_EQ(shares.module.cold, 0.05);
  EXPECT_EQ(shares.module.further_attempts, -1);
  EXPECT_EQ(shares.module.live, 3);
  EXPECT_EQ(shares.module.place, 2);
  EXPECT_DOUBLE_EQ(shares.limits.rates.at("r"), 1.25);
  EXPECT_EQ(shares.limits.concurrency.at("r"), 12);
  const Shares expired = shares_of(holder, s, 3 * kSecond);
  EXPECT_DOUBLE_EQ(expired.module.budgets[0], 0.05);
  EXPECT_EQ(expired.module.live, 0);
  EXPECT_EQ(expired.limits.concurrency.at("r"), 2);
}

// A used share of a CPU budget is given back once its window is over, the part of a running query once it
// ends.
TEST(Allowances, PartsThatAreSpentOrRunningAreNotGivenBackAtOnce) {
  const Settings s = two_tenants();
  const auto limits = fleet_limits(s, 5, 40);
  const budget::LeaseHolder holder =
      holder_with(terms_of(config_for_four(), s, limits.get()), {200'000, 100'000, 0, 1'000, 10});
  Demand demand(s);
  EXPECT_EQ(demand.parts_in_use(kSecond, holder, {{"r", {9, 3, 0}}}),
            (std::vector<budget::Parts>{200'000, 100'000, 0, 0, 7}));
  // The lease has expired, the window has not.
  EXPECT_EQ(demand.parts_in_use(4 * kSecond, holder, {})[0], 200'000);
  EXPECT_EQ(demand.parts_in_use(10 * kSecond, holder, {})[0], 0);
}

TEST(Allowances, DemandFollowsATenantsOwnWork) {
  const Settings s = two_tenants();
  Demand demand(s);
  demand.set_engine_cores(10);
  const budget::Terms terms = terms_of(config_for_four(), s, nullptr);
  for (int i = 0; i < 50; ++i)
    demand.query_accepted(i * 100'000, "a", 100'000);  // keeps one of ten cores busy
  const auto parts = demand.parts(5 * kSecond - 1, terms, {});
  // A fifth of the tenant's whole, which is half of the cores.
  EXPECT_NEAR(static_cast<double>(parts[0]), 200'000 - 50'000, 5'000);
  EXPECT_EQ(parts[1], 0);
  EXPECT_EQ(demand.parts(20 * kSecond, terms, {})[0], 0);
}

// --- How the limits use shares ---

TEST(FleetLimits, ARouteHasNothingBeforeALeaseAndItsPartAfter) {
  const Settings s = two_tenants();
  limits::Limiter limiter(s, 1);
  limiter.activate(0, fleet_limits(s, 5, 40));
  const auto admit = [&](QueryId id) {
    return limiter.admit(kSecond, {id, 0, "a", "t", false, 4 * kSecond}).kind;
  };
  EXPECT_EQ(admit(1), limits::Verdict::Kind::kRefuse);
  limiter.set_fleet_limits(kSecond, {{{"r", 2.5}}, {{"r", 2}}});
  EXPECT_EQ(limiter.fleet_usage(kSecond).at("r").under_way, 0);
  EXPECT_GT(limiter.fleet_usage(kSecond).at("r").rate, 0);
  limiter.set_fleet_limits(kSecond, {{{"r", 1000}}, {{"r", 2}}});
  int admitted = 0;
  for (QueryId id = 2; id <= 6; ++id) admitted += admit(id) == limits::Verdict::Kind::kAdmit ? 1 : 0;
  EXPECT_LE(admitted, 2);
}

// A rate that moves between controllers brings no tokens with it: tokens of another bucket must not be usable
// twice.
TEST(FleetLimits, ABucketThatGrowsBeginsWithWhatIsInIt) {
  limits::TokenBucket bucket(limits::Rate{10, 4, true});
  for (int i = 0; i < 4; ++i) {
    ASSERT_TRUE(bucket.ready(0));
    bucket.take(0);
  }
  EXPECT_FALSE(bucket.ready(0));
  bucket.change_keeping_tokens(0, limits::Rate{20, 8, true});
  EXPECT_FALSE(bucket.ready(0));
  int taken = 0;
  while (bucket.ready(kSecond / 10)) bucket.take(kSecond / 10), ++taken;
  EXPECT_EQ(taken, 2);  // 20 per second, for a tenth of a second
  // A smaller bucket drops what exceeds it.
  bucket.change_keeping_tokens(10 * kSecond, limits::Rate{5, 2, true});
  taken = 0;
  while (bucket.ready(10 * kSecond)) bucket.take(10 * kSecond), ++taken;
  EXPECT_EQ(taken, 2);
}

// --- Which keeper a member sends its requests to ---

TEST(Member, GoesOnToTheNextKeeperAndPausesWhereNoneIsKnownToLead) {
  MemberRole role({"c0", 1}, terms_of(config_for_four(), two_tenants(), nullptr), {1, 2, 3}, 9);
  ASSERT_TRUE(role.due(0));
  const KeeperId first = role.keeper_to_ask();
  const budget::LeaseRequest ask = role.ask(0, {}, {});
  role.on_reply(10, Redirect{ask.seq, 0});
  EXPECT_NE(role.keeper_to_ask(), first);
  EXPECT_GT(role.next_due(), 10 + 50'000);
  const TimeUs due = role.next_due();
  const budget::LeaseRequest second = role.ask(due, {}, {});
  role.on_reply(due + 5, Redirect{second.seq, first});
  EXPECT_EQ(role.keeper_to_ask(), first);
  EXPECT_TRUE(role.due(due + 5));
  // Two keepers that each name the other as the leader must not cause a loop of requests.
  TimeUs now = due + 5;
  int immediate_requests = 0;
  while (role.due(now) && immediate_requests < 100) {
    const budget::LeaseRequest repeated = role.ask(now, {}, {});
    role.on_reply(now, Redirect{repeated.seq, role.keeper_to_ask() == first ? first % 3 + 1 : first});
    ++immediate_requests;
  }
  EXPECT_LT(immediate_requests, 5);
}

TEST(Member, AnAskWithoutAnAnswerGoesToAnotherKeeper) {
  MemberRole role({"c0", 1}, terms_of(config_for_four(), two_tenants(), nullptr), {1, 2, 3}, 9);
  role.ask(0, {}, {});
  const KeeperId first = role.keeper_to_ask();
  EXPECT_LE(role.next_due(), 3 * kSecond / 6 * 11 / 10 + 1);
  role.ask(role.next_due(), {}, {});
  EXPECT_NE(role.keeper_to_ask(), first);
}

// --- The fleet's configuration file ---

const char* const kValidFile =
    "version: 1\nfleet: {name: f, number: 1}\nrevision: 1\nlargest: 4\nlease: {term: 3s, drift: 1%}\n"
    "keepers:\n  - {id: 1, name: c0, address: 127.0.0.1:7201}\n";
const char* const kEndMarker = "...\n";

TEST(FleetFile, AGoodOneIsReadWhole) {
  const auto read = operator_file::read_fleet_file(std::string(kValidFile) +
                                                   "division: {cut_off: 10%, reserve: 0, least: 50%}\n"
                                                   "further_attempts: 9\nstore: /s\nreturn: {ramp: 5s}\n" +
                                                   kEndMarker);
  ASSERT_TRUE(read.faults.empty()) << read.faults[0].path << read.faults[0].why;
  EXPECT_EQ(read.fleet.term, 3 * kSecond);
  EXPECT_EQ(read.fleet.drift_ppm, 10'000);
  EXPECT_EQ(read.fleet.division.cut_off_ppm, 100'000);
  EXPECT_EQ(read.fleet.further_attempts, 9);
  EXPECT_EQ(read.fleet.keepers[0].address.port, 7201);
  EXPECT_EQ(read.fleet.store, "/s");
  EXPECT_EQ(read.fleet.ramp, 5 * kSecond);
}

struct InvalidFile {
  const char* original;     // text in the valid file
  const char* replacement;  // what it is replaced by
  const char* path;         // of the field that the error has to name
  int line;
};

class BadFleetFiles : public ::testing::TestWithParam<InvalidFile> {};

TEST_P(BadFleetFiles, NameLineFieldAndReason) {
  std::string text = kValidFile;
  const auto at = text.find(GetParam().original);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, std::string(GetParam().original).size(), GetParam().replacement);
  const auto read = operator_file::read_fleet_file(text + kEndMarker);
  ASSERT_FALSE(read.faults.empty()) << text;
  EXPECT_EQ(read.faults[0].path, GetParam().path);
  EXPECT_EQ(read.faults[0].place.line, GetParam().line);
  EXPECT_FALSE(read.faults[0].why.empty());
}

std::ostream& operator<<(std::ostream& out, const InvalidFile& invalid) { return out << invalid.replacement; }

INSTANTIATE_TEST_SUITE_P(
    All, BadFleetFiles,
    ::testing::Values(
        InvalidFile{"version: 1", "version: 2", "version", 1},
        InvalidFile{"number: 1", "number: 0", "fleet.number", 2},
        InvalidFile{"name: f, ", "", "fleet.name", 2}, InvalidFile{"largest: 4", "largest: 0", "largest", 4},
        InvalidFile{"largest: 4", "largest: 10001", "largest", 4},
        InvalidFile{"3s", "100ms", "lease.term", 5}, InvalidFile{"3s", "2m", "lease.term", 5},
        InvalidFile{"1%}", "11%}", "lease.drift", 5},
        InvalidFile{"revision: 1", "revision: -1", "revision", 3},
        InvalidFile{"id: 1", "id: x", "keepers[0].id", 7},
        InvalidFile{"127.0.0.1:7201", "localhost:7201", "keepers[0].address", 7},
        InvalidFile{"127.0.0.1:7201", "127.0.0.1:0", "keepers[0].address", 7},
        InvalidFile{"keepers:\n", "keeper: 1\nkeepers:\n", "keeper", 6},
        InvalidFile{"keepers:\n", "keys: {scope: all}\nkeepers:\n", "keys.scope", 6},
        InvalidFile{"keepers:\n", "keys: {}\nkeepers:\n", "keys.scope", 6},
        InvalidFile{"keepers:\n", "bad_store: go_on\nkeepers:\n", "bad_store", 6},
        InvalidFile{"revision: 1\n", "revision: 1\ndivision: {cut_off: 90%, reserve: 10%}\n", "division", 4},
        InvalidFile{"7201}\n", "7201}\n  - {id: 1, name: c1, address: 127.0.0.1:7202}\n", "keepers", 7},
        InvalidFile{"largest: 4", "largest: 4\nfurther_attempts: many", "further_attempts", 5},
        InvalidFile{"largest: 4", "largest: 4\nreturn: {ramp: 11m}", "return.ramp", 5}));

}  // namespace
}  // namespace orchidgw::fleet
