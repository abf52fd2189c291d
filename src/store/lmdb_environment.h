// LMDB helpers that both stores share: the database file with its lock, transactions, records with checksums.
// Internal to this package.
#pragma once

#include <lmdb.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "store/log_store.h"

namespace orchidgw::store {

// Throws StoreError unless `code` is 0; its text begins with `what`.
void check_result(int code, const char* what);

inline MDB_val to_mdb_val(std::string_view bytes) { return {bytes.size(), const_cast<char*>(bytes.data())}; }
inline std::string_view bytes_of(const MDB_val& value) {
  return {static_cast<const char*>(value.mv_data), value.mv_size};
}

// Encoding of records. A number takes eight bytes in the machine's byte order, so a store can't be moved to
// another kind of machine. A text is its size and its bytes. Reading removes what it read from `in`.
void append_number(std::string& out, std::uint64_t number);
void append_text(std::string& out, std::string_view text);
std::uint64_t read_number(std::string_view& in);  // throws StoreError where `in` is too short
std::string read_text(std::string_view& in);

// LMDB has no checksums of its own: these guard against a disk that returns other bytes than were written.
// `without_checksum` throws StoreError on a mismatch; its text begins with `what`.
std::string with_checksum(const std::string& record);
std::string_view without_checksum(std::string_view stored, const char* what);

// Runs `operation` and returns its result; puts the folder's name before the text of a StoreError.
template <typename Operation>
auto name_folder_in_errors(const std::string& folder, Operation operation) {
  try {
    return operation();
  } catch (const StoreError& e) {
    throw StoreError(folder + ": " + e.what(), e.full());
  }
}

// The open database file of a folder, locked for this process alone. The constructor throws StoreError that
// names the folder and the reason, StoreUnavailable where a retry may succeed.
class Environment {
 public:
  Environment(const std::string& folder, std::size_t max_bytes, bool read_only);
  ~Environment();
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;
  MDB_env* get() const { return env_; }
  const std::string& folder() const { return folder_; }

 private:
  std::string folder_;
  MDB_env* env_ = nullptr;
  int lock_fd_ = -1;
};

// Calls `callback` with each record of a table with numbers for keys, in ascending order.
void for_each_record(MDB_txn* txn, MDB_dbi table, const char* what,
                     const std::function<void(std::uint64_t number, std::string_view record)>& callback);

// Aborted by the destructor unless it was committed.
class Transaction {
 public:
  Transaction(MDB_env* env, unsigned flags) {
    check_result(mdb_txn_begin(env, nullptr, flags, &txn_), "begin");
  }
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  MDB_txn* get() const { return txn_; }
  void commit();

 private:
  MDB_txn* txn_ = nullptr;
};

}  // namespace orchidgw::store
