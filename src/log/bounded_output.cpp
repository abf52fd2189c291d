#include "log/bounded_output.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace orchidgw::log {
namespace {

// After poll said so, a pipe takes this much without waiting (PIPE_BUF, POSIX).
constexpr std::size_t kAtOnce = 4096;
constexpr std::size_t kLineMost = std::size_t{16} * 1024;
constexpr int kLastWaitMs = 500;  // at the end, for a reader that is slow but there

// A description of our own for a pipe, so that not waiting is set for no other process that writes to it: two
// writers could both be told that there is room.
int open_anew(int fd) {
  struct stat info {};
  if (::fstat(fd, &info) != 0 || !S_ISFIFO(info.st_mode)) return -1;
  const std::string path = "/proc/self/fd/" + std::to_string(fd);
  return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
}

}  // namespace

BoundedOutput::BoundedOutput(int fd, std::size_t most) : fd_(fd), most_(most) {
  const int own = open_anew(fd);
  if (own < 0) return;
  fd_ = own;
  own_fd_ = true;
}

BoundedOutput::~BoundedOutput() {
  if (!line_.empty()) keep_line();
  write_some();
  for (std::size_t before = kept_bytes(); before > 0 && can_write(kLastWaitMs); before = kept_bytes()) {
    write_some();
    if (kept_bytes() >= before) break;
  }
  if (own_fd_) ::close(fd_);
}

bool BoundedOutput::can_write(int wait_ms) const {
  pollfd p{fd_, POLLOUT, 0};
  return ::poll(&p, 1, wait_ms) == 1 && (p.revents & (POLLERR | POLLNVAL)) == 0;
}

int BoundedOutput::sync() {
  write_some();
  return 0;
}

int BoundedOutput::overflow(int c) {
  if (c == traits_type::eof()) return 0;
  const char byte = static_cast<char>(c);
  xsputn(&byte, 1);
  return c;
}

std::streamsize BoundedOutput::xsputn(const char* bytes, std::streamsize n) {
  std::string_view rest(bytes, static_cast<std::size_t>(n));
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    const auto part = rest.substr(0, end);
    line_.append(part.substr(0, kLineMost - std::min(kLineMost, line_.size())));
    if (end == std::string_view::npos) break;
    line_ += '\n';
    keep_line();
    rest.remove_prefix(end + 1);
  }
  return n;
}

void BoundedOutput::keep_line() {
  if (kept_bytes() + line_.size() > most_) write_some();
  if (kept_bytes() + line_.size() > most_) {
    ++dropped_;
  } else {
    kept_ += line_;
  }
  line_.clear();
}

void BoundedOutput::write_some() {
  while (kept_bytes() > 0 && can_write(0)) {
    const ssize_t n = ::write(fd_, kept_.data() + written_, std::min(kAtOnce, kept_bytes()));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    written_ += static_cast<std::size_t>(n);
  }
  if (written_ == kept_.size()) {
    kept_.clear();
    written_ = 0;
  } else if (written_ > most_ / 2) {
    kept_.erase(0, written_);
    written_ = 0;
  }
  if (kept_.empty() && dropped_ > told_) {
    kept_ = "log: " + std::to_string(dropped_ - told_) + " lines dropped: nobody read them\n";
    told_ = dropped_;
    write_some();
  }
}

}  // namespace orchidgw::log
