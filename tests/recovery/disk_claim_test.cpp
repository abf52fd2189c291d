// Keepers with simulated disks and greetings: whatever is lost, late or duplicated, no keeper that has voted
// before votes again on an empty disk, and a new fleet can begin.
#include "recovery/disk_claim.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <random>

#include "recovery/stages.h"

namespace orchidgw::recovery {
namespace {

using fleet::KeeperId;
using Verdict = RejoinGuard::Verdict;

class Keepers {
 public:
  explicit Keepers(KeeperId count) {
    for (KeeperId id = 1; id <= count; ++id) voters_.push_back(id);
    nodes_.resize(count);
    for (KeeperId id = 1; id <= count; ++id) start(id);
  }

  void start(KeeperId id) {
    std::erase_if(greetings_, [id](const Greeting& one) { return one.to == id; });
    node(id).claim.emplace(store::StoredOwner{"f", 1, id, {}}, voters_, node(id).disk);
    node(id).takes_part = false;
    begin_if_allowed(id);
  }
  void lose_disk(KeeperId id) {
    node(id).disk = {};
    for (Node& other : nodes_) other.remembered_by.erase(id);  // what it knew of others is lost, too
    node(id).claim.reset();
    node(id).takes_part = false;
  }
  bool is_running(KeeperId id) { return node(id).claim.has_value(); }
  bool takes_part(KeeperId id) { return node(id).takes_part; }
  // Set if a keeper begins on an empty disk while another one remembers a log message of it.
  std::string fault;

  void greet(KeeperId from, KeeperId to) {
    if (!is_running(from)) return;
    std::vector<KeeperId> bootstrapped;
    if (node(from).takes_part)
      bootstrapped.assign(claim(from).owner().bootstrapped.begin(), claim(from).owner().bootstrapped.end());
    greetings_.push_back({from, to, bootstrapped});
  }
  void deliver(std::size_t index, bool keep_copy) {
    if (greetings_.empty()) return;
    const auto it = greetings_.begin() + static_cast<long>(index % greetings_.size());
    const Greeting greeting = *it;
    if (!keep_copy) greetings_.erase(it);
    if (!is_running(greeting.to)) return;
    claim(greeting.to).on_greeting(greeting.from, greeting.bootstrapped);
    begin_if_allowed(greeting.to);
  }
  // A vote or an acknowledged entry: counts only if the receiver has a log and stores that it has received
  // it.
  void send_log_message(KeeperId from, KeeperId to) {
    if (!is_running(from) || !is_running(to) || !takes_part(from)) return;
    claim(to).on_log_message(from);
    if (!takes_part(to)) return;
    node(to).disk.owner = claim(to).owner();
    node(from).remembered_by.insert(to);
  }
  // Drops the greetings in flight.
  void drop_greetings() { greetings_.clear(); }

 private:
  struct Node {
    store::StoredLog disk;
    std::optional<RejoinGuard> claim;
    bool takes_part = false;
    std::set<KeeperId> remembered_by;
  };
  struct Greeting {
    KeeperId from, to;
    std::vector<KeeperId> bootstrapped;
  };
  Node& node(KeeperId id) { return nodes_[id - 1]; }
  RejoinGuard& claim(KeeperId id) { return *node(id).claim; }

  void begin_if_allowed(KeeperId id) {
    if (node(id).takes_part || claim(id).verdict() != Verdict::kAllowed) return;
    if (node(id).disk.empty() && !node(id).remembered_by.empty())
      fault = "keeper " + std::to_string(id) + " votes anew";
    node(id).takes_part = true;
    claim(id).begin();
    node(id).disk.owner = claim(id).owner();
    node(id).disk.term = 1;
  }

