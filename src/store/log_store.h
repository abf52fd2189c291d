// The state of a keeper that has to survive a crash: its Raft term, its vote, its log and the last snapshot.
// This interface names no library; `LmdbStore` implements it on a disk.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/system_call.h"

namespace orchidgw::store {

// Type of the entries that hold a fleet::Entry; other types are internal to Raft.
inline constexpr std::uint32_t kCommandEntry = 1;

struct StoredEntry {
  std::uint64_t term = 0;
  std::uint32_t type = 0;
  std::string data;
  bool operator==(const StoredEntry&) const = default;
};

struct StoredSnapshot {
  std::uint64_t index = 0;  // of the last entry that the snapshot covers
  std::uint64_t term = 0;
  std::uint64_t configuration_index = 0;  // of the entry that has the configuration
  std::string configuration;              // the servers and their roles
  std::string data;                       // the state
  bool operator==(const StoredSnapshot&) const = default;
};

// The keeper that a log belongs to, and the keepers that it knows to have started a log.
struct StoredOwner {
  std::string fleet;         // name of the fleet
  std::uint64_t number = 0;  // of the fleet
  std::uint32_t keeper = 0;  // id
  std::set<std::uint32_t> bootstrapped;
  bool operator==(const StoredOwner&) const = default;
};

// All that a store holds.
struct StoredLog {
  std::optional<StoredOwner> owner;  // none: the store is new, or was written by a version without owners
  std::uint64_t term = 0;
  std::uint64_t vote = 0;  // the keeper that got this one's vote in `term`; 0: none
  std::optional<StoredSnapshot> snapshot;
  std::uint64_t first = 1;  // index of entries[0]
  std::vector<StoredEntry> entries;
  // True: there is no log; `owner` may be set all the same.
  bool empty() const { return term == 0 && !snapshot && entries.empty(); }
  bool operator==(const StoredLog&) const = default;
};

// A failure of the store. Nothing written since the last commit is stored; everything before it is.
class StoreError : public std::runtime_error {
 public:
  StoreError(const std::string& what, bool full) : std::runtime_error(what), full_(full) {}
  bool full() const { return full_; }  // there is no space left

 private:
  bool full_;
};

// The store can't be opened for lack of a resource that others may free: a retry may succeed.
class StoreUnavailable : public StoreError {
 public:
  StoreUnavailable(const std::string& what, const SystemCallError& cause)
      : StoreError(what, false), cause_(cause) {}
  const SystemCallError& cause() const { return cause_; }

 private:
  SystemCallError cause_;
};

// Writes are buffered in order until `commit`, which makes them durable together: all or none of them.
// Buffering never fails; `load`, `snapshot` and `commit` throw StoreError.
class LogStore {
 public:
  virtual ~LogStore() = default;
  virtual StoredLog load() = 0;  // reads all that is committed
  virtual void set_owner(const StoredOwner& owner) = 0;
  virtual void set_term(std::uint64_t term) = 0;  // resets the vote
  virtual void set_vote(std::uint64_t vote) = 0;
  // `first`: index of the first of `entries`.
  virtual void append(std::uint64_t first, std::vector<StoredEntry> entries) = 0;
  virtual void truncate(std::uint64_t from) = 0;  // removes the entry `from` and all after it
  // Replaces the snapshot and removes the entries up to `drop_through`, included.
  virtual void put_snapshot(StoredSnapshot snapshot, std::uint64_t drop_through) = 0;
  virtual std::optional<StoredSnapshot> snapshot() = 0;  // the committed one
  virtual bool has_pending_writes() const = 0;           // true: there are writes since the last commit
  virtual void commit() = 0;
};

}  // namespace orchidgw::store
