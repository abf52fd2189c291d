// Which keys are held after a start, for how long, and that expired ones are removed; and the intent store on
// a real disk.
#include "recovery/key_book.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <random>
#include <set>

namespace orchidgw::recovery {
namespace {

constexpr TimeUs kSecond = 1'000'000;

TEST(IntentTracker, OnTheSameBootWhatIsLeftOfTheWindowRests) {
  IntentTracker first("boot-1", 100 * kSecond, {}, 10);
  const store::Intent intent = first.create_intent("key k", 12 * kSecond, 100 * kSecond);
  EXPECT_FALSE(first.may_have_run("key k", 101 * kSecond));  // a process knows its own queries
  IntentTracker second("boot-1", 105 * kSecond, {intent}, 10);
  EXPECT_TRUE(second.may_have_run("key k", 111 * kSecond));
  EXPECT_FALSE(second.may_have_run("key other", 111 * kSecond));
  EXPECT_FALSE(second.may_have_run("key k", 112 * kSecond));
  EXPECT_EQ(second.take_expired(112 * kSecond), std::vector<std::uint64_t>{intent.serial});
}

// It is unknown how long the power was off, and earlier clock readings are meaningless.
TEST(IntentTracker, AfterAnotherBootTheWholeWindowRestsFromTheStartOn) {
  const store::Intent intent{7, "key k", "boot-1", 900 * kSecond, 12 * kSecond};
  for (const char* boot : {"boot-2", "boot-1"}) {  // the second: a time in the future, so not of this boot
    IntentTracker book(boot, 3 * kSecond, {intent}, 10);
    EXPECT_TRUE(book.may_have_run("key k", 14 * kSecond));
    EXPECT_FALSE(book.may_have_run("key k", 15 * kSecond));
    EXPECT_GT(book.create_intent("key k", kSecond, 16 * kSecond).serial, 7U);
  }
}

TEST(IntentTracker, TheLatestOfSeveralAttemptsCountsAndTheBoundIsSaid) {
  const std::vector<store::Intent> found = {{1, "key k", "b", 2 * kSecond, 10 * kSecond},
                                            {2, "key k", "b", 6 * kSecond, 10 * kSecond}};
  IntentTracker book("b", 7 * kSecond, found, 2);
  EXPECT_TRUE(book.full());
  EXPECT_EQ(book.take_expired(12 * kSecond), std::vector<std::uint64_t>{1});
  EXPECT_FALSE(book.full());
  EXPECT_TRUE(book.may_have_run("key k", 15 * kSecond));
  EXPECT_EQ(book.take_expired(16 * kSecond), std::vector<std::uint64_t>{2});
  EXPECT_FALSE(book.may_have_run("key k", 15 * kSecond));
}

// The process and the machine may restart at any moment: no key is sent twice within its window.
TEST(IntentTracker, NoKeyIsSentTwiceWithinItsWindowWhateverStarts) {
  for (unsigned seed = 1; seed <= 500; ++seed) {
    std::mt19937 random(seed);
    TimeUs true_now = 1000 * kSecond;
    TimeUs booted_at = 0;
    int boots = 1;
    std::vector<store::Intent> stored_intents;
    std::map<std::string, TimeUs> sent;          // by this or an earlier process: when
    std::set<std::string> sent_by_this_process;  // a process does not send its own queries twice
    const auto boot_now = [&] { return true_now - booted_at; };
    const auto start = [&] {
      sent_by_this_process.clear();
      return IntentTracker("boot-" + std::to_string(boots), boot_now(), stored_intents, 1'000);
    };
    IntentTracker book = start();
    for (int step = 0; step < 200; ++step) {
      true_now += static_cast<TimeUs>(random() % 3'000) * 1'000;
      for (const std::uint64_t serial : book.take_expired(boot_now()))
        std::erase_if(stored_intents, [serial](const store::Intent& one) { return one.serial == serial; });
      if (random() % 10 == 0) {
        if (random() % 2 == 0) {  // the machine restarts, too, and is off for a while
          true_now += static_cast<TimeUs>(random() % 20) * kSecond;
          booted_at = true_now - static_cast<TimeUs>(random() % 50) * kSecond;
          ++boots;
        }
        book = start();
      }
      const std::string key = "key " + std::to_string(random() % 5);
      if (book.may_have_run(key, boot_now()) || sent_by_this_process.contains(key)) continue;
      const auto before = sent.find(key);
      const TimeUs since = before == sent.end() ? 12 * kSecond : true_now - before->second;
      ASSERT_GE(since, 12 * kSecond) << "seed " << seed << " step " << step;
      stored_intents.push_back(book.create_intent(key, 12 * kSecond, boot_now()));
      sent[key] = true_now;
      sent_by_this_process.insert(key);
    }
  }
}

TEST(IntentStore, FindsAgainWhatWasCommitted) {
  std::string folder = (std::filesystem::temp_directory_path() / "orchidgw-intents-XXXXXX").string();
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const std::vector<store::Intent> intents = {{1, "key a", "b", 5, 6}, {2, "reference r", "b", 7, 8}};
  {
    store::IntentStore store(folder, 1024 * 1024);
    store.commit(intents, {});
    store.commit({}, {1, 99});
    EXPECT_THROW(store::IntentStore(folder, 1024 * 1024), store::StoreError);
  }
  EXPECT_EQ(store::IntentStore(folder, 1024 * 1024).load(), std::vector<store::Intent>{intents[1]});
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace orchidgw::recovery
