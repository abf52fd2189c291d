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

constexpr std::size_t kWaitingMost = 4 * 1024 * 1024;  // of bytes one way: then the sender has to wait

sockaddr_in address_at(const std::string& text) {
  const auto colon = text.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

struct Way {  // from one descriptor to the other
  int from = -1;
  int to = -1;
  std::deque<std::pair<Clock::time_point, std::string>> waiting;  // each may pass from then on
  std::size_t bytes = 0;
  bool ended = false;  // no more comes
};

struct Pair {
  Way forward, back;
  bool torn = false;  // bytes were thrown away
  bool dead = false;
};

void reset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd);
}

bool holds(Fault fault, bool forward) {
  return fault == Fault::kHold || fault == (forward ? Fault::kHoldForward : Fault::kHoldBack);
}

void read_in(Way& way, Pair& pair, Fault fault, int delay_ms) {
  char bytes[16384];
  while (!way.ended && way.bytes < kWaitingMost) {
    const ssize_t n = ::recv(way.from, bytes, sizeof bytes, MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) {
      way.ended = true;
      return;
    }
    if (fault == Fault::kDrop) {
      pair.torn = true;
      continue;
    }
    way.waiting.emplace_back(Clock::now() + std::chrono::milliseconds(delay_ms),
                             std::string(bytes, static_cast<std::size_t>(n)));
    way.bytes += static_cast<std::size_t>(n);
  }
}

void write_out(Way& way, Pair& pair) {
  while (!way.waiting.empty() && way.waiting.front().first <= Clock::now()) {
    std::string& bytes = way.waiting.front().second;
    const ssize_t n = ::send(way.to, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n < 0) {
      pair.dead = true;
      return;
    }
    way.bytes -= static_cast<std::size_t>(n);
    bytes.erase(0, static_cast<std::size_t>(n));
    if (bytes.empty()) way.waiting.pop_front();
  }
  if (way.ended && way.waiting.empty()) pair.dead = true;  // an end passes once all before it has
}

std::vector<int> accept_all(int listener) {
  std::vector<int> accepted;
  int fd = -1;
  while ((fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0)
    accepted.push_back(fd);
  return accepted;
}

void connect_through(int fd, const std::string& target, std::list<Pair>& pairs) {
  const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = address_at(target);
  if (::connect(out, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    reset(out);
    reset(fd);
    return;
  }
  Pair& pair = pairs.emplace_back();
  pair.forward.from = pair.back.to = fd;
  pair.forward.to = pair.back.from = out;
}

}  // namespace

Relay::Relay(std::string target) : target_(std::move(target)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in at = address_at("127.0.0.1:0");
  socklen_t size = sizeof at;
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(listener_, 64) != 0)
    throw std::runtime_error("a relay can't listen");
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
  constexpr int kSliceMs = 5;  // a fault is looked at so often
  std::list<Pair> pairs;
  while (!stop_) {
    const Fault before = fault_;
    std::vector<pollfd> polled = {{listener_, POLLIN, 0}};
    for (const Pair& pair : pairs) {
      if (!holds(before, true)) polled.push_back({pair.forward.from, POLLIN, 0});
      if (!holds(before, false)) polled.push_back({pair.back.from, POLLIN, 0});
    }
    ::poll(polled.data(), polled.size(), kSliceMs);
    const std::vector<int> accepted = accept_all(listener_);
    // Read after accept: a connection begun once a fault is set always meets it, whenever the poll began.
    const Fault fault = fault_;
    for (const int fd : accepted) {
      if (fault == Fault::kCut) {
        reset(fd);
      } else {
        connect_through(fd, target_, pairs);
      }
    }
    for (Pair& pair : pairs) {
      for (const bool forward : {true, false}) {
        Way& way = forward ? pair.forward : pair.back;
        if (holds(fault, forward)) continue;
        read_in(way, pair, fault, delay_ms_);
        write_out(way, pair);
      }
      if (fault == Fault::kCut || (pair.torn && fault != Fault::kDrop)) pair.dead = true;
    }
    for (auto it = pairs.begin(); it != pairs.end();) {
      if (!it->dead) {
        ++it;
        continue;
      }
      reset(it->forward.from);
      reset(it->back.from);
      it = pairs.erase(it);
    }
  }
  for (const Pair& pair : pairs) reset(pair.forward.from), reset(pair.back.from);
}

}  // namespace orchidgw::integration
