#include "store/lmdb_store.h"

#include <cstring>
#include <utility>

#include "store/lmdb_environment.h"

namespace orchidgw::store {
namespace {

constexpr std::uint64_t kFormat = 2;  // 1: records without their sums

// Keys of the table "meta"; "log" has the entries by index.
constexpr const char* kKeyFormat = "format";
constexpr const char* kKeyOwner = "owner";
constexpr const char* kKeyTerm = "term";
constexpr const char* kKeyVote = "vote";
constexpr const char* kKeySnapshot = "snapshot";

std::string record_of(const StoredEntry& entry) {
  std::string out;
  put(out, entry.term);
  put(out, entry.type);
  out += entry.data;
  return out;
}

StoredEntry entry_of(std::string_view record) {
  StoredEntry out;
  out.term = take(record);
  out.type = static_cast<std::uint32_t>(take(record));
  out.data = std::string(record);
  return out;
}

std::string record_of(const StoredSnapshot& snapshot) {
  std::string out;
  put(out, snapshot.index);
  put(out, snapshot.term);
  put(out, snapshot.configuration_index);
  put_text(out, snapshot.configuration);
  put_text(out, snapshot.data);
  return out;
}

StoredSnapshot snapshot_of(std::string_view record) {
  StoredSnapshot out;
  out.index = take(record);
  out.term = take(record);
  out.configuration_index = take(record);
  out.configuration = take_text(record);
  out.data = take_text(record);
  return out;
}

std::string record_of(const StoredOwner& owner) {
  std::string out;
  put_text(out, owner.fleet);
  put(out, owner.number);
  put(out, owner.keeper);
  for (const std::uint32_t one : owner.begun) put(out, one);
  return out;
}

StoredOwner owner_of(std::string_view record) {
  StoredOwner out;
  out.fleet = take_text(record);
  out.number = take(record);
  out.keeper = static_cast<std::uint32_t>(take(record));
  while (!record.empty()) out.begun.insert(static_cast<std::uint32_t>(take(record)));
  return out;
}

}  // namespace

struct LmdbStore::Impl {
  Impl(const std::string& folder, std::size_t bytes_most, bool reads)
      : environment(folder, bytes_most, reads) {}

  Environment environment;
  MDB_dbi meta = 0;
  MDB_dbi log = 0;
  bool sums = true;  // records carry them
  std::vector<std::function<void(MDB_txn*)>> asked;

  void put_meta(MDB_txn* txn, const char* key, std::string_view bytes) const {
    MDB_val k = value_of(key);
    MDB_val v = value_of(bytes);
    check(mdb_put(txn, meta, &k, &v, 0), key);
  }

  void put_number(MDB_txn* txn, const char* key, std::uint64_t number) const {
    std::string bytes;
    put(bytes, number);
    put_meta(txn, key, bytes);
  }

  std::string as_kept(const std::string& record) const { return sums ? with_sum(record) : record; }
  std::string_view checked(std::string_view kept, const char* what) const {
    return sums ? without_sum(kept, what) : kept;
  }

  std::optional<std::string_view> get_record(MDB_txn* txn, const char* key) const {
    const auto kept = get_meta(txn, key);
    return kept ? std::optional(checked(*kept, key)) : std::nullopt;
  }

  std::optional<std::string_view> get_meta(MDB_txn* txn, const char* key) const {
    MDB_val k = value_of(key);
    MDB_val v{};
    const int code = mdb_get(txn, meta, &k, &v);
    if (code == MDB_NOTFOUND) return std::nullopt;
    check(code, key);
    return bytes_of(v);
  }

  std::uint64_t get_number(MDB_txn* txn, const char* key) const {
    auto bytes = get_meta(txn, key);
    return bytes ? take(*bytes) : 0;
  }

