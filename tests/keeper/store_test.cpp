// The keepers' store on a real disk: committed writes are found again, others are not.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "store/lmdb_store.h"

namespace orchidgw::store {
namespace {

class Store : public ::testing::Test {
 protected:
  Store() {
    std::string path = (std::filesystem::temp_directory_path() / "orchidgw-store-XXXXXX").string();
    EXPECT_NE(mkdtemp(path.data()), nullptr);
    folder = path;
  }
  ~Store() override { std::filesystem::remove_all(folder); }
  std::string folder;
  static constexpr std::size_t kBytes = 4 * 1024 * 1024;
};

TEST_F(Store, FindsAgainWhatWasCommittedAndNothingElse) {
  {
    LmdbStore store(folder, kBytes);
    EXPECT_TRUE(store.load().empty());
    store.set_term(3);
    store.set_vote(2);
    store.append(1, {{1, 3, "one"}, {2, 1, ""}, {3, 1, std::string(1, '\0') + "three"}});
    store.commit();
    store.set_term(4);
    store.append(4, {{4, 1, "never committed"}});
    EXPECT_TRUE(store.has_pending_writes());
  }
  LmdbStore store(folder, kBytes);
  const StoredLog found = store.load();
  EXPECT_EQ(found.term, 3U);
  EXPECT_EQ(found.vote, 2U);
  EXPECT_EQ(found.first, 1U);
  EXPECT_EQ(found.entries,
            (std::vector<StoredEntry>{{1, 3, "one"}, {2, 1, ""}, {3, 1, std::string(1, '\0') + "three"}}));
}

TEST_F(Store, ANewTermForgetsTheVote) {
  LmdbStore store(folder, kBytes);
  store.set_vote(2);
  store.set_term(9);
  store.commit();
  EXPECT_EQ(store.load().vote, 0U);
}

TEST_F(Store, TruncatesBehindAndCompactsBefore) {
  LmdbStore store(folder, kBytes);
  for (std::uint64_t i = 1; i <= 300; ++i) store.append(i, {{1, 1, std::to_string(i)}});
  store.truncate(291);
  store.append(291, {{2, 1, "other"}});
  store.put_snapshot({280, 1, 1, "1 1\n", "state"}, 260);
  store.commit();
  const StoredLog found = store.load();
  EXPECT_EQ(found.first, 261U);
  ASSERT_EQ(found.entries.size(), 31U);
  EXPECT_EQ(found.entries.back(), (StoredEntry{2, 1, "other"}));
  EXPECT_EQ(found.snapshot, (StoredSnapshot{280, 1, 1, "1 1\n", "state"}));
  store.put_snapshot({900, 3, 1, "1 1\n", "another's"}, ~std::uint64_t{0});
  store.commit();
  EXPECT_TRUE(store.load().entries.empty());
  EXPECT_EQ(store.load().first, 901U);
}

TEST_F(Store, PastItsBoundACommitFailsAsOnAFullDiskAndChangesNothing) {
  LmdbStore store(folder, 256 * 1024);
  store.append(1, {{1, 1, "kept"}});
  store.commit();
  store.append(2, {{1, 1, std::string(1024 * 1024, 'x')}});
  try {
    store.commit();
    FAIL() << "it fits";
  } catch (const StoreError& e) {
    EXPECT_TRUE(e.full());
  }
  EXPECT_EQ(store.load().entries.size(), 1U);
}

TEST_F(Store, NamesTheFolderAndTheReason) {
  const LmdbStore store(folder, kBytes);
  try {
    LmdbStore again(folder, kBytes);
    FAIL() << "two processes have it";
  } catch (const StoreError& e) {
    EXPECT_EQ(std::string(e.what()), folder + ": another process has it");
  }
  EXPECT_THROW(LmdbStore("/nowhere/at/all", kBytes), StoreError);
}

void write_sample(const std::string& folder) {
  LmdbStore store(folder, 4 * 1024 * 1024);
  store.set_owner({"f", 7, 2, {1, 2}});
  store.set_term(3);
  for (std::uint64_t i = 1; i <= 50; ++i) store.append(i, {{3, 1, "a record of entry " + std::to_string(i)}});
  store.commit();
}

TEST_F(Store, KnowsWhoseItIs) {
  write_sample(folder);
  EXPECT_EQ(LmdbStore(folder, kBytes).load().owner, (StoredOwner{"f", 7, 2, {1, 2}}));
}

// The file is damaged in many places, one at a time: opening or loading reports it in one line, and does not
// end the process.
TEST_F(Store, DamageIsSaidInALine) {
  write_sample(folder);
  const std::string file = folder + "/data.mdb";
  std::string intact_bytes(std::filesystem::file_size(file), '\0');
  std::ifstream(file, std::ios::binary)
      .read(intact_bytes.data(), static_cast<std::streamsize>(intact_bytes.size()));
  constexpr std::size_t kPage = 4096;
  std::vector<std::string> damaged = {intact_bytes.substr(0, 1), intact_bytes.substr(0, kPage),
                                      intact_bytes.substr(0, 2 * kPage + 17),
                                      intact_bytes.substr(0, 3 * kPage)};
  damaged.push_back(intact_bytes);
  std::fill_n(damaged.back().begin(), 2 * kPage, '\xff');  // both meta pages
  for (std::size_t at = intact_bytes.find("a record of entry "); at != std::string::npos;
       at = intact_bytes.find("a record of entry ", at + 400)) {
    damaged.push_back(intact_bytes);
    damaged.back()[at + 3] ^= 0x10;
  }
  ASSERT_GT(damaged.size(), 7U);
  for (std::size_t n = 0; n < damaged.size(); ++n) {
    std::ofstream(file, std::ios::binary | std::ios::trunc) << damaged[n];
    try {
      LmdbStore store(folder, kBytes);
      static_cast<void>(store.load());
      ADD_FAILURE() << "taken for good: " << n;
    } catch (const StoreError& e) {
      EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
    }
  }
}

// A transaction may allocate a page at the end and free it again; it is never written then, and the file of
// an intact store is shorter than its page count. Guards against refusing such a file as truncated.
TEST_F(Store, AFileThatEndsBeforePagesThatWereNeverWrittenIsWhole) {
  std::uint64_t last = 0;
  for (std::uint64_t n = 1; n <= 120; ++n) {
    LmdbStore store(folder, kBytes);
    if (n % 11 == 0 && last > 3) store.truncate(last - 1), last -= 2;
    std::vector<StoredEntry> entries(n % 6, {n, kCommandEntry, std::string(n * 37 % 3'000, 'a')});
    const std::uint64_t first = last + 1;
    last += entries.size();
    if (!entries.empty()) store.append(first, std::move(entries));
    if (n % 13 == 0)
      store.put_snapshot({last - 2, n, 1, "1 1\n", std::string(n * 151 % 20'000, 's')}, last - 6);
    store.commit();
    ASSERT_EQ(store.load().first + store.load().entries.size() - 1, last) << n;
  }
}

// The file is truncated at many sizes. Either one line reports it (LMDB may end the process with code 1), or
// all data is there, because only pages are missing that nothing refers to.
TEST_F(Store, AFileThatWasCutAnywhereIsSaidInALine) {
  write_sample(folder);
  const std::string file = folder + "/data.mdb";
  const std::uintmax_t size = std::filesystem::file_size(file);
  const StoredLog intact = LmdbStore(folder, kBytes).load();
  const auto load = [&] {
    try {
      LmdbStore store(folder, kBytes);
      std::_Exit(store.load() == intact ? 0 : 2);
    } catch (const StoreError& e) {
      std::cerr << e.what() << std::endl;
      std::_Exit(1);
    }
  };
  const auto reported_or_intact = [](int status) { return WIFEXITED(status) && WEXITSTATUS(status) <= 1; };
  int cuts = 0;
  for (std::uintmax_t at = size - 2'048; at > 2'048; at -= 4'096, ++cuts) {
    std::filesystem::resize_file(file, at);
    EXPECT_EXIT(load(), reported_or_intact, "") << at;
  }
  EXPECT_GT(cuts, 4);
}

}  // namespace
}  // namespace orchidgw::store
