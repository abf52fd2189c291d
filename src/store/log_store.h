// What a keeper must find again after a crash: its term, its vote, its log and the last snapshot. No library
// shows here; `LmdbStore` keeps it on a disk.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/system_call.h"

namespace orchidgw::store {

inline constexpr std::uint32_t kCommandEntry = 1;  // carries what was agreed on; others are the log's own

struct StoredEntry {
  std::uint64_t term = 0;
  std::uint32_t type = 0;
  std::string data;
  bool operator==(const StoredEntry&) const = default;
};

struct StoredSnapshot {
  std::uint64_t index = 0;  // of the last entry within it
  std::uint64_t term = 0;
  std::uint64_t configuration_index = 0;
  std::string configuration;
  std::string data;
  bool operator==(const StoredSnapshot&) const = default;
};

// Whose log it is, and which keepers that one knows to have begun theirs.
struct StoredOwner {
  std::string fleet;
  std::uint64_t number = 0;
  std::uint32_t keeper = 0;
  std::set<std::uint32_t> begun;
  bool operator==(const StoredOwner&) const = default;
};

struct Stored {
  std::optional<StoredOwner> owner;  // none: nobody's, or written before there was one
  std::uint64_t term = 0;
  std::uint64_t vote = 0;  // 0: none in this term
  std::optional<StoredSnapshot> snapshot;
  std::uint64_t first = 1;  // index of the first entry
  std::vector<StoredEntry> entries;
  // No log, whoever's it is.
  bool empty() const { return term == 0 && !snapshot && entries.empty(); }
  bool operator==(const Stored&) const = default;
};

// Nothing of what was asked since the last commit is stored, and all before it is.
class StoreError : public std::runtime_error {
 public:
  StoreError(const std::string& what, bool full) : std::runtime_error(what), full_(full) {}
  bool full() const { return full_; }  // no space is left

 private:
  bool full_;
};

// A store that can't be opened for want of something that others give back.
class StoreUnavailable : public StoreError {
 public:
  StoreUnavailable(const std::string& what, const SystemCallError& cause)
      : StoreError(what, false), cause_(cause) {}
  const SystemCallError& cause() const { return cause_; }

 private:
  SystemCallError cause_;
};

// Calls gather in order until `commit`, which makes them durable together: all or none. Those that gather
// never fail; `load` and `commit` throw StoreError.
class LogStore {
 public:
  virtual ~LogStore() = default;
  virtual Stored load() = 0;
  virtual void set_owner(const StoredOwner& owner) = 0;
  virtual void set_term(std::uint64_t term) = 0;  // forgets the vote
  virtual void set_vote(std::uint64_t vote) = 0;
  virtual void append(std::uint64_t first, std::vector<StoredEntry> entries) = 0;
  virtual void truncate(std::uint64_t from) = 0;  // this entry and all behind it
  // Entries up to `keep_after` go with it.
  virtual void put_snapshot(StoredSnapshot snapshot, std::uint64_t keep_after) = 0;
  virtual std::optional<StoredSnapshot> snapshot() = 0;  // the last one committed
  virtual bool waiting() const = 0;                      // something was asked since the last commit
  virtual void commit() = 0;
};

}  // namespace orchidgw::store
