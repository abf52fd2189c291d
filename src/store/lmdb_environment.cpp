#include "store/lmdb_environment.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <utility>

namespace orchidgw::store {
namespace {

constexpr unsigned kFileMode = 0600;
constexpr unsigned kMaxTables = 2;

std::uint64_t checksum_of(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

// Called by LMDB where an assertion fails because a page is invalid; LMDB itself would abort without naming
// the store. No exception may be thrown through LMDB's C code.
void exit_on_damaged_page(MDB_env* env, const char* what) {
  const char* folder = nullptr;
  mdb_env_get_path(env, &folder);
  std::fprintf(stderr, "orchidgw: %s: a page is damaged (%s)\n", folder != nullptr ? folder : "store", what);
  std::_Exit(1);
}

}  // namespace

void check_result(int code, const char* what) {
  if (code == 0) return;
  throw StoreError(std::string(what) + ": " + mdb_strerror(code), code == MDB_MAP_FULL || code == ENOSPC);
}

void append_number(std::string& out, std::uint64_t number) {
  char bytes[sizeof number];
  std::memcpy(bytes, &number, sizeof number);
  out.append(bytes, sizeof number);
}

std::uint64_t read_number(std::string_view& in) {
  std::uint64_t number = 0;
  if (in.size() < sizeof number) throw StoreError("a record is too short", false);
  std::memcpy(&number, in.data(), sizeof number);
  in.remove_prefix(sizeof number);
  return number;
}

std::string read_text(std::string_view& in) {
  const std::uint64_t size = read_number(in);
  if (size > in.size()) throw StoreError("a record is too short", false);
  std::string out(in.substr(0, size));
  in.remove_prefix(size);
  return out;
}

void append_text(std::string& out, std::string_view text) {
  append_number(out, text.size());
  out += text;
}

std::string with_checksum(const std::string& record) {
  std::string out;
  append_number(out, checksum_of(record));
  return out + record;
}

std::string_view without_checksum(std::string_view stored, const char* what) {
  const std::uint64_t checksum = read_number(stored);
  if (checksum != checksum_of(stored)) throw StoreError(std::string(what) + ": a record is damaged", false);
  return stored;
}

Environment::Environment(const std::string& folder, std::size_t max_bytes, bool read_only) : folder_(folder) {
  const auto close_all = [this] {
    if (env_ != nullptr) mdb_env_close(env_);
    if (lock_fd_ >= 0) ::close(lock_fd_);
  };
  const auto fail = [&close_all, &folder](const std::string& why) {
    close_all();
    throw StoreError(folder + ": " + why, false);
  };
  const auto fail_call = [&close_all, &folder](SystemCall call, int error, const std::string& why) {
    close_all();
    const std::string what = folder + ": " + why;
    const SystemCallError cause(call, error, what);
    if (cause.is_transient()) throw StoreUnavailable(what, cause);
    throw StoreError(what, false);
  };
  const std::string file = folder + "/data.mdb";
  if (read_only && ::access(file.c_str(), R_OK) != 0) fail(std::strerror(errno));
  lock_fd_ = ::open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (lock_fd_ < 0) fail_call(SystemCall::kFile, errno, std::strerror(errno));
  // The lock guards against two processes that vote as the same keeper.
  if (::flock(lock_fd_, LOCK_EX | LOCK_NB) != 0)
    fail_call(SystemCall::kLock, errno, "another process has it");
  if (mdb_env_create(&env_) != 0) fail_call(SystemCall::kFile, ENOMEM, "no memory");
  const unsigned flags = MDB_NOTLS | MDB_NOLOCK | (read_only ? MDB_RDONLY : 0U);
  int code = mdb_env_set_maxdbs(env_, kMaxTables);
  if (code == 0) code = mdb_env_set_mapsize(env_, max_bytes);
  if (code == 0) code = mdb_env_set_assert(env_, exit_on_damaged_page);
  if (code == 0) code = mdb_env_open(env_, folder.c_str(), flags, kFileMode);
  if (code > 0) fail_call(SystemCall::kFile, code, mdb_strerror(code));  // LMDB's own codes are negative
  MDB_envinfo info{};
  MDB_stat pages{};
  if (code == 0) code = mdb_env_info(env_, &info);
  if (code == 0) code = mdb_env_stat(env_, &pages);
  if (code != 0) fail(mdb_strerror(code));
  // A page at the end that a transaction allocated and freed was never written, and nothing refers to it: an
  // intact file may be shorter than its page count, and must not be refused. A file may also have been
  // truncated: its pages are memory-mapped, and reading a missing one would kill the process. Extending the
  // file makes missing pages zeros, which LMDB rejects as pages and the checksums reject as records.
  struct stat status {};
  if (::stat(file.c_str(), &status) != 0) fail(std::strerror(errno));
  const std::uint64_t full_size = (info.me_last_pgno + 1) * pages.ms_psize;
  if (static_cast<std::uint64_t>(status.st_size) < full_size &&
      ::truncate(file.c_str(), static_cast<off_t>(full_size)) != 0)
    fail("the file is shorter than its pages, and can't be made longer: " +
         std::string(std::strerror(errno)));
  // Reads LMDB's own list of free pages, which loading does not need and the first commit does: damage in it
  // is reported now and not then.
  try {
    constexpr MDB_dbi kFree = 0;
    const Transaction txn(env_, MDB_RDONLY);
    for_each_record(txn.get(), kFree, "free pages", [](std::uint64_t, std::string_view) {});
  } catch (const StoreError& e) {
    fail(e.what());
  }
}

void for_each_record(MDB_txn* txn, MDB_dbi table, const char* what,
                     const std::function<void(std::uint64_t number, std::string_view record)>& callback) {
  MDB_cursor* cursor = nullptr;
  check_result(mdb_cursor_open(txn, table, &cursor), what);
  const std::unique_ptr<MDB_cursor, void (*)(MDB_cursor*)> cursor_closer(cursor, mdb_cursor_close);
  MDB_val key{};
  MDB_val value{};
  int code = mdb_cursor_get(cursor, &key, &value, MDB_FIRST);
  for (; code == 0; code = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) {
    std::uint64_t number = 0;
    std::memcpy(&number, key.mv_data, sizeof number);
    callback(number, bytes_of(value));
  }
  if (code != MDB_NOTFOUND) check_result(code, what);
}

Environment::~Environment() {
  mdb_env_close(env_);
  ::close(lock_fd_);
}

Transaction::~Transaction() {
  if (txn_ != nullptr) mdb_txn_abort(txn_);
}

void Transaction::commit() { check_result(mdb_txn_commit(std::exchange(txn_, nullptr)), "commit"); }

}  // namespace orchidgw::store