  std::vector<KeeperId> voters_;
  std::vector<Node> nodes_;
  std::deque<Greeting> greetings_;
};

TEST(RejoinGuard, NobodyVotesOnAnEmptyDiskWhoIsRemembered) {
  int lost = 0;
  for (unsigned seed = 1; seed <= 3'000; ++seed) {
    std::mt19937 random(seed);
    const KeeperId count = seed % 2 == 0 ? 3 : 5;
    Keepers keepers(count);
    for (int step = 0; step < 300; ++step) {
      const auto a = static_cast<KeeperId>(1 + random() % count);
      const auto b = static_cast<KeeperId>(1 + random() % count);
      switch (random() % 8) {
        case 0:
          if (random() % 8 == 0) keepers.lose_disk(a), ++lost;
          break;
        case 1:
          keepers.start(a);
          break;
        case 2:
          keepers.deliver(random(), true);
          break;
        case 3:
        case 4:
          keepers.deliver(random(), false);
          break;
        case 5:
          if (a != b) keepers.send_log_message(a, b);
          break;
        default:
          if (a != b) keepers.greet(a, b);
      }
      ASSERT_EQ(keepers.fault, "") << "seed " << seed << " step " << step;
    }
  }
  EXPECT_GT(lost, 3'000);
}

void greet_all(Keepers& keepers, KeeperId count) {
  for (KeeperId a = 1; a <= count; ++a)
    for (KeeperId b = 1; b <= count; ++b)
      if (a != b) keepers.greet(a, b), keepers.deliver(0, false);
}

TEST(RejoinGuard, ANewFleetBeginsInWhateverOrderItComes) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    Keepers keepers(3);
    // Some begin and send log messages before others have all greetings.
    for (int step = 0; step < 30; ++step) {
      const auto a = static_cast<KeeperId>(1 + random() % 3);
      const auto b = static_cast<KeeperId>(1 + random() % 3);
      if (a != b) random() % 2 == 0 ? keepers.greet(a, b) : keepers.send_log_message(a, b);
      keepers.deliver(random(), random() % 2 == 0);
    }
    greet_all(keepers, 3);
    keepers.drop_greetings();
    greet_all(keepers, 3);
    for (KeeperId id = 1; id <= 3; ++id) EXPECT_TRUE(keepers.takes_part(id)) << "seed " << seed;
  }
}

TEST(RejoinGuard, OneOnAnEmptyDiskThatIsKnownStaysOutAndTheOthersKeep) {
  Keepers keepers(3);
  greet_all(keepers, 3);
  keepers.send_log_message(1, 2);
  keepers.lose_disk(1);
  keepers.start(1);
  greet_all(keepers, 3);
  EXPECT_FALSE(keepers.takes_part(1));
  EXPECT_TRUE(keepers.takes_part(2) && keepers.takes_part(3));
}

TEST(RejoinGuard, AnothersStoreIsNamed) {
  EXPECT_EQ(ownership_error({"a", 1, 2, {}}, {"a", 1, 2, {1}}), "");
  EXPECT_EQ(ownership_error({"a", 1, 2, {}}, {"b", 1, 3, {}}),
            "it is the store of keeper 2 of fleet a 1, not of keeper 3 of fleet b 1");
}

TEST(Stages, TheFirstThingMissingNamesTheStage) {
  Facts facts;
  facts.keeps = true;
  Stage stage = Stage::kStore;
  const auto now = [&] { return name_of(stage = next_stage(stage, facts)); };
  EXPECT_EQ(now(), "store");
  facts.store_ok = true;
  EXPECT_EQ(now(), "keepers");
  facts.keeper_heard = true;
  EXPECT_EQ(now(), "log");
  facts.leader_known = true;
  EXPECT_EQ(now(), "terms");
  facts.leased = true;
  EXPECT_EQ(now(), "budgets");
  facts.level = budget::kFullLevel / 10;
  EXPECT_EQ(now(), "ramp");
  facts.level = budget::kFullLevel;
  EXPECT_EQ(now(), "full");  // parts that move with demand are no stage
  facts.leased = false;
  EXPECT_EQ(now(), "terms");
  facts.leased = true;
  EXPECT_EQ(now(), "budgets");
  facts.half_granted = true;
  EXPECT_EQ(now(), "full");
}

}  // namespace
}  // namespace orchidgw::recovery
