#include "net/admin_socket.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "admin/admin_command.h"
#include "base/system_call.h"
#include "net/clock.h"

namespace orchidgw::net {
namespace {

constexpr std::size_t kMaxConnections = 4;
constexpr int kListenBacklog = 8;
constexpr TimeUs kLineTimeout = 2'000'000;

[[noreturn]] void throw_error(const std::string& path, const char* why) {
  throw std::runtime_error(path + ": " + why);
}

sockaddr_un socket_address_of(const std::string& path) {
  sockaddr_un socket_address{};
  socket_address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof socket_address.sun_path)
    throw_error(path, "a path of 1 to 107 bytes is required");
  std::memcpy(socket_address.sun_path, path.data(), path.size());
  return socket_address;
}

int connect_to(const std::string& path) {
  const sockaddr_un socket_address = socket_address_of(path);
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) == 0)
    return fd;
  const int error = errno;
  ::close(fd);
  errno = error;
  return -1;
}

// Guards against replacing the socket of a running process, or a file that is not a socket.
void remove_stale_socket(const std::string& path) {
  struct stat info {};
  if (::lstat(path.c_str(), &info) != 0) return;
  if (!S_ISSOCK(info.st_mode)) throw_error(path, "exists and is not a socket");
  const int fd = connect_to(path);
  if (fd >= 0) {
    ::close(fd);
    throw_error(path, "another process listens there");
  }
  const SystemCallError error(SystemCall::kSocket, errno, path);
  if (error.is_transient()) throw error;
  if (errno == ECONNREFUSED) ::unlink(path.c_str());
}

int listen_at_path(const std::string& path) {
  const sockaddr_un socket_address = socket_address_of(path);
  remove_stale_socket(path);
  const int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw SystemCallError(SystemCall::kSocket, errno, path);
  const mode_t previous_mask = ::umask(0177);  // from the start only the owner may open it
  const bool bound =
      ::bind(fd, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) == 0;
  const int bind_error = errno;
  ::umask(previous_mask);
  if (bound && ::listen(fd, kListenBacklog) == 0) return fd;
  const int listen_error = errno;
  ::close(fd);
  if (!bound) throw SystemCallError(SystemCall::kBind, bind_error, path);
  ::unlink(path.c_str());
  throw SystemCallError(SystemCall::kListen, listen_error, path);
}

}  // namespace

class AdminSocket::Connection final : public ChannelHandler {
 public:
  Connection(AdminSocket& owner, int fd)
      : owner_(owner), channel_(owner.context_.reactor, fd, *this), accepted_at_(monotonic_now()) {
    channel_.want_read(true);
  }

  bool has_timed_out(TimeUs now) const { return now - accepted_at_ > kLineTimeout; }
  void close() { channel_.close(); }

  void on_readable() override {
    char bytes[admin::kMaxLineLength];
    const ssize_t n = ::read(channel_.fd(), bytes, sizeof bytes);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) return owner_.remove(this);
    line_.append(bytes, static_cast<std::size_t>(n));
    const auto end = line_.find('\n');
    if (end == std::string::npos && line_.size() < admin::kMaxLineLength) return;
    const std::string answer =
        end == std::string::npos ? "error: the line is too long\n" : owner_.answer_(line_.substr(0, end));
    // A few hundred bytes fit the send buffer of a new connection; if they do not, it is closed unanswered.
    if (::send(channel_.fd(), answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
      owner_.context_.log.write(log::Level::kWarn, "administration: an answer was not taken");
    owner_.remove(this);
  }
  void on_writable() override {}
  void on_error() override { owner_.remove(this); }
  void on_failure(const char* what) override { owner_.on_failure(what); }

 private:
  AdminSocket& owner_;
  Channel channel_;
  TimeUs accepted_at_;
  std::string line_;
};

AdminSocket::AdminSocket(Context& context, const std::string& path, Answer answer)
    : context_(context),
      path_(path),
      answer_(std::move(answer)),
      listener_(context.reactor, listen_at_path(path), *this) {
  listener_.want_read(true);
}

AdminSocket::~AdminSocket() { ::unlink(path_.c_str()); }

void AdminSocket::on_readable() {
  while (true) {
    const int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    if (connections_.size() >= kMaxConnections) {
      ::close(fd);
      continue;
    }
    connections_.push_back(std::make_shared<Connection>(*this, fd));
  }
}

void AdminSocket::check(TimeUs now) {
  for (std::size_t i = connections_.size(); i-- > 0;)
    if (connections_[i]->has_timed_out(now)) remove(connections_[i].get());
}

void AdminSocket::remove(Connection* connection) {
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&](const auto& c) { return c.get() == connection; });
  if (it == connections_.end()) return;
  (*it)->close();
  context_.pending_destruction.push_back(*it);
  connections_.erase(it);
}

void AdminSocket::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("administration: ") + what);
}

std::string ask_admin(const std::string& path, const std::string& line) {
  const int fd = connect_to(path);
  if (fd < 0) throw_error(path, std::strerror(errno));
  const timeval timeout{5, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  std::string answer;
  if (::send(fd, line.data(), line.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(line.size())) {
    char bytes[4096];
    for (ssize_t n = 0; (n = ::read(fd, bytes, sizeof bytes)) > 0;)
      answer.append(bytes, static_cast<std::size_t>(n));
  }
  ::close(fd);
  if (answer.empty()) throw_error(path, "no answer was received");
  return answer;
}

}  // namespace orchidgw::net
