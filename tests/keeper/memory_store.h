// A store whose disk is a value: what was committed outlives a crash, what waits does not. A test may have
// the next commits fail.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "store/log_store.h"

namespace orchidgw::store {

// What is on the disk; it outlives the process that writes it.
struct Disk {
  Stored stored;
  int fail_commits = 0;
  int commits = 0;
};

class MemoryStore final : public LogStore {
 public:
  explicit MemoryStore(Disk& disk) : disk_(disk) {}

  Stored load() override { return disk_.stored; }
  void set_owner(const StoredOwner& owner) override {
    asked_.emplace_back([owner](Stored& s) { s.owner = owner; });
  }
  void set_term(std::uint64_t term) override {
    asked_.emplace_back([term](Stored& s) { s.term = term, s.vote = 0; });
  }
  void set_vote(std::uint64_t vote) override {
    asked_.emplace_back([vote](Stored& s) { s.vote = vote; });
  }
  void append(std::uint64_t first, std::vector<StoredEntry> entries) override {
    asked_.emplace_back([first, entries = std::move(entries)](Stored& s) {
      if (s.entries.empty()) s.first = first;
      s.entries.resize(first - s.first);
      s.entries.insert(s.entries.end(), entries.begin(), entries.end());
    });
  }
  void truncate(std::uint64_t from) override {
    asked_.emplace_back([from](Stored& s) {
      if (from < s.first + s.entries.size()) s.entries.resize(from > s.first ? from - s.first : 0);
    });
  }
  void put_snapshot(StoredSnapshot snapshot, std::uint64_t keep_after) override {
    asked_.emplace_back([snapshot = std::move(snapshot), keep_after](Stored& s) {
      s.snapshot = snapshot;
      while (!s.entries.empty() && s.first <= keep_after) s.entries.erase(s.entries.begin()), ++s.first;
      if (s.entries.empty()) s.first = snapshot.index + 1;
    });
  }
  std::optional<StoredSnapshot> snapshot() override { return disk_.stored.snapshot; }
  bool waiting() const override { return !asked_.empty(); }
  void commit() override {
    if (asked_.empty()) return;
    if (disk_.fail_commits > 0) {
      --disk_.fail_commits;
      throw StoreError("no space is left", true);
    }
    for (const auto& one : asked_) one(disk_.stored);
    asked_.clear();
    ++disk_.commits;
  }

 private:
  Disk& disk_;
  std::vector<std::function<void(Stored&)>> asked_;
};

}  // namespace orchidgw::store
