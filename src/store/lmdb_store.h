// A LogStore on LMDB: one file that is never in between two commits, whenever the power goes. Its size is
// bounded: past it a commit fails as on a full disk. Blocks while the disk writes: not for the loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "store/log_store.h"

namespace orchidgw::store {

inline constexpr std::size_t kKeeperBytes = std::size_t{256} * 1024 * 1024;  // the log is compacted far below

class LmdbStore final : public LogStore {
 public:
  enum class Open {
    kWrite,
    kRead
  };  // kRead changes no record (a file shorter than its pages is made longer),
      // and finds nothing where there is no store

  // `folder` must be there. Throws StoreError naming it and the reason; two processes can't have it at once.
  LmdbStore(const std::string& folder, std::size_t bytes_most, Open open = Open::kWrite);
  ~LmdbStore() override;

  Stored load() override;
  void set_owner(const StoredOwner& owner) override;
  void set_term(std::uint64_t term) override;
  void set_vote(std::uint64_t vote) override;
  void append(std::uint64_t first, std::vector<StoredEntry> entries) override;
  void truncate(std::uint64_t from) override;
  void put_snapshot(StoredSnapshot snapshot, std::uint64_t keep_after) override;
  std::optional<StoredSnapshot> snapshot() override;
  bool waiting() const override;
  void commit() override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace orchidgw::store
