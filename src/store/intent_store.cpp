#include "store/intent_store.h"

#include "store/lmdb_environment.h"

namespace orchidgw::store {
namespace {

std::string encode(const Intent& intent) {
  std::string out;
  append_text(out, intent.identity);
  append_text(out, intent.boot);
  append_number(out, static_cast<std::uint64_t>(intent.at));
  append_number(out, static_cast<std::uint64_t>(intent.window));
  return with_checksum(out);
}

Intent decode(std::uint64_t serial, std::string_view stored) {
  std::string_view record = without_checksum(stored, "intents");
  Intent out;
  out.serial = serial;
  out.identity = read_text(record);
  out.boot = read_text(record);
  out.at = static_cast<TimeUs>(read_number(record));
  out.window = static_cast<TimeUs>(read_number(record));
  return out;
}

}  // namespace

struct IntentStore::Impl {
  Impl(const std::string& folder, std::size_t max_bytes) : environment(folder, max_bytes, false) {}
  Environment environment;
  MDB_dbi intents = 0;
};

IntentStore::IntentStore(const std::string& folder, std::size_t max_bytes)
    : impl_(std::make_unique<Impl>(folder, max_bytes)) {
  name_folder_in_errors(folder, [this] {
    Transaction txn(impl_->environment.get(), 0);
    check_result(mdb_dbi_open(txn.get(), "intents", MDB_CREATE | MDB_INTEGERKEY, &impl_->intents), "intents");
    txn.commit();
  });
}

IntentStore::~IntentStore() = default;

std::vector<Intent> IntentStore::load() {
  return name_folder_in_errors(impl_->environment.folder(), [this] {
    std::vector<Intent> out;
    const Transaction txn(impl_->environment.get(), MDB_RDONLY);
    for_each_record(
        txn.get(), impl_->intents, "intents",
        [&out](std::uint64_t serial, std::string_view record) { out.push_back(decode(serial, record)); });
    return out;
  });
}

void IntentStore::commit(const std::vector<Intent>& added, const std::vector<std::uint64_t>& erased) {
  Transaction txn(impl_->environment.get(), 0);
  for (std::uint64_t serial : erased) {
    MDB_val key{sizeof serial, &serial};
    const int code = mdb_del(txn.get(), impl_->intents, &key, nullptr);
    if (code != MDB_NOTFOUND) check_result(code, "intents");
  }
  for (const Intent& intent : added) {
    std::uint64_t serial = intent.serial;
    const std::string record = encode(intent);
    MDB_val key{sizeof serial, &serial};
    MDB_val value = to_mdb_val(record);
    check_result(mdb_put(txn.get(), impl_->intents, &key, &value, 0), "intents");
  }
  txn.commit();
}

}  // namespace orchidgw::store
