#include "config/load_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "base/descriptor.h"
#include "base/system_call.h"

namespace orchidgw::config {
namespace {

constexpr int kMaxReads = 5;  // of a file that changes while it is read

[[noreturn]] void fail(const std::string& path, const std::string& why) {
  throw std::runtime_error(path + ": " + why);
}

// Throws SystemCallError for a transient error, for example a lack of descriptors, so that a start or a
// reload is tried again and doesn't fail for good.
[[noreturn]] void throw_system_error(const std::string& path) {
  const SystemCallError error(SystemCall::kFile, errno, path);
  if (error.is_transient()) throw error;
  fail(path, std::strerror(error.code().value()));
}

bool same_file_state(const struct stat& a, const struct stat& b) {
  return a.st_dev == b.st_dev && a.st_ino == b.st_ino && a.st_size == b.st_size &&
         a.st_mtim.tv_sec == b.st_mtim.tv_sec && a.st_mtim.tv_nsec == b.st_mtim.tv_nsec;
}

std::string read_all(const std::string& path, int fd, std::size_t max_bytes) {
  std::string text;
  char bytes[16384];
  while (text.size() <= max_bytes) {
    const ssize_t n = ::read(fd, bytes, sizeof bytes);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) throw_system_error(path);
    if (n == 0) break;
    text.append(bytes, static_cast<std::size_t>(n));
  }
  return text;
}

}  // namespace

std::string load_file(const std::string& path, std::size_t max_bytes) {
  for (int round = 0; round < kMaxReads; ++round) {
    // O_NONBLOCK: opening a named pipe must not block the event loop.
    const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    if (file.get() < 0) throw_system_error(path);
    struct stat before {};
    struct stat after {};
    struct stat at_path {};
    if (::fstat(file.get(), &before) != 0) throw_system_error(path);
    if (!S_ISREG(before.st_mode)) fail(path, "not a plain file");
    std::string text = read_all(path, file.get(), max_bytes);
    if (::fstat(file.get(), &after) != 0) throw_system_error(path);
    if (::stat(path.c_str(), &at_path) != 0) continue;  // the file is just being replaced
    if (same_file_state(before, after) && same_file_state(after, at_path)) return text;
  }
  fail(path, "it changed each time while it was read");
}

std::string load_file_or_pipe(const std::string& path, std::size_t max_bytes) {
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) throw_system_error(path);
  struct stat state {};
  if (::fstat(file.get(), &state) != 0) throw_system_error(path);
  return S_ISFIFO(state.st_mode) ? read_all(path, file.get(), max_bytes) : load_file(path, max_bytes);
}

}  // namespace orchidgw::config