  // Deletes the entries from `first` up to `last`.
  void erase(MDB_txn* txn, std::uint64_t first, std::uint64_t last) const {
    MDB_cursor* cursor = nullptr;
    check(mdb_cursor_open(txn, log, &cursor), "log");
    MDB_val key{sizeof first, &first};
    MDB_val value{};
    int code = mdb_cursor_get(cursor, &key, &value, MDB_SET_RANGE);
    while (code == 0) {
      std::uint64_t index = 0;
      std::memcpy(&index, key.mv_data, sizeof index);
      if (index > last) break;
      code = mdb_cursor_del(cursor, 0);
      if (code == 0) code = mdb_cursor_get(cursor, &key, &value, MDB_GET_CURRENT);
      if (code == EINVAL) code = MDB_NOTFOUND;  // nothing is behind the last one
    }
    mdb_cursor_close(cursor);
    if (code != 0 && code != MDB_NOTFOUND) check(code, "log");
  }
};

LmdbStore::LmdbStore(const std::string& folder, std::size_t bytes_most, Open open)
    : impl_(std::make_unique<Impl>(folder, bytes_most, open == Open::kRead)) {
  const bool reads = open == Open::kRead;
  naming(folder, [&] {
    Transaction txn(impl_->environment.get(), reads ? MDB_RDONLY : 0);
    const unsigned create = reads ? 0 : MDB_CREATE;
    check(mdb_dbi_open(txn.get(), "meta", create, &impl_->meta), "meta");
    check(mdb_dbi_open(txn.get(), "log", create | MDB_INTEGERKEY, &impl_->log), "log");
    const std::uint64_t format = impl_->get_number(txn.get(), kKeyFormat);
    if (format > kFormat)
      throw StoreError("it was written by a newer version (format " + std::to_string(format) + ")", false);
    if (format == 0 && !reads) impl_->put_number(txn.get(), kKeyFormat, kFormat);
    impl_->sums = format != 1;
    txn.commit();
  });
}

LmdbStore::~LmdbStore() = default;

Stored LmdbStore::load() {
  return naming(impl_->environment.folder(), [this] {
    const Transaction txn(impl_->environment.get(), MDB_RDONLY);
    Stored out;
    if (const auto record = impl_->get_record(txn.get(), kKeyOwner)) out.owner = owner_of(*record);
    out.term = impl_->get_number(txn.get(), kKeyTerm);
    out.vote = impl_->get_number(txn.get(), kKeyVote);
    if (const auto record = impl_->get_record(txn.get(), kKeySnapshot)) out.snapshot = snapshot_of(*record);
    std::uint64_t next = 0;
    each_record(txn.get(), impl_->log, "log", [&](std::uint64_t index, std::string_view record) {
      if (out.entries.empty()) out.first = next = index;
      if (index != next++) throw StoreError("an entry of the log is missing", false);
      out.entries.push_back(entry_of(impl_->checked(record, "log")));
    });
    if (out.entries.empty()) out.first = out.snapshot ? out.snapshot->index + 1 : 1;
    return out;
  });
}

void LmdbStore::set_owner(const StoredOwner& owner) {
  impl_->asked.emplace_back(
      [this, owner](MDB_txn* txn) { impl_->put_meta(txn, kKeyOwner, impl_->as_kept(record_of(owner))); });
}

void LmdbStore::set_term(std::uint64_t term) {
  impl_->asked.emplace_back([this, term](MDB_txn* txn) {
    impl_->put_number(txn, kKeyTerm, term);
    impl_->put_number(txn, kKeyVote, 0);
  });
}

void LmdbStore::set_vote(std::uint64_t vote) {
  impl_->asked.emplace_back([this, vote](MDB_txn* txn) { impl_->put_number(txn, kKeyVote, vote); });
}

void LmdbStore::append(std::uint64_t first, std::vector<StoredEntry> entries) {
  impl_->asked.emplace_back([this, first, entries = std::move(entries)](MDB_txn* txn) {
    std::uint64_t index = first;
    for (const StoredEntry& entry : entries) {
      const std::string record = impl_->as_kept(record_of(entry));
      MDB_val key{sizeof index, &index};
      MDB_val value = value_of(record);
      check(mdb_put(txn, impl_->log, &key, &value, 0), "log");
      ++index;
    }
  });
}

void LmdbStore::truncate(std::uint64_t from) {
  impl_->asked.emplace_back([this, from](MDB_txn* txn) { impl_->erase(txn, from, UINT64_MAX); });
}

void LmdbStore::put_snapshot(StoredSnapshot snapshot, std::uint64_t keep_after) {
  impl_->asked.emplace_back([this, snapshot = std::move(snapshot), keep_after](MDB_txn* txn) {
    impl_->put_meta(txn, kKeySnapshot, impl_->as_kept(record_of(snapshot)));
    impl_->erase(txn, 0, keep_after);
  });
}

std::optional<StoredSnapshot> LmdbStore::snapshot() {
  const Transaction txn(impl_->environment.get(), MDB_RDONLY);
  const auto record = impl_->get_record(txn.get(), kKeySnapshot);
  return record ? std::optional(snapshot_of(*record)) : std::nullopt;
}

bool LmdbStore::waiting() const { return !impl_->asked.empty(); }

void LmdbStore::commit() {
  if (impl_->asked.empty()) return;
  const auto asked = std::exchange(impl_->asked, {});
  Transaction txn(impl_->environment.get(), 0);
  for (const auto& one : asked) one(txn.get());
  txn.commit();
}

}  // namespace orchidgw::store
