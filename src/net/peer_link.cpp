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

constexpr std::size_t kMaxUnsentBytes = 2 * thrift::kMaxFleetFrameBytes;
constexpr std::size_t kReadBytes = 65536;
constexpr int kMaxReadsPerEvent = 8;  // so that one peer can't hold up the others
constexpr unsigned kUnackedTimeoutMs = 5'000;

}  // namespace

PeerLink::PeerLink(Context& context, int fd, bool connected, std::uint64_t id, Events events)
    : context_(context),
      id_(id),
      events_(std::move(events)),
      channel_(context.reactor, fd, *this),
      connected_(connected),
      frames_(thrift::kMaxFleetFrameBytes),
      opened_at_(monotonic_now()) {
  // Guards against a peer whose machine vanished without closing: the connection would stay open for hours.
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnackedTimeoutMs, sizeof kUnackedTimeoutMs);
  if (connected_) {
    channel_.want_read(true);
  } else {
    channel_.want_write(true);
  }
}

bool PeerLink::send(const fleet::Message& message) {
  if (!is_open()) return false;
  const std::string bytes = thrift::encode_fleet_message(message);
  if (unsent_.size() - written_bytes_ + bytes.size() > kMaxUnsentBytes) {
    ++context_.counters.fleet_dropped;
    return false;
  }
  ++context_.counters.fleet_sent;
  unsent_ += bytes;
  if (connected_) flush();
  return true;
}

void PeerLink::on_connected() {
  core::ConnectionEnd end = core::ConnectionEnd::kUnreachable;
  if (!connect_succeeded(channel_.fd(), end)) return close(core::name_of(end));
  connected_ = true;
  channel_.want_read(true);
  flush();
}

void PeerLink::flush() {
  while (written_bytes_ < unsent_.size()) {
    const IoResult io_result = write_some(channel_.fd(), std::string_view(unsent_).substr(written_bytes_));
    if (io_result.kind == IoResult::Kind::kWouldBlock) break;
    if (io_result.kind != IoResult::Kind::kBytes) return close("reset");
    written_bytes_ += io_result.bytes;
    context_.counters.fleet_bytes_out += io_result.bytes;
  }
  if (written_bytes_ == unsent_.size()) {
    unsent_.clear();
    written_bytes_ = 0;
  } else if (written_bytes_ > unsent_.size() / 2) {
    unsent_.erase(0, std::exchange(written_bytes_, 0));
  }
  channel_.want_write(!unsent_.empty());
}

void PeerLink::on_writable() {
  if (!connected_) return on_connected();
  flush();
}

void PeerLink::on_error() {
  if (!connected_) return on_connected();
  on_readable();
}

void PeerLink::on_readable() {
  std::array<char, kReadBytes> bytes;
  for (int i = 0; i < kMaxReadsPerEvent && is_open(); ++i) {
    const IoResult io_result = read_some(channel_.fd(), bytes);
    if (io_result.kind == IoResult::Kind::kWouldBlock) return;
    if (io_result.kind != IoResult::Kind::kBytes)
      return close(io_result.kind == IoResult::Kind::kReset ? "reset" : "closed");
    context_.counters.fleet_bytes_in += io_result.bytes;
    std::string_view unread(bytes.data(), io_result.bytes);
    while (!unread.empty() && is_open()) {
      const auto result = frames_.feed(unread);
      if (result == thrift::FrameReader::Result::kBroken) return close("unreadable frame");
      if (result == thrift::FrameReader::Result::kNeedMore) break;
      auto message = thrift::decode_fleet_message(frames_.frame());
      if (!message) return close("unreadable message");
      ++context_.counters.fleet_received;
      events_.message(*this, std::move(*message));
    }
    if (io_result.bytes < bytes.size()) return;
  }
}

void PeerLink::on_failure(const char* what) { close(what); }

void PeerLink::close(const std::string& why) {
  if (!is_open()) return;
  channel_.close();
  unsent_.clear();
  written_bytes_ = 0;
  events_.closed(*this, why);
}

}  // namespace orchidgw::net
