#include "log/bounded_output.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace orchidgw::log {
namespace {

// A pipe that poll() reports as writable takes this many bytes without blocking (PIPE_BUF, POSIX).
constexpr std::size_t kMaxWriteBytes = 4096;
constexpr std::size_t kMaxLineLength = std::size_t{16} * 1024;
constexpr int kFinalWaitMs = 500;  // in the destructor, for a reader that is slow but still reads

// Opens a pipe again, non-blocking; -1 if `fd` is no pipe or the call fails. Non-blocking because with two
// writers poll() may report the same free space to both. A separate open file description keeps the flag from
// the other processes that write to the pipe.
int reopen_pipe(int fd) {
  struct stat info {};
  if (::fstat(fd, &info) != 0 || !S_ISFIFO(info.st_mode)) return -1;
  const std::string path = "/proc/self/fd/" + std::to_string(fd);
  return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
}

}  // namespace

BoundedOutput::BoundedOutput(int fd, std::size_t max_bytes) : fd_(fd), max_bytes_(max_bytes) {
  const int own_description = reopen_pipe(fd);
  if (own_description < 0) return;
  fd_ = own_description;
  owns_fd_ = true;
}

BoundedOutput::~BoundedOutput() {
  if (!partial_line_.empty()) buffer_line();
  write_buffered();
  for (std::size_t before = buffered_bytes(); before > 0 && is_writable(kFinalWaitMs);
       before = buffered_bytes()) {
    write_buffered();
    if (buffered_bytes() >= before) break;
  }
  if (owns_fd_) ::close(fd_);
}

bool BoundedOutput::is_writable(int timeout_ms) const {
  pollfd poll_entry{fd_, POLLOUT, 0};
  return ::poll(&poll_entry, 1, timeout_ms) == 1 && (poll_entry.revents & (POLLERR | POLLNVAL)) == 0;
}

int BoundedOutput::sync() {
  write_buffered();
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
    partial_line_.append(part.substr(0, kMaxLineLength - std::min(kMaxLineLength, partial_line_.size())));
    if (end == std::string_view::npos) break;
    partial_line_ += '\n';
    buffer_line();
    rest.remove_prefix(end + 1);
  }
  return n;
}

void BoundedOutput::buffer_line() {
  if (buffered_bytes() + partial_line_.size() > max_bytes_) write_buffered();
  if (buffered_bytes() + partial_line_.size() > max_bytes_) {
    ++dropped_lines_;
  } else {
    buffered_ += partial_line_;
  }
  partial_line_.clear();
}

void BoundedOutput::write_buffered() {
  while (buffered_bytes() > 0 && is_writable(0)) {
    const ssize_t n = ::write(fd_, buffered_.data() + written_, std::min(kMaxWriteBytes, buffered_bytes()));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) break;
    written_ += static_cast<std::size_t>(n);
  }
  if (written_ == buffered_.size()) {
    buffered_.clear();
    written_ = 0;
  } else if (written_ > max_bytes_ / 2) {
    buffered_.erase(0, written_);
    written_ = 0;
  }
  if (buffered_.empty() && dropped_lines_ > reported_lines_) {
    buffered_ =
        "log: " + std::to_string(dropped_lines_ - reported_lines_) + " lines dropped: nobody read them\n";
    reported_lines_ = dropped_lines_;
    write_buffered();
  }
}

}  // namespace orchidgw::log
