// Key holds on a simulated network and clock: holders and keepers with clocks that drift apart, messages that
// are lost, late or duplicated, leaders that change with an entry pending, logs that are lost. No query is
// sent twice while its key is held.
#include <gtest/gtest.h>

#include <random>
#include <string>

#include "promises/key_holder.h"
#include "promises/key_watch.h"

namespace orchidgw::promises {
namespace {

constexpr TimeUs kRest = 2'000'000;

budget::Terms terms() {
  budget::Terms out;
  out.revision = 1;
  out.term = 1'000'000;
  out.drift_ppm = 20'000;
  out.longest_key_hold = kRest;
  return out;
}

class KeyWorld {
 public:
  KeyWorld(std::size_t holders, std::uint64_t seed) : random_(seed), holders_(holders) {
    for (std::size_t holder = 0; holder < holders; ++holder) start(holder);
    for (Keeper& keeper : keepers_) keeper.rate = rate(), keeper.table.apply({{}, true, {}});
    become_leader(0);
  }

  void step() {
    const std::size_t holder = random_() % holders_.size();
    switch (random_() % 16) {
      case 0:
      case 1:
      case 2:
        return want(holder);
      case 3:
        return release_unsent(holder);
      case 4:
        return random_() % 4 == 0 ? start(holder) : send_asks(holder);  // the holder was killed
      case 5:
        return random_() % 4 == 0 ? become_leader(random_() % 2) : propose();  // a pending entry may be lost
      case 6:
      case 7:
        return send_asks(holder);
      case 8:
      case 9:
        return deliver(asks_, [this](const KeyRequest& ask) { keepers_[leader_].watch.asked(ask); });
      case 10:
      case 11:
        return deliver(answers_, [this](const KeyReply& told) { answered(told); });
      case 12:
      case 13:
        commit();
        return propose();
      case 14:
        if (random_() % 100 == 0) lose_log();
        return pass(static_cast<TimeUs>(random_() % (random_() % 3 == 0 ? 1'500'000 : 60'000)));
      default:
        return pass(static_cast<TimeUs>(random_() % 40'000));
    }
  }

  // Without faults a wanted key is granted in time. Returns whether it was.
  bool recovers() {
    asks_.clear(), answers_.clear();
    for (int round = 0; round < 4; ++round) pass(2 * kRest), propose(), commit();
    want(0);
    for (int round = 0; round < 6; ++round) {
      send_asks(0);
      reliable_ = true;
      while (!asks_.empty())
        deliver(asks_, [this](const KeyRequest& ask) { keepers_[leader_].watch.asked(ask); });
      propose(), commit();
      const std::uint64_t before = sent;
      while (!answers_.empty()) deliver(answers_, [this](const KeyReply& told) { answered(told); });
      if (sent > before) return true;
      pass(90'000);
    }
    return false;
  }

  std::string fault;
  std::uint64_t sent = 0, refused = 0, released = 0;

 private:
  struct Keeper {
    KeyTable table;
    KeyArbiter watch;
    double rate = 1;
  };
  struct Holder {
    std::optional<KeyHolder> keys;
    double rate = 1;
    std::map<std::uint64_t, std::string> wants;   // by query
    std::map<std::uint64_t, std::string> unsent;  // by query; granted, not sent yet: may be released
  };

  double rate() { return 1 + (static_cast<double>(random_() % 201) - 100) / 100 * 0.0099; }
  TimeUs local_time(double rate) const { return static_cast<TimeUs>(static_cast<double>(now_) * rate); }
  TimeUs holder_time(std::size_t holder) const { return local_time(holders_[holder].rate); }
  TimeUs leader_time() const { return local_time(keepers_[leader_].rate); }
  void pass(TimeUs time) { now_ += time; }

  void start(std::size_t holder) {
    holders_[holder] = {};
    holders_[holder].rate = rate();
    holders_[holder].keys.emplace(MemberKey{"c" + std::to_string(holder), ++incarnation_});
    holders_[holder].keys->set_term(terms().term);
  }
  void want(std::size_t holder) {
    const std::uint64_t query = ++query_;
    const std::string key(1, static_cast<char>('a' + random_() % 4));
    holders_[holder].wants[query] = key;
    holders_[holder].keys->want(holder_time(holder), query, {query, key, kRest});
  }
  void send_asks(std::size_t holder) {
    for (const auto& verdict : holders_[holder].keys->take_timed_out(holder_time(holder)))
      holders_[holder].wants.erase(verdict.ticket);
    while (const auto ask = holders_[holder].keys->next(holder_time(holder))) asks_.push_back(*ask);
  }
  void release_unsent(std::size_t holder) {
    if (holders_[holder].unsent.empty()) return;
    const auto node = holders_[holder].unsent.extract(holders_[holder].unsent.begin());
    holders_[holder].keys->release({node.key(), node.mapped()});
    ++released;
  }
  void answered(const KeyReply& told) {
    for (std::size_t holder = 0; holder < holders_.size(); ++holder) {
      for (const auto& verdict : holders_[holder].keys->answered(holder_time(holder), told)) {
        const auto node = holders_[holder].wants.extract(verdict.ticket);
        if (verdict.result == KeyResult::kHeld) ++refused;
        if (verdict.result != KeyResult::kGranted) continue;
        if (!reliable_ && random_() % 4 == 0) {
          holders_[holder].unsent.insert({verdict.ticket, node.mapped()});
          continue;
        }
        ++sent;
        const auto before = sent_at_.find(node.mapped());
        if (before != sent_at_.end() && now_ - before->second < kRest)
          fault = node.mapped() + " was sent twice within " + std::to_string(now_ - before->second);
        sent_at_[node.mapped()] = now_;
      }
    }
  }

  void become_leader(std::size_t keeper) {
    if (pending_ && random_() % 2 == 0) commit();
    pending_.reset();
    keepers_[leader_].watch.step_down();
    leader_ = keeper;
    keepers_[keeper].watch.become_leader(leader_time(), keepers_[keeper].table, terms());
  }
  void propose() {
    if (pending_) return;
    KeyEntry entry = keepers_[leader_].watch.next(leader_time(), keepers_[leader_].table, terms());
    if (!entry.empty()) pending_ = std::move(entry);
  }
  void commit() {
    if (!pending_) return;
    const KeyEntry entry = *std::exchange(pending_, std::nullopt);
    for (std::size_t keeper = 0; keeper < 2; ++keeper) {
      const auto told = keepers_[keeper].table.apply(entry);
      if (keeper != leader_) continue;
      keepers_[keeper].watch.applied(leader_time(), keepers_[keeper].table, told, terms());
      for (const KeyReply& one : told) answers_.push_back(one);
    }
  }
  // All keepers lose their disks at once: a new, empty log.
  void lose_log() {
    pending_.reset();
    for (Keeper& keeper : keepers_) keeper.table = {};
    become_leader(leader_);
  }
  template <typename T, typename Take>
  void deliver(std::vector<T>& messages, Take take) {
    if (messages.empty()) return;
    const std::size_t index = random_() % messages.size();
    const T message = messages[index];
    // One message in 8 stays and is delivered again, one in 8 is not delivered.
    if (reliable_ || random_() % 8 != 0) messages.erase(messages.begin() + static_cast<long>(index));
    if (reliable_ || random_() % 8 != 0) take(message);
  }

  std::mt19937_64 random_;
  TimeUs now_ = 1'000'000'000;
  std::uint64_t incarnation_ = 0, query_ = 0;
  std::vector<Holder> holders_;
  Keeper keepers_[2];
  bool reliable_ = false;
  std::size_t leader_ = 0;
  std::optional<KeyEntry> pending_;
  std::vector<KeyRequest> asks_;
  std::vector<KeyReply> answers_;
  std::map<std::string, TimeUs> sent_at_;
};

TEST(Keys, NoneIsSentTwiceWhileItRestsWhateverIsLostLateOrDoubled) {
  std::uint64_t sent = 0, refused = 0, released = 0;
  int recovered = 0;
  constexpr int kSeeds = 2'000;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    KeyWorld world(2 + static_cast<std::size_t>(seed % 2), static_cast<std::uint64_t>(seed));
    for (int step = 0; step < 400 && world.fault.empty(); ++step) world.step();
    ASSERT_EQ(world.fault, "") << "seed " << seed;
    sent += world.sent, refused += world.refused, released += world.released;
    recovered += world.recovers() ? 1 : 0;
    ASSERT_EQ(world.fault, "") << "seed " << seed;
  }
  EXPECT_GT(sent, 1U * kSeeds);
  EXPECT_GT(refused, 2U * kSeeds);
  EXPECT_GT(released, kSeeds / 4U);
  EXPECT_EQ(recovered, kSeeds);
}

KeyRequest ask_of(std::uint64_t seq, std::vector<HoldRequest> wants, std::vector<HoldRelease> free = {}) {
  return {{"c", 1}, seq, std::move(wants), std::move(free)};
}

TEST(Keys, AFurtherAttemptOfTheSameQueryBeginsAnotherRest) {
  KeyTable table;
  table.apply({{}, true, {}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(1, {{7, "k", 5}})}})[0].wants[0], KeyResult::kGranted);
  EXPECT_EQ(table.apply({{}, false, {ask_of(2, {{7, "k", 5}})}})[0].wants[0], KeyResult::kGranted);
  EXPECT_EQ(table.apply({{}, false, {ask_of(3, {{8, "k", 5}})}})[0].wants[0], KeyResult::kHeld);
  table.apply({{1}, false, {}});  // the first attempt's hold expires
  EXPECT_EQ(table.apply({{}, false, {ask_of(4, {{8, "k", 5}})}})[0].wants[0], KeyResult::kHeld);
  table.apply({{2}, false, {}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(5, {{8, "k", 5}})}})[0].wants[0], KeyResult::kGranted);
}

// The release by a query that never held the key, or held it before, arrives while another one holds it.
TEST(Keys, OnlyWhoHasAKeyFreesIt) {
  KeyTable table;
  table.apply({{}, true, {}});
  table.apply({{}, false, {ask_of(1, {{7, "k", 5}})}});
  table.apply({{}, false, {ask_of(2, {}, {{8, "k"}})}});
  table.apply({{}, false, {{{"other", 1}, 3, {}, {{7, "k"}}}}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(4, {{9, "k", 5}})}})[0].wants[0], KeyResult::kHeld);
  table.apply({{}, false, {ask_of(5, {}, {{7, "k"}})}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(6, {{9, "k", 5}})}})[0].wants[0], KeyResult::kGranted);
}

