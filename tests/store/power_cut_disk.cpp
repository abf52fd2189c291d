#include "power_cut_disk.h"

#include <fcntl.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace orchidgw::store {
namespace {

DiskRecorder* g_recorder = nullptr;

}  // namespace

// What the replaced functions call; a friend of DiskRecorder.
struct DiskHooks {
  static bool is_recorded(int fd) {
    if (g_recorder == nullptr) return false;
    char path[4096];
    const ssize_t n = ::readlink(("/proc/self/fd/" + std::to_string(fd)).c_str(), path, sizeof path);
    return n > 0 && std::string_view(path, static_cast<std::size_t>(n)).ends_with(g_recorder->suffix_);
  }
  static void record_write(int fd, const void* bytes, std::size_t n, std::int64_t at) {
    if (!is_recorded(fd)) return;
    const bool durable = (::fcntl(fd, F_GETFL) & O_DSYNC) != 0;
    g_recorder->steps_.push_back({DiskStep::Kind::kWrite, durable, static_cast<std::uint64_t>(at),
                                  std::string(static_cast<const char*>(bytes), n)});
  }
  static void record_sync(int fd) {
    if (is_recorded(fd)) g_recorder->steps_.push_back({DiskStep::Kind::kSync, false, 0, {}});
  }
};

DiskRecorder::DiskRecorder(std::string suffix) : suffix_(std::move(suffix)) { g_recorder = this; }

DiskRecorder::~DiskRecorder() { g_recorder = nullptr; }

namespace {

void write_at(std::string& file, std::uint64_t at, std::string_view bytes) {
  if (file.size() < at + bytes.size()) file.resize(at + bytes.size(), '\0');
  std::copy(bytes.begin(), bytes.end(), file.begin() + static_cast<long>(at));
}

}  // namespace

std::string after_power_cut(std::string before, const std::vector<DiskStep>& steps, std::size_t cut,
                            std::mt19937_64& random) {
  // Sectors that are not synced yet: offset and bytes.
  std::vector<std::pair<std::uint64_t, std::string>> unsynced;
  const auto write_unsynced = [&] {
    for (const auto& [at, bytes] : unsynced) write_at(before, at, bytes);
    unsynced.clear();
  };
  for (std::size_t i = 0; i <= cut && i < steps.size(); ++i) {
    const DiskStep& step = steps[i];
    if (step.kind == DiskStep::Kind::kSync) {
      if (i < cut) write_unsynced();
      continue;
    }
    if (step.durable && i < cut) {
      write_at(before, step.at, step.bytes);
      continue;
    }
    for (std::uint64_t at = step.at, end = step.at + step.bytes.size(); at < end;) {
      const std::uint64_t next = std::min<std::uint64_t>(end, (at / kSector + 1) * kSector);
      unsynced.emplace_back(at, step.bytes.substr(at - step.at, next - at));
      at = next;
    }
  }
  // None, some or all of them are written, in any order.
  std::shuffle(unsynced.begin(), unsynced.end(), random);
  unsynced.resize(unsynced.empty() ? 0 : random() % (unsynced.size() + 1));
  write_unsynced();
  return before;
}

}  // namespace orchidgw::store

// Replace the C library's functions, for this program and the libraries that it loads.
extern "C" {

ssize_t pwrite(int fd, const void* bytes, size_t n, off_t at) {
  orchidgw::store::DiskHooks::record_write(fd, bytes, n, at);
  return ::syscall(SYS_pwrite64, fd, bytes, n, at);
}

ssize_t writev(int fd, const iovec* parts, int count) {
  if (orchidgw::store::DiskHooks::is_recorded(fd)) {
    std::int64_t at = ::lseek(fd, 0, SEEK_CUR);
    for (int i = 0; i < count; ++i) {
      orchidgw::store::DiskHooks::record_write(fd, parts[i].iov_base, parts[i].iov_len, at);
      at += static_cast<std::int64_t>(parts[i].iov_len);
    }
  }
  return ::syscall(SYS_writev, fd, parts, count);
}

int fdatasync(int fd) {
  orchidgw::store::DiskHooks::record_sync(fd);
  return static_cast<int>(::syscall(SYS_fdatasync, fd));
}

int fsync(int fd) {
  orchidgw::store::DiskHooks::record_sync(fd);
  return static_cast<int>(::syscall(SYS_fsync, fd));
}
}
