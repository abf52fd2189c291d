#include "store/intent_store.h"

#include "store/lmdb_environment.h"

namespace orchidgw::store {
namespace {

std::string record_of(const Intent& one) {
  std::string out;
  put_text(out, one.identity);
  put_text(out, one.boot);
  put(out, static_cast<std::uint64_t>(one.at));
  put(out, static_cast<std::uint64_t>(one.window));
  return with_sum(out);
}

Intent intent_of(std::uint64_t serial, std::string_view kept) {
  std::string_view record = without_sum(kept, "intents");
  Intent out;
  out.serial = serial;
  out.identity = take_text(record);
  out.boot = take_text(record);
  out.at = static_cast<TimeUs>(take(record));
  out.window = static_cast<TimeUs>(take(record));
  return out;
}

}  // namespace

struct IntentStore::Impl {
  Impl(const std::string& folder, std::size_t bytes_most) : environment(folder, bytes_most, false) {}
  Environment environment;
  MDB_dbi intents = 0;
};

IntentStore::IntentStore(const std::string& folder, std::size_t bytes_most)
    : impl_(std::make_unique<Impl>(folder, bytes_most)) {
  naming(folder, [this] {
    Transaction txn(impl_->environment.get(), 0);
    check(mdb_dbi_open(txn.get(), "intents", MDB_CREATE | MDB_INTEGERKEY, &impl_->intents), "intents");
    txn.commit();
  });
}

IntentStore::~IntentStore() = default;

std::vector<Intent> IntentStore::load() {
  return naming(impl_->environment.folder(), [this] {
    std::vector<Intent> out;
    const Transaction txn(impl_->environment.get(), MDB_RDONLY);
    each_record(txn.get(), impl_->intents, "intents", [&out](std::uint64_t serial, std::string_view record) {
      out.push_back(intent_of(serial, record));
    });
    return out;
  });
}

void IntentStore::commit(const std::vector<Intent>& put, const std::vector<std::uint64_t>& erase) {
  Transaction txn(impl_->environment.get(), 0);
  for (std::uint64_t serial : erase) {
    MDB_val key{sizeof serial, &serial};
    const int code = mdb_del(txn.get(), impl_->intents, &key, nullptr);
    if (code != MDB_NOTFOUND) check(code, "intents");
  }
  for (const Intent& one : put) {
    std::uint64_t serial = one.serial;
    const std::string record = record_of(one);
    MDB_val key{sizeof serial, &serial};
    MDB_val value = value_of(record);
    check(mdb_put(txn.get(), impl_->intents, &key, &value, 0), "intents");
  }
  txn.commit();
}

}  // namespace orchidgw::store