// The keepers granted a key whose query has been refused since, and did not receive the release. The next
// query with that key must not be refused because of it, whichever message was lost.
TEST(Keys, WhatWasGivenUpIsSaidToBeFreeWithEachWantOfItsKeyUntilThatIsHeard) {
  KeyTable table;
  table.apply({{}, true, {}});
  KeyHolder holder({"c", 1});
  holder.set_term(terms().term);
  holder.want(0, 7, {7, "k", kRest});
  table.apply({{}, false, {*holder.next(0)}});
  const TimeUs timed_out_at = terms().term / kGrantTimeoutDivisor;
  ASSERT_EQ(holder.take_timed_out(timed_out_at).size(), 1U);
  holder.release({7, "k"});
  ASSERT_EQ(holder.next(timed_out_at)->free.size(), 1U);  // this message is lost
  holder.want(timed_out_at + 1, 8, {8, "other", kRest});
  EXPECT_TRUE(holder.next(timed_out_at + 1)->free.empty());
  holder.want(timed_out_at + 2, 9, {9, "k", kRest});
  ASSERT_EQ(holder.next(timed_out_at + 2)->free.size(), 1U);  // this one as well
  const auto request = holder.next(timed_out_at + 2 + terms().term / 10);
  const auto told = table.apply({{}, false, {*request}});
  const auto results = holder.answered(timed_out_at + 3 + terms().term / 10, told[0]);
  ASSERT_EQ(results.size(), 2U);
  EXPECT_EQ(results[1].result, KeyResult::kGranted);
  holder.want(timed_out_at + terms().term, 10, {10, "k", kRest});
  EXPECT_TRUE(holder.next(timed_out_at + terms().term)->free.empty());  // the release was received
}

