#include "net/peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "net/clock.h"
#include "net/sockets.h"
#include "thrift/fleet_codec.h"

namespace orchidgw::net {
namespace {

constexpr std::size_t kUnsentMost = 2 * thrift::kFleetFrameMost;
constexpr std::size_t kReadAtOnce = 65536;
constexpr int kReadsAtOnce = 8;  // lest one peer hold up the others
constexpr unsigned kUnackedMs = 5'000;

}  // namespace

PeerLink::PeerLink(Context& context, int fd, bool up, std::uint64_t id, Events events)
    : context_(context),
      id_(id),
      events_(std::move(events)),
      channel_(context.reactor, fd, *this),
      up_(up),
      frames_(thrift::kFleetFrameMost),
      opened_at_(monotonic_now()) {
  // Guards against a peer whose machine vanished: without a word the connection would stay for hours.
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnackedMs, sizeof kUnackedMs);
  if (up_) {
    channel_.want_read(true);
  } else {
    channel_.want_write(true);
  }
}

bool PeerLink::send(const fleet::Message& message) {
  if (!is_open()) return false;
  const std::string bytes = thrift::write_fleet(message);
  if (out_.size() - written_ + bytes.size() > kUnsentMost) {
    ++context_.counters.fleet_dropped;
    return false;
  }
  ++context_.counters.fleet_sent;
  out_ += bytes;
  if (up_) flush();
  return true;
}

void PeerLink::came_up() {
  core::ConnectionEnd end = core::ConnectionEnd::kUnreachable;
  if (!connect_came_up(channel_.fd(), end)) return close(core::name_of(end));
  up_ = true;
  channel_.want_read(true);
  flush();
}

void PeerLink::flush() {
  while (written_ < out_.size()) {
    const Moved moved = write_some(channel_.fd(), std::string_view(out_).substr(written_));
    if (moved.kind == Moved::Kind::kLater) break;
    if (moved.kind != Moved::Kind::kBytes) return close("reset");
    written_ += moved.bytes;
    context_.counters.fleet_bytes_out += moved.bytes;
  }
  if (written_ == out_.size()) {
    out_.clear();
    written_ = 0;
  } else if (written_ > out_.size() / 2) {
    out_.erase(0, std::exchange(written_, 0));
  }
  channel_.want_write(!out_.empty());
}

void PeerLink::on_writable() {
  if (!up_) return came_up();
  flush();
}

void PeerLink::on_error() {
  if (!up_) return came_up();
  on_readable();
}

void PeerLink::on_readable() {
  std::array<char, kReadAtOnce> bytes;
  for (int i = 0; i < kReadsAtOnce && is_open(); ++i) {
    const Moved moved = read_some(channel_.fd(), bytes);
    if (moved.kind == Moved::Kind::kLater) return;
    if (moved.kind != Moved::Kind::kBytes)
      return close(moved.kind == Moved::Kind::kReset ? "reset" : "closed");
    context_.counters.fleet_bytes_in += moved.bytes;
    std::string_view rest(bytes.data(), moved.bytes);
    while (!rest.empty() && is_open()) {
      const auto result = frames_.feed(rest);
      if (result == thrift::FrameReader::Result::kBroken) return close("a frame can't be read");
      if (result == thrift::FrameReader::Result::kMore) break;
      auto message = thrift::read_fleet(frames_.frame());
      if (!message) return close("a message can't be read");
      ++context_.counters.fleet_received;
      events_.message(*this, std::move(*message));
    }
    if (moved.bytes < bytes.size()) return;
  }
}

void PeerLink::on_failure(const char* what) { close(what); }

void PeerLink::close(const std::string& why) {
  if (!is_open()) return;
  channel_.close();
  out_.clear();
  written_ = 0;
  events_.closed(*this, why);
}

}  // namespace orchidgw::net
