#include "store/lmdb_store.h"

#include <cstring>
#include <utility>

#include "store/lmdb_environment.h"

namespace orchidgw::store {
namespace {

constexpr std::uint64_t kFormat = 2;  // format 1 had no checksums

// Keys of the table "meta". The table "log" has the entries, by index.
constexpr const char* kKeyFormat = "format";
constexpr const char* kKeyOwner = "owner";
constexpr const char* kKeyTerm = "term";
constexpr const char* kKeyVote = "vote";
constexpr const char* kKeySnapshot = "snapshot";

std::string encode(const StoredEntry& entry) {
  std::string out;
  append_number(out, entry.term);
  append_number(out, entry.type);
  out += entry.data;
  return out;
}

StoredEntry decode_entry(std::string_view record) {
  StoredEntry out;
  out.term = read_number(record);
  out.type = static_cast<std::uint32_t>(read_number(record));
  out.data = std::string(record);
  return out;
}

std::string encode(const StoredSnapshot& snapshot) {
  std::string out;
  append_number(out, snapshot.index);
  append_number(out, snapshot.term);
  append_number(out, snapshot.configuration_index);
  append_text(out, snapshot.configuration);
  append_text(out, snapshot.data);
  return out;
}

StoredSnapshot decode_snapshot(std::string_view record) {
  StoredSnapshot out;
  out.index = read_number(record);
  out.term = read_number(record);
  out.configuration_index = read_number(record);
  out.configuration = read_text(record);
  out.data = read_text(record);
  return out;
}

std::string encode(const StoredOwner& owner) {
  std::string out;
  append_text(out, owner.fleet);
  append_number(out, owner.number);
  append_number(out, owner.keeper);
  for (const std::uint32_t keeper : owner.bootstrapped) append_number(out, keeper);
  return out;
}

StoredOwner decode_owner(std::string_view record) {
  StoredOwner out;
  out.fleet = read_text(record);
  out.number = read_number(record);
  out.keeper = static_cast<std::uint32_t>(read_number(record));
  while (!record.empty()) out.bootstrapped.insert(static_cast<std::uint32_t>(read_number(record)));
  return out;
}

}  // namespace

struct LmdbStore::Impl {
  Impl(const std::string& folder, std::size_t max_bytes, bool read_only)
      : environment(folder, max_bytes, read_only) {}

  Environment environment;
  MDB_dbi meta = 0;
  MDB_dbi log = 0;
  bool has_checksums = true;  // false: a store of format 1, whose records have no checksums
  std::vector<std::function<void(MDB_txn*)>> pending_writes;  // since the last commit

  void put_meta(MDB_txn* txn, const char* key, std::string_view bytes) const {
    MDB_val mdb_key = to_mdb_val(key);
    MDB_val mdb_value = to_mdb_val(bytes);
    check_result(mdb_put(txn, meta, &mdb_key, &mdb_value, 0), key);
  }

  void put_number(MDB_txn* txn, const char* key, std::uint64_t number) const {
    std::string bytes;
    append_number(bytes, number);
    put_meta(txn, key, bytes);
  }

  // A record with its checksum, and without: a store of format 1 has none.
  std::string add_checksum(const std::string& record) const {
    return has_checksums ? with_checksum(record) : record;
  }
  std::string_view check_checksum(std::string_view stored, const char* what) const {
    return has_checksums ? without_checksum(stored, what) : stored;
  }

  std::optional<std::string_view> get_record(MDB_txn* txn, const char* key) const {
    const auto stored = get_meta(txn, key);
    return stored ? std::optional(check_checksum(*stored, key)) : std::nullopt;
  }

  std::optional<std::string_view> get_meta(MDB_txn* txn, const char* key) const {
    MDB_val mdb_key = to_mdb_val(key);
    MDB_val mdb_value{};
    const int code = mdb_get(txn, meta, &mdb_key, &mdb_value);
    if (code == MDB_NOTFOUND) return std::nullopt;
    check_result(code, key);
    return bytes_of(mdb_value);
  }

  std::uint64_t get_number(MDB_txn* txn, const char* key) const {
    auto bytes = get_meta(txn, key);
    return bytes ? read_number(*bytes) : 0;
  }

