// Power cuts at every write and sync that LMDB makes on its file, with unsynced sectors lost too.
// Acknowledged commits must be there afterwards; the commit in progress must be there whole or not at all.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "power_cut_disk.h"
#include "store/intent_store.h"
#include "store/lmdb_store.h"

namespace orchidgw::store {
namespace {

constexpr std::size_t kBytes = 4 * 1024 * 1024;
constexpr const char* kFile = "/data.mdb";

std::string file_of(const std::string& folder) {
  std::ostringstream out;
  out << std::ifstream(folder + kFile, std::ios::binary).rdbuf();
  return out.str();
}

// Number of the last commit that was acknowledged before step `cut`. `acked`: the number of steps made when
// each commit was acknowledged, beginning with the opening of the empty store.
std::size_t commits_before(std::size_t cut, const std::vector<std::size_t>& acked) {
  return static_cast<std::size_t>(std::upper_bound(acked.begin(), acked.end(), cut) - acked.begin() - 1);
}

class PowerCut : public ::testing::Test {
 protected:
  PowerCut() {
    std::string path = (std::filesystem::temp_directory_path() / "orchidgw-cut-XXXXXX").string();
    EXPECT_NE(mkdtemp(path.data()), nullptr);
    folder = path;
  }
  ~PowerCut() override { std::filesystem::remove_all(folder); }
  std::string new_folder_with(const std::string& file) const {  // a new folder with that file
    const std::string to = folder + "/found";
    std::filesystem::remove_all(to);
    std::filesystem::create_directory(to);
    if (!file.empty()) std::ofstream(to + kFile, std::ios::binary) << file;
    return to;
  }
  std::string folder;
  std::mt19937_64 random{11};
};

// Writes what a keeper may write between two commits: terms, votes, entries, truncation, a snapshot that
// compacts the log.
void write_randomly(LmdbStore& store, std::uint64_t& last, std::uint64_t n, std::mt19937_64& random) {
  if (n % 7 == 0) store.set_term(n);
  if (n % 7 == 1) store.set_vote(1 + random() % 3);
  if (n % 11 == 0 && last > 3) store.truncate(last - 1), last -= 2;
  std::vector<StoredEntry> entries;
  for (std::uint64_t k = random() % 6; k > 0; --k)
    entries.push_back({n, kCommandEntry, std::string(random() % 3'000, static_cast<char>('a' + n % 26))});
  const std::uint64_t first = last + 1;
  last += entries.size();
  if (!entries.empty()) store.append(first, std::move(entries));
  if (n % 13 == 0 && last > 8)
    store.put_snapshot({last - 2, n, 1, "1 1\n", std::string(random() % 20'000, 's')}, last - 6);
}

TEST_F(PowerCut, OfAKeepersLogAtEachStepLosesNothingAcknowledgedAndTearsNothing) {
  constexpr std::uint64_t kCommits = 120;
  std::vector<StoredLog> states;   // after each commit
  std::vector<std::size_t> acked;  // number of steps made by then
  std::vector<DiskStep> steps;
  {
    DiskRecorder recorder(kFile);
    LmdbStore store(folder, kBytes);
    states.push_back(store.load());
    acked.push_back(recorder.steps().size());
    std::uint64_t last = 0;
    for (std::uint64_t n = 1; n <= kCommits; ++n) {
      write_randomly(store, last, n, random);
      store.commit();
      states.push_back(store.load());
      acked.push_back(recorder.steps().size());
    }
    steps = recorder.steps();
  }
  ASSERT_GT(steps.size(), 3 * kCommits);
  int cuts = 0, unacknowledged_found = 0;
  for (std::size_t cut = acked[0]; cut < steps.size(); ++cut) {
    const std::size_t done = commits_before(cut, acked);
    for (int variant = 0; variant < 3; ++variant, ++cuts) {
      LmdbStore found(new_folder_with(after_power_cut("", steps, cut, random)), kBytes);
      const StoredLog stored = found.load();
      const bool next =
          done + 1 < states.size() && stored == states[done + 1] && states[done] != states[done + 1];
      ASSERT_TRUE(stored == states[done] || next) << "step " << cut << " after commit " << done;
      unacknowledged_found += next ? 1 : 0;
    }
  }
  EXPECT_GT(cuts, 1'000);
  EXPECT_GT(unacknowledged_found, 0);
}

// Ten power cuts in a row, each while the store that the one before left is in use again.
TEST_F(PowerCut, TenInARowLeaveAStoreThatGoesOn) {
  for (int round = 0; round < 20; ++round) {
    std::string file;
    StoredLog known;
    std::uint64_t number = 0;
    for (int loss = 0; loss < 10; ++loss) {
      const std::string before = file;
      std::vector<StoredLog> states;
      std::vector<std::size_t> acked;
      std::vector<DiskStep> steps;
      {
        DiskRecorder recorder(kFile);
        LmdbStore store(new_folder_with(file), kBytes);
        states.push_back(store.load());
        ASSERT_EQ(states[0], known) << "round " << round << " loss " << loss;
        acked.push_back(recorder.steps().size());
        std::uint64_t last = states[0].first + states[0].entries.size() - 1;
        for (std::uint64_t n = 1; n <= 12; ++n) {
          write_randomly(store, last, ++number, random);
          store.commit();
          states.push_back(store.load());
          acked.push_back(recorder.steps().size());
        }
        steps = recorder.steps();
      }
      const std::size_t cut = acked[0] + random() % (steps.size() - acked[0]);
      const std::size_t done = commits_before(cut, acked);
      file = after_power_cut(before, steps, cut, random);
      LmdbStore found(new_folder_with(file), kBytes);
      known = found.load();
      ASSERT_TRUE(known == states[done] || known == states[done + 1])
          << "round " << round << " loss " << loss;
      file = file_of(folder + "/found");
    }
  }
}

TEST_F(PowerCut, OfIntentsAtEachStepLosesNoneThatWasSentOn) {
  std::vector<std::vector<Intent>> states;
  std::vector<std::size_t> acked;
  std::vector<DiskStep> steps;
  {
    DiskRecorder recorder(kFile);
    IntentStore store(folder, kBytes);
    states.push_back(store.load());
    acked.push_back(recorder.steps().size());
    for (std::uint64_t n = 1; n <= 60; ++n) {
      std::vector<Intent> put;
      for (std::uint64_t k = 0; k <= n % 5; ++k)
        put.push_back({n * 10 + k, "reference " + std::to_string(n * 10 + k), "boot", 5, 9});
      store.commit(put, n > 20 ? std::vector<std::uint64_t>{(n - 20) * 10} : std::vector<std::uint64_t>{});
      states.push_back(store.load());
      acked.push_back(recorder.steps().size());
    }
    steps = recorder.steps();
  }
  int cuts = 0;
  for (std::size_t cut = acked[0]; cut < steps.size(); ++cut) {
    const std::size_t done = commits_before(cut, acked);
    for (int variant = 0; variant < 3; ++variant, ++cuts) {
      IntentStore found(new_folder_with(after_power_cut("", steps, cut, random)), kBytes);
      const auto stored = found.load();
      ASSERT_TRUE(stored == states[done] || (done + 1 < states.size() && stored == states[done + 1]))
          << "step " << cut;
    }
  }
  EXPECT_GT(cuts, 500);
}

// Checks the simulated disk itself: it loses unsynced writes and keeps synced ones.
TEST_F(PowerCut, WithoutSyncsTheDiskLosesWhatWasWritten) {
  std::vector<DiskStep> steps;
  {
    DiskRecorder recorder(kFile);
    LmdbStore store(folder, kBytes);
    std::uint64_t at = 0;
    for (std::uint64_t n = 1; n <= 30; ++n) write_randomly(store, at, n, random), store.commit();
    steps = recorder.steps();
  }
  const std::string complete = file_of(folder);
  EXPECT_EQ(after_power_cut("", steps, steps.size(), random), complete);
  std::erase_if(steps, [](const DiskStep& step) { return step.kind == DiskStep::Kind::kSync; });
  for (DiskStep& step : steps) step.durable = false;
  EXPECT_NE(after_power_cut("", steps, steps.size(), random), complete);
}

}  // namespace
}  // namespace orchidgw::store
