#include "net/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>

#include "base/system_call.h"

namespace orchidgw::net {
namespace {

using core::ConnectionEnd;

constexpr int kListenBacklog = 512;

sockaddr_in system_address(const core::Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
  return out;
}

void enable_option(int fd, int level, int option) {
  const int on = 1;
  setsockopt(fd, level, option, &on, sizeof on);
}

ConnectionEnd connection_end_for(int error) {
  switch (error) {
    case ECONNREFUSED:
      return ConnectionEnd::kRefused;
    case ETIMEDOUT:
      return ConnectionEnd::kConnectTimeout;
    case ECONNRESET:
    case EPIPE:
      return ConnectionEnd::kResetUnsent;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case EAGAIN:
      return ConnectionEnd::kNoDescriptor;
    default:
      return ConnectionEnd::kUnreachable;
  }
}

std::string describe_listener(const core::Address& address) {
  return "listen: " + address.host + ":" + std::to_string(address.port);
}

IoResult to_io_result(ssize_t n) {
  if (n > 0) return {IoResult::Kind::kBytes, static_cast<std::size_t>(n)};
  if (n == 0) return {IoResult::Kind::kClosed, 0};
  if (errno == EAGAIN || errno == EWOULDBLOCK) return {IoResult::Kind::kWouldBlock, 0};
  return {IoResult::Kind::kReset, 0};
}

}  // namespace

IoResult read_some(int fd, std::span<char> buffer) {
  ssize_t n = 0;
  do {
    n = ::recv(fd, buffer.data(), buffer.size(), 0);
  } while (n < 0 && errno == EINTR);
  return to_io_result(n);
}

bool has_input(int fd) {
  pollfd poll_request{fd, POLLIN, 0};
  return ::poll(&poll_request, 1, 0) > 0;
}

bool peer_has_closed(int fd) {
  pollfd poll_request{fd, POLLRDHUP, 0};
  return ::poll(&poll_request, 1, 0) > 0 && (poll_request.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool shut_down_writing(int fd) { return ::shutdown(fd, SHUT_WR) == 0; }

// Guards against a client that reads the last answer and sends again before the end of the connection reaches
// it: the last bytes are held back until writing is shut down, so that both go in one segment.
IoResult write_some(int fd, std::string_view bytes, WritePosition position) {
  const int flags = MSG_NOSIGNAL | (position == WritePosition::kLast ? MSG_MORE : 0);
  ssize_t n = 0;
  do {
    n = ::send(fd, bytes.data(), bytes.size(), flags);
  } while (n < 0 && errno == EINTR);
  if (n == 0) return {IoResult::Kind::kWouldBlock, 0};
  return to_io_result(n);
}

bool write_chain(int fd, BufferChain& chain, std::uint64_t& written, WritePosition position) {
  while (!chain.empty()) {
    const IoResult io_result = write_some(fd, chain.front(), position);
    if (io_result.kind != IoResult::Kind::kBytes) return io_result.kind == IoResult::Kind::kWouldBlock;
    written += io_result.bytes;
    chain.consume(io_result.bytes);
  }
  return true;
}

Descriptor bind_at(const core::Address& address) {
  const std::string description = describe_listener(address);
  Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (socket.get() < 0) throw SystemCallError(SystemCall::kSocket, errno, description);
  enable_option(socket.get(), SOL_SOCKET, SO_REUSEADDR);
  const sockaddr_in at = system_address(address);
  if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
    throw SystemCallError(SystemCall::kBind, errno, description);
  return socket;
}

void listen_on(int fd, const core::Address& address) {
  if (::listen(fd, kListenBacklog) != 0)
    throw SystemCallError(SystemCall::kListen, errno, describe_listener(address));
}

Descriptor listen_at(const core::Address& address) {
  Descriptor socket = bind_at(address);
  listen_on(socket.get(), address);
  return socket;
}

AcceptResult accept_one(int listener) {
  while (true) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      enable_option(fd, IPPROTO_TCP, TCP_NODELAY);
      return {AcceptResult::Kind::kClient, fd};
    }
    switch (classify_error(SystemCall::kAccept, errno)) {
      case ErrorClass::kRetryNow:
        continue;
      case ErrorClass::kRetryLater:
        return {AcceptResult::Kind::kNoResources, -1};
      case ErrorClass::kWouldBlock:
      case ErrorClass::kPermanent:
        return {AcceptResult::Kind::kNonePending, -1};
    }
  }
}

ConnectResult begin_connect(const core::Address& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return {-1, connection_end_for(errno)};
  enable_option(fd, IPPROTO_TCP, TCP_NODELAY);
  const sockaddr_in to = system_address(address);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return {fd, {}};
  if (errno == EINPROGRESS || errno == EINTR) return {fd, {}};
  const ConnectionEnd end = connection_end_for(errno);
  ::close(fd);
  return {-1, end};
}

bool connect_succeeded(int fd, ConnectionEnd& end) {
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
  if (error == 0) return true;
  end = connection_end_for(error);
  return false;
}

}  // namespace orchidgw::net
