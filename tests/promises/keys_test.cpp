// Keys of a fleet by hand: holders and keepers whose clocks run apart, messages that are lost, late and
// doubled, leaders that change with an entry on its way, logs that are lost: no key is sent twice while it
// rests.
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
  out.longest_rest = kRest;
  return out;
}

class KeyWorld {
 public:
  KeyWorld(std::size_t holders, std::uint64_t seed) : random_(seed), holders_(holders) {
    for (std::size_t h = 0; h < holders; ++h) start(h);
    for (Keeper& k : keepers_) k.rate = rate(), k.table.apply({{}, true, {}});
    lead(0);
  }

  void step() {
    const std::size_t h = random_() % holders_.size();
    switch (random_() % 16) {
      case 0:
      case 1:
      case 2:
        return want(h);
      case 3:
        return free_one(h);
      case 4:
        return random_() % 4 == 0 ? start(h) : send_asks(h);  // it was killed
      case 5:
        return random_() % 4 == 0 ? lead(random_() % 2) : propose();  // an entry on its way may be lost
      case 6:
      case 7:
        return send_asks(h);
      case 8:
      case 9:
        return deliver(asks_, [this](const KeyAsk& ask) { keepers_[leader_].watch.asked(ask); });
      case 10:
      case 11:
        return deliver(answers_, [this](const KeyTold& told) { answered(told); });
      case 12:
      case 13:
        agree();
        return propose();
      case 14:
        if (random_() % 100 == 0) lose_log();
        return pass(static_cast<TimeUs>(random_() % (random_() % 3 == 0 ? 1'500'000 : 60'000)));
      default:
        return pass(static_cast<TimeUs>(random_() % 40'000));
    }
  }

  // Faults are over: what is wanted is given, or known to rest, in time.
  bool comes_to_rest() {
    asks_.clear(), answers_.clear();
    for (int n = 0; n < 4; ++n) pass(2 * kRest), propose(), agree();
    want(0);
    for (int n = 0; n < 6; ++n) {
      send_asks(0);
      reliable_ = true;
      while (!asks_.empty())
        deliver(asks_, [this](const KeyAsk& ask) { keepers_[leader_].watch.asked(ask); });
      propose(), agree();
      const std::uint64_t before = sent;
      while (!answers_.empty()) deliver(answers_, [this](const KeyTold& told) { answered(told); });
      if (sent > before) return true;
      pass(90'000);
    }
    return false;
  }

  std::string fault;
  std::uint64_t sent = 0, rested = 0, freed = 0;

 private:
  struct Keeper {
    KeyTable table;
    KeyWatch watch;
    double rate = 1;
  };
  struct Holder {
    std::optional<KeyHolder> keys;
    double rate = 1;
    std::map<std::uint64_t, std::string> wants;   // by query
    std::map<std::uint64_t, std::string> unsent;  // given, not sent yet: it may be freed
  };

  double rate() { return 1 + (static_cast<double>(random_() % 201) - 100) / 100 * 0.0099; }
  TimeUs local(double rate) const { return static_cast<TimeUs>(static_cast<double>(now_) * rate); }
  TimeUs at_holder(std::size_t h) const { return local(holders_[h].rate); }
  TimeUs at_leader() const { return local(keepers_[leader_].rate); }
  void pass(TimeUs time) { now_ += time; }

  void start(std::size_t h) {
    holders_[h] = {};
    holders_[h].rate = rate();
    holders_[h].keys.emplace(MemberKey{"c" + std::to_string(h), ++incarnation_});
    holders_[h].keys->set_term(terms().term);
  }
  void want(std::size_t h) {
    const std::uint64_t query = ++query_;
    const std::string key(1, static_cast<char>('a' + random_() % 4));
    holders_[h].wants[query] = key;
    holders_[h].keys->want(at_holder(h), query, {query, key, kRest});
  }
  void send_asks(std::size_t h) {
    for (const auto& verdict : holders_[h].keys->given_up(at_holder(h)))
      holders_[h].wants.erase(verdict.ticket);
    while (const auto ask = holders_[h].keys->next(at_holder(h))) asks_.push_back(*ask);
  }
  void free_one(std::size_t h) {
    if (holders_[h].unsent.empty()) return;
    const auto node = holders_[h].unsent.extract(holders_[h].unsent.begin());
    holders_[h].keys->let_go({node.key(), node.mapped()});
    ++freed;
  }
  void answered(const KeyTold& told) {
    for (std::size_t h = 0; h < holders_.size(); ++h) {
      for (const auto& verdict : holders_[h].keys->answered(at_holder(h), told)) {
        const auto node = holders_[h].wants.extract(verdict.ticket);
        if (verdict.told == Told::kRests) ++rested;
        if (verdict.told != Told::kGiven) continue;
        if (!reliable_ && random_() % 4 == 0) {
          holders_[h].unsent.insert({verdict.ticket, node.mapped()});
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

  void lead(std::size_t k) {
    if (pending_ && random_() % 2 == 0) agree();
    pending_.reset();
    keepers_[leader_].watch.follow();
    leader_ = k;
    keepers_[k].watch.lead(at_leader(), keepers_[k].table, terms());
  }
  void propose() {
    if (pending_) return;
    KeyEntry entry = keepers_[leader_].watch.next(at_leader(), keepers_[leader_].table, terms());
    if (!entry.empty()) pending_ = std::move(entry);
  }
  void agree() {
    if (!pending_) return;
    const KeyEntry entry = *std::exchange(pending_, std::nullopt);
    for (std::size_t k = 0; k < 2; ++k) {
      const auto told = keepers_[k].table.apply(entry);
      if (k != leader_) continue;
      keepers_[k].watch.applied(at_leader(), keepers_[k].table, told, terms());
      for (const KeyTold& one : told) answers_.push_back(one);
    }
  }
  // All disks at once: another log, which knows nothing.
  void lose_log() {
    pending_.reset();
    for (Keeper& k : keepers_) k.table = {};
    lead(leader_);
  }
  template <typename T, typename Take>
  void deliver(std::vector<T>& messages, Take take) {
    if (messages.empty()) return;
    const std::size_t n = random_() % messages.size();
    const T message = messages[n];
    // Else it comes twice; else it is lost.
    if (reliable_ || random_() % 8 != 0) messages.erase(messages.begin() + static_cast<long>(n));
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
  std::vector<KeyAsk> asks_;
  std::vector<KeyTold> answers_;
  std::map<std::string, TimeUs> sent_at_;
};

TEST(Keys, NoneIsSentTwiceWhileItRestsWhateverIsLostLateOrDoubled) {
  std::uint64_t sent = 0, rested = 0, freed = 0;
  int came = 0;
  constexpr int kSeeds = 2'000;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    KeyWorld world(2 + static_cast<std::size_t>(seed % 2), static_cast<std::uint64_t>(seed));
    for (int n = 0; n < 400 && world.fault.empty(); ++n) world.step();
    ASSERT_EQ(world.fault, "") << "seed " << seed;
    sent += world.sent, rested += world.rested, freed += world.freed;
    came += world.comes_to_rest() ? 1 : 0;
    ASSERT_EQ(world.fault, "") << "seed " << seed;
  }
  EXPECT_GT(sent, 1U * kSeeds);
  EXPECT_GT(rested, 2U * kSeeds);
  EXPECT_GT(freed, kSeeds / 4U);
  EXPECT_EQ(came, kSeeds);
}

KeyAsk ask_of(std::uint64_t seq, std::vector<Want> wants, std::vector<Free> free = {}) {
  return {{"c", 1}, seq, std::move(wants), std::move(free)};
}

TEST(Keys, AFurtherAttemptOfTheSameQueryBeginsAnotherRest) {
  KeyTable table;
  table.apply({{}, true, {}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(1, {{7, "k", 5}})}})[0].wants[0], Told::kGiven);
  EXPECT_EQ(table.apply({{}, false, {ask_of(2, {{7, "k", 5}})}})[0].wants[0], Told::kGiven);
  EXPECT_EQ(table.apply({{}, false, {ask_of(3, {{8, "k", 5}})}})[0].wants[0], Told::kRests);
  table.apply({{1}, false, {}});  // of the first attempt's
  EXPECT_EQ(table.apply({{}, false, {ask_of(4, {{8, "k", 5}})}})[0].wants[0], Told::kRests);
  table.apply({{2}, false, {}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(5, {{8, "k", 5}})}})[0].wants[0], Told::kGiven);
}

// A query that never had the key, or had it before, ends: its word comes while another one has it.
TEST(Keys, OnlyWhoHasAKeyFreesIt) {
  KeyTable table;
  table.apply({{}, true, {}});
  table.apply({{}, false, {ask_of(1, {{7, "k", 5}})}});
  table.apply({{}, false, {ask_of(2, {}, {{8, "k"}})}});
  table.apply({{}, false, {{{"other", 1}, 3, {}, {{7, "k"}}}}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(4, {{9, "k", 5}})}})[0].wants[0], Told::kRests);
  table.apply({{}, false, {ask_of(5, {}, {{7, "k"}})}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(6, {{9, "k", 5}})}})[0].wants[0], Told::kGiven);
}

// The keepers agreed on a want whose query was refused since, and never heard that it is free: the next query
// of that key is not turned away by it, whichever of the words was lost.
TEST(Keys, WhatWasGivenUpIsSaidToBeFreeWithEachWantOfItsKeyUntilThatIsHeard) {
  KeyTable table;
  table.apply({{}, true, {}});
  KeyHolder holder({"c", 1});
  holder.set_term(terms().term);
  holder.want(0, 7, {7, "k", kRest});
  table.apply({{}, false, {*holder.next(0)}});
  const TimeUs given_up = terms().term / kGrantTimeoutDivisor;
  ASSERT_EQ(holder.given_up(given_up).size(), 1U);
  holder.let_go({7, "k"});
  ASSERT_EQ(holder.next(given_up)->free.size(), 1U);  // lost
  holder.want(given_up + 1, 8, {8, "other", kRest});
  EXPECT_TRUE(holder.next(given_up + 1)->free.empty());
  holder.want(given_up + 2, 9, {9, "k", kRest});
  ASSERT_EQ(holder.next(given_up + 2)->free.size(), 1U);  // lost, too
  const auto again = holder.next(given_up + 2 + terms().term / 10);
  const auto told = table.apply({{}, false, {*again}});
  const auto verdicts = holder.answered(given_up + 3 + terms().term / 10, told[0]);
  ASSERT_EQ(verdicts.size(), 2U);
  EXPECT_EQ(verdicts[1].told, Told::kGiven);
  holder.want(given_up + terms().term, 10, {10, "k", kRest});
  EXPECT_TRUE(holder.next(given_up + terms().term)->free.empty());  // it was heard
}

// More than fit into one ask: all are said, and none is lost behind those that were said before.
TEST(Keys, ManyFreedAreSaidInAsManyAsksAsTheyNeed) {
  KeyHolder holder({"c", 1});
  holder.set_term(terms().term);
  constexpr std::uint64_t kMany = 700;
  for (std::uint64_t n = 0; n < kMany; ++n) holder.let_go({n, "k" + std::to_string(n)});
  const auto said = [&](TimeUs now) {
    std::size_t count = 0;
    while (const auto ask = holder.next(now)) {
      EXPECT_LE(ask->free.size(), 256U);
      count += ask->free.size();
    }
    return count;
  };
  EXPECT_EQ(said(0), kMany);
  EXPECT_EQ(said(1), 0U);
  EXPECT_LE(holder.next_due(), terms().term / kGrantTimeoutDivisor);
  EXPECT_EQ(said(terms().term / kGrantTimeoutDivisor), kMany);
}

TEST(Keys, PastTheBoundNothingIsGivenAndWhatRestsStays) {
  KeyTable table;
  table.apply({{}, true, {}});
  for (std::uint64_t n = 0; n < kKeysMost; ++n)
    table.apply({{}, false, {ask_of(n + 1, {{n, "k" + std::to_string(n), 5}})}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(90'000, {{90'000, "one more", 5}})}})[0].wants[0], Told::kNotNow);
  EXPECT_EQ(table.apply({{}, false, {ask_of(90'001, {{1, "k1", 5}})}})[0].wants[0], Told::kGiven);
  table.apply({{}, false, {ask_of(90'002, {}, {{2, "k2"}})}});
  EXPECT_EQ(table.apply({{}, false, {ask_of(90'003, {{90'000, "one more", 5}})}})[0].wants[0], Told::kGiven);
  EXPECT_EQ(table.rests().size(), kKeysMost);
}

}  // namespace
}  // namespace orchidgw::promises