// More releases than fit into one request: all are sent, and repeats of earlier ones hold none of them back.
TEST(Keys, ManyFreedAreSaidInAsManyAsksAsTheyNeed) {
  KeyHolder holder({"c", 1});
  holder.set_term(terms().term);
  constexpr std::uint64_t kMany = 700;
  for (std::uint64_t index = 0; index < kMany; ++index) holder.release({index, "k" + std::to_string(index)});
  const auto released_now = [&](TimeUs now) {
    std::size_t count = 0;
    while (const auto ask = holder.next(now)) {
      EXPECT_LE(ask->free.size(), 256U);
      count += ask->free.size();
    }
    return count;
  };
  EXPECT_EQ(released_now(0), kMany);
  EXPECT_EQ(released_now(1), 0U);
  EXPECT_LE(holder.next_due(), terms().term / kGrantTimeoutDivisor);
  EXPECT_EQ(released_now(terms().term / kGrantTimeoutDivisor), kMany);
}

TEST(Keys, PastTheBoundNothingIsGivenAndWhatRestsStays) {
  KeyTable table;
  table.apply({{}, true, {}});
  for (std::uint64_t index = 0; index < kMaxHeldKeys; ++index)
    table.apply({{}, false, {ask_of(index + 1, {{index, "k" + std::to_string(index), 5}})}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(90'000, {{90'000, "one more", 5}})}})[0].wants[0],
            KeyResult::kUnavailable);
  EXPECT_EQ(table.apply({{}, false, {ask_of(90'001, {{1, "k1", 5}})}})[0].wants[0], KeyResult::kGranted);
  table.apply({{}, false, {ask_of(90'002, {}, {{2, "k2"}})}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(90'003, {{90'000, "one more", 5}})}})[0].wants[0],
            KeyResult::kGranted);
  EXPECT_EQ(table.holds().size(), kMaxHeldKeys);
}

}  // namespace
}  // namespace orchidgw::promises