  // Deletes the entries from `first` to `last`, both included.
  void erase(MDB_txn* txn, std::uint64_t first, std::uint64_t last) const {
    MDB_cursor* cursor = nullptr;
    check_result(mdb_cursor_open(txn, log, &cursor), "log");
    MDB_val key{sizeof first, &first};
    MDB_val value{};
    int code = mdb_cursor_get(cursor, &key, &value, MDB_SET_RANGE);
    while (code == 0) {
      std::uint64_t index = 0;
      std::memcpy(&index, key.mv_data, sizeof index);
      if (index > last) break;
      code = mdb_cursor_del(cursor, 0);
      if (code == 0) code = mdb_cursor_get(cursor, &key, &value, MDB_GET_CURRENT);
      if (code == EINVAL) code = MDB_NOTFOUND;  // the last entry was deleted
    }
    mdb_cursor_close(cursor);
    if (code != 0 && code != MDB_NOTFOUND) check_result(code, "log");
  }
};

LmdbStore::LmdbStore(const std::string& folder, std::size_t max_bytes, Open open)
    : impl_(std::make_unique<Impl>(folder, max_bytes, open == Open::kRead)) {
  const bool read_only = open == Open::kRead;
  name_folder_in_errors(folder, [&] {
    Transaction txn(impl_->environment.get(), read_only ? MDB_RDONLY : 0);
    const unsigned create = read_only ? 0 : MDB_CREATE;
    check_result(mdb_dbi_open(txn.get(), "meta", create, &impl_->meta), "meta");
    check_result(mdb_dbi_open(txn.get(), "log", create | MDB_INTEGERKEY, &impl_->log), "log");
    const std::uint64_t format = impl_->get_number(txn.get(), kKeyFormat);
    if (format > kFormat)
      throw StoreError("it was written by a newer version (format " + std::to_string(format) + ")", false);
    if (format == 0 && !read_only) impl_->put_number(txn.get(), kKeyFormat, kFormat);
    impl_->has_checksums = format != 1;
    txn.commit();
  });
}

LmdbStore::~LmdbStore() = default;

StoredLog LmdbStore::load() {
  return name_folder_in_errors(impl_->environment.folder(), [this] {
    const Transaction txn(impl_->environment.get(), MDB_RDONLY);
    StoredLog out;
    if (const auto record = impl_->get_record(txn.get(), kKeyOwner)) out.owner = decode_owner(*record);
    out.term = impl_->get_number(txn.get(), kKeyTerm);
    out.vote = impl_->get_number(txn.get(), kKeyVote);
    if (const auto record = impl_->get_record(txn.get(), kKeySnapshot))
      out.snapshot = decode_snapshot(*record);
    std::uint64_t next = 0;
    for_each_record(txn.get(), impl_->log, "log", [&](std::uint64_t index, std::string_view record) {
      if (out.entries.empty()) out.first = next = index;
      if (index != next++) throw StoreError("an entry of the log is missing", false);
      out.entries.push_back(decode_entry(impl_->check_checksum(record, "log")));
    });
    if (out.entries.empty()) out.first = out.snapshot ? out.snapshot->index + 1 : 1;
    return out;
  });
}

void LmdbStore::set_owner(const StoredOwner& owner) {
  impl_->pending_writes.emplace_back(
      [this, owner](MDB_txn* txn) { impl_->put_meta(txn, kKeyOwner, impl_->add_checksum(encode(owner))); });
}

void LmdbStore::set_term(std::uint64_t term) {
  impl_->pending_writes.emplace_back([this, term](MDB_txn* txn) {
    impl_->put_number(txn, kKeyTerm, term);
    impl_->put_number(txn, kKeyVote, 0);
  });
}

void LmdbStore::set_vote(std::uint64_t vote) {
  impl_->pending_writes.emplace_back([this, vote](MDB_txn* txn) { impl_->put_number(txn, kKeyVote, vote); });
}

void LmdbStore::append(std::uint64_t first, std::vector<StoredEntry> entries) {
  impl_->pending_writes.emplace_back([this, first, entries = std::move(entries)](MDB_txn* txn) {
    std::uint64_t index = first;
    for (const StoredEntry& entry : entries) {
      const std::string record = impl_->add_checksum(encode(entry));
      MDB_val key{sizeof index, &index};
      MDB_val value = to_mdb_val(record);
      check_result(mdb_put(txn, impl_->log, &key, &value, 0), "log");
      ++index;
    }
  });
}

void LmdbStore::truncate(std::uint64_t from) {
  impl_->pending_writes.emplace_back([this, from](MDB_txn* txn) { impl_->erase(txn, from, UINT64_MAX); });
}

void LmdbStore::put_snapshot(StoredSnapshot snapshot, std::uint64_t drop_through) {
  impl_->pending_writes.emplace_back([this, snapshot = std::move(snapshot), drop_through](MDB_txn* txn) {
    impl_->put_meta(txn, kKeySnapshot, impl_->add_checksum(encode(snapshot)));
    impl_->erase(txn, 0, drop_through);
  });
}

std::optional<StoredSnapshot> LmdbStore::snapshot() {
  const Transaction txn(impl_->environment.get(), MDB_RDONLY);
  const auto record = impl_->get_record(txn.get(), kKeySnapshot);
  return record ? std::optional(decode_snapshot(*record)) : std::nullopt;
}

bool LmdbStore::has_pending_writes() const { return !impl_->pending_writes.empty(); }

void LmdbStore::commit() {
  if (impl_->pending_writes.empty()) return;
  const auto pending_writes = std::exchange(impl_->pending_writes, {});
  Transaction txn(impl_->environment.get(), 0);
  for (const auto& write : pending_writes) write(txn.get());
  txn.commit();
}

}  // namespace orchidgw::store
