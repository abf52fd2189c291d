// A LogStore on LMDB: one file, which a power failure always leaves in the state of a whole commit. Its size
// is bounded: beyond the bound a commit fails as on a full disk. Calls block while the disk writes, so they
// must not be made in the event loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "store/log_store.h"

namespace orchidgw::store {

// Bound on the size of a keeper's store; its log is compacted long before it grows so large.
inline constexpr std::size_t kMaxKeeperStoreBytes = std::size_t{256} * 1024 * 1024;

class LmdbStore final : public LogStore {
 public:
  // kRead changes no record (a file that is shorter than its page count is extended), and creates no store.
  enum class Open { kWrite, kRead };

  // `folder` must exist; only one process at a time can have it open. `max_bytes`: bound on the file's size.
  // Throws StoreError that names the folder and the reason.
  LmdbStore(const std::string& folder, std::size_t max_bytes, Open open = Open::kWrite);
  ~LmdbStore() override;

  StoredLog load() override;
  void set_owner(const StoredOwner& owner) override;
  void set_term(std::uint64_t term) override;
  void set_vote(std::uint64_t vote) override;
  void append(std::uint64_t first, std::vector<StoredEntry> entries) override;
  void truncate(std::uint64_t from) override;
  void put_snapshot(StoredSnapshot snapshot, std::uint64_t drop_through) override;
  std::optional<StoredSnapshot> snapshot() override;
  bool has_pending_writes() const override;
  void commit() override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace orchidgw::store
