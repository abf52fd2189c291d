// What both stores share of LMDB: the file with its lock, transactions, records with their sums. For this
// package alone.
#pragma once

#include <lmdb.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "store/log_store.h"

namespace orchidgw::store {

void check(int code, const char* what);  // throws StoreError where it is none of 0

inline MDB_val value_of(std::string_view bytes) { return {bytes.size(), const_cast<char*>(bytes.data())}; }
inline std::string_view bytes_of(const MDB_val& value) {
  return {static_cast<const char*>(value.mv_data), value.mv_size};
}

// Numbers in eight bytes each, the machine's own order: a store stays with its machine.
void put(std::string& out, std::uint64_t number);
void put_text(std::string& out, std::string_view text);
std::uint64_t take(std::string_view& in);  // throws StoreError where it is too short
std::string take_text(std::string_view& in);

// LMDB has no sums of its own: guards against a disk that gives back other bytes than it took.
std::string with_sum(const std::string& record);
std::string_view without_sum(std::string_view kept, const char* what);  // throws where it is another

// Runs `work`; a StoreError out of it names the folder.
template <typename Work>
auto naming(const std::string& folder, Work work) {
  try {
    return work();
  } catch (const StoreError& e) {
    throw StoreError(folder + ": " + e.what(), e.full());
  }
}

// One folder's file, of this process alone. Throws StoreError naming the folder and the reason.
class Environment {
 public:
  Environment(const std::string& folder, std::size_t bytes_most, bool reads);
  ~Environment();
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;
  MDB_env* get() const { return env_; }
  const std::string& folder() const { return folder_; }

 private:
  std::string folder_;
  MDB_env* env_ = nullptr;
  int lock_ = -1;
};

// Each record of a table with numbers for keys, in their order.
void each_record(MDB_txn* txn, MDB_dbi table, const char* what,
                 const std::function<void(std::uint64_t number, std::string_view record)>& take);

// Given up unless it was committed.
class Transaction {
 public:
  Transaction(MDB_env* env, unsigned flags) { check(mdb_txn_begin(env, nullptr, flags, &txn_), "begin"); }
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  MDB_txn* get() const { return txn_; }
  void commit();

 private:
  MDB_txn* txn_ = nullptr;
};

}  // namespace orchidgw::store
