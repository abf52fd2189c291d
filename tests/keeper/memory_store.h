// A LogStore whose disk is a value in memory: what was committed survives a simulated crash, pending writes
// do not. A test can make the next commits fail.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "store/log_store.h"

namespace orchidgw::store {

// The content of a disk; it outlives the simulated process that writes it.
struct Disk {
  StoredLog stored;
  int fail_commits = 0;  // so many of the next commits fail
  int commits = 0;       // how many succeeded
};

class MemoryStore final : public LogStore {
 public:
  explicit MemoryStore(Disk& disk) : disk_(disk) {}

  StoredLog load() override { return disk_.stored; }
  void set_owner(const StoredOwner& owner) override {
    pending_writes_.emplace_back([owner](StoredLog& state) { state.owner = owner; });
  }
  void set_term(std::uint64_t term) override {
    pending_writes_.emplace_back([term](StoredLog& state) { state.term = term, state.vote = 0; });
  }
  void set_vote(std::uint64_t vote) override {
    pending_writes_.emplace_back([vote](StoredLog& state) { state.vote = vote; });
  }
  void append(std::uint64_t first, std::vector<StoredEntry> entries) override {
    pending_writes_.emplace_back([first, entries = std::move(entries)](StoredLog& state) {
      if (state.entries.empty()) state.first = first;
      state.entries.resize(first - state.first);
      state.entries.insert(state.entries.end(), entries.begin(), entries.end());
    });
  }
  void truncate(std::uint64_t from) override {
    pending_writes_.emplace_back([from](StoredLog& state) {
      if (from < state.first + state.entries.size())
        state.entries.resize(from > state.first ? from - state.first : 0);
    });
  }
  void put_snapshot(StoredSnapshot snapshot, std::uint64_t drop_through) override {
    pending_writes_.emplace_back([snapshot = std::move(snapshot), drop_through](StoredLog& state) {
      state.snapshot = snapshot;
      while (!state.entries.empty() && state.first <= drop_through)
        state.entries.erase(state.entries.begin()), ++state.first;
      if (state.entries.empty()) state.first = snapshot.index + 1;
    });
  }
  std::optional<StoredSnapshot> snapshot() override { return disk_.stored.snapshot; }
  bool has_pending_writes() const override { return !pending_writes_.empty(); }
  void commit() override {
    if (pending_writes_.empty()) return;
    if (disk_.fail_commits > 0) {
      --disk_.fail_commits;
      throw StoreError("no space is left", true);
    }
    for (const auto& write : pending_writes_) write(disk_.stored);
    pending_writes_.clear();
    ++disk_.commits;
  }

 private:
  Disk& disk_;
  std::vector<std::function<void(StoredLog&)>> pending_writes_;
};

}  // namespace orchidgw::store
