#include "relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <list>
#include <stdexcept>
#include <utility>
#include <vector>

namespace orchidgw::integration {
namespace {

using Clock = std::chrono::steady_clock;
using Fault = Relay::Fault;

// In one direction; beyond that the relay stops reading, so the sender has to wait.
constexpr std::size_t kMaxQueuedBytes = 4 * 1024 * 1024;

sockaddr_in parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

struct Direction {  // from one descriptor to the other
  int from = -1;
  int to = -1;
  // Chunks, each to be sent at its time or later.
  std::deque<std::pair<Clock::time_point, std::string>> queued;
  std::size_t bytes = 0;
  bool ended = false;  // the sender has closed
};

struct Connection {
  Direction forward, back;
  bool lost_bytes = false;  // kDrop discarded bytes of it
  bool closed = false;
};

void reset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd);
}

bool blocks(Fault fault, bool forward) {
  return fault == Fault::kHold || fault == (forward ? Fault::kHoldForward : Fault::kHoldBackward);
}

void receive_bytes(Direction& direction, Connection& connection, Fault fault, int delay_ms) {
  char bytes[16384];
  while (!direction.ended && direction.bytes < kMaxQueuedBytes) {
    const ssize_t n = ::recv(direction.from, bytes, sizeof bytes, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) {
      direction.ended = true;
      return;
    }
    if (fault == Fault::kDrop) {
      connection.lost_bytes = true;
      continue;
    }
    direction.queued.emplace_back(Clock::now() + std::chrono::milliseconds(delay_ms),
                                  std::string(bytes, static_cast<std::size_t>(n)));
    direction.bytes += static_cast<std::size_t>(n);
  }
}

void send_bytes(Direction& direction, Connection& connection) {
  while (!direction.queued.empty() && direction.queued.front().first <= Clock::now()) {
    std::string& bytes = direction.queued.front().second;
    const ssize_t n = ::send(direction.to, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n < 0) {
      connection.closed = true;
      return;
    }
    direction.bytes -= static_cast<std::size_t>(n);
    bytes.erase(0, static_cast<std::size_t>(n));
    if (bytes.empty()) direction.queued.pop_front();
  }
  if (direction.ended && direction.queued.empty())
    connection.closed = true;  // the close is passed on after all bytes before it
}

std::vector<int> accept_all(int listener) {
  std::vector<int> accepted;
  int fd = -1;
  while ((fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0)
    accepted.push_back(fd);
  return accepted;
}

void connect_to_target(int fd, const std::string& target, std::list<Connection>& connections) {
  const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = parse_address(target);
  if (::connect(out, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    reset(out);
    reset(fd);
    return;
  }
  Connection& connection = connections.emplace_back();
  connection.forward.from = connection.back.to = fd;
  connection.forward.to = connection.back.from = out;
}

}  // namespace

Relay::Relay(std::string target) : target_(std::move(target)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in at = parse_address("127.0.0.1:0");
  socklen_t size = sizeof at;
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(listener_, 64) != 0)
    throw std::runtime_error("relay: cannot listen");
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
  address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  thread_ = std::thread([this] { run(); });
}

Relay::~Relay() {
  stop_ = true;
  thread_.join();
  ::close(listener_);
}

void Relay::run() {
  constexpr int kPollTimeoutMs = 5;  // the longest time until a new fault or a stop takes effect
  std::list<Connection> connections;
  while (!stop_) {
    const Fault before = fault_;
    std::vector<pollfd> polled = {{listener_, POLLIN, 0}};
    for (const Connection& connection : connections) {
      if (!blocks(before, true)) polled.push_back({connection.forward.from, POLLIN, 0});
      if (!blocks(before, false)) polled.push_back({connection.back.from, POLLIN, 0});
    }
    ::poll(polled.data(), polled.size(), kPollTimeoutMs);
    const std::vector<int> accepted = accept_all(listener_);
    // Read after accept, so that a connection opened after a fault was set always gets that fault.
    const Fault fault = fault_;
    for (const int fd : accepted) {
      if (fault == Fault::kReset) {
        reset(fd);
      } else {
        connect_to_target(fd, target_, connections);
      }
    }
    for (Connection& connection : connections) {
      for (const bool forward : {true, false}) {
        Direction& direction = forward ? connection.forward : connection.back;
        if (blocks(fault, forward)) continue;
        receive_bytes(direction, connection, fault, delay_ms_);
        send_bytes(direction, connection);
      }
      if (fault == Fault::kReset || (connection.lost_bytes && fault != Fault::kDrop))
        connection.closed = true;
    }
    for (auto it = connections.begin(); it != connections.end();) {
      if (!it->closed) {
        ++it;
        continue;
      }
      reset(it->forward.from);
      reset(it->back.from);
      it = connections.erase(it);
    }
  }
  for (const Connection& connection : connections)
    reset(connection.forward.from), reset(connection.back.from);
}

}  // namespace orchidgw::integration
