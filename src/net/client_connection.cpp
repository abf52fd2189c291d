#include "net/client_connection.h"

#include <utility>

#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

using core::ConnectionEnd;

constexpr std::size_t kFrameBytesMost = 64UL * 1024;  // of a request
constexpr int kReadsAtOnce = 8;                    // of one buffer each, lest one client hold up the others
constexpr std::size_t kUnsentMost = 512UL * 1024;  // of answers: then nothing more is read
constexpr TimeUs kFrameWithin = 2'000'000;  // from its first byte; the first one from the connection's start
constexpr TimeUs kUnreadFor = 5'000'000;    // an answer of which nothing moves: the client is gone
constexpr TimeUs kIdleFor = 5'000'000;      // clients close an idle connection after 4 s themselves
constexpr int kUnusableMost = 8;            // requests of one connection that break the protocol's rules
constexpr TimeUs kUsPerMs = 1000;

}  // namespace

ClientConnection::ClientConnection(Context& context, core::ClientId id, int fd, FrameBytes& frame_bytes,
                                   std::function<bool()> ready,
                                   std::function<void(core::ClientId, ConnectionEnd)> closed)
    : context_(context),
      id_(id),
      channel_(context.reactor, fd, *this),
      frame_bytes_(frame_bytes),
      ready_(std::move(ready)),
      closed_(std::move(closed)),
      frames_(kFrameBytesMost),
      out_(context.pool),
      moved_at_(unix_now()),
      frame_begun_at_(moved_at_) {
  channel_.want_read(true);
}

void ClientConnection::on_readable() {
  for (int i = 0; i < kReadsAtOnce; ++i) {
    if (context_.crowded() || is_full()) return pause();
    BufferChain in(context_.pool);
    const std::span<char> room = in.room();
    const Moved moved = read_some(channel_.fd(), room);
    if (moved.kind == Moved::Kind::kLater) return;
    if (moved.kind == Moved::Kind::kClosed) return close(ConnectionEnd::kClosedIdle);
    if (moved.kind == Moved::Kind::kReset) return close(ConnectionEnd::kResetUnanswered);
    context_.counters.client_bytes_in += moved.bytes;
    moved_at_ = unix_now();
    if (!take_frames({room.data(), moved.bytes})) return close(ConnectionEnd::kUnreadable);
    if (!channel_.is_open()) return;
    if (!count_frame_bytes()) return close(ConnectionEnd::kTooMuch);
    if (moved.bytes < room.size()) return;
  }
}

// Guards against memory filled with halves of frames: whoever passes the common bound is closed.
bool ClientConnection::count_frame_bytes() {
  frame_bytes_.held -= frame_counted_;
  frame_counted_ = frames_.gathered();
  frame_bytes_.held += frame_counted_;
  return frame_counted_ == 0 || frame_bytes_.held <= frame_bytes_.most;
}

bool ClientConnection::take_frames(std::string_view bytes) {
  while (!bytes.empty()) {
    if (spoke_ && !frames_.inside()) frame_begun_at_ = moved_at_;
    const auto result = frames_.feed(bytes);
    if (result == thrift::FrameReader::Result::kBroken) return false;
    if (result == thrift::FrameReader::Result::kMore) return true;
    const auto call = thrift::read_call(frames_.frame());
    spoke_ = true;
    if (!call || !take_call(*call)) return false;
    if (!channel_.is_open()) return true;
  }
  return true;
}

bool ClientConnection::take_call(const thrift::FrontCall& call) {
  using Kind = thrift::FrontCall::Kind;
  if (call.kind == Kind::kAbort) {
    context_.post(core::RequestAborted{id_, call.aborted});
    return true;
  }
  if (!call.wants_answer) return true;  // an answer to a oneway message would not be understood
  if (call.kind == Kind::kPing) {
    send(thrift::pong(call.sequence, ready_()));
  } else if (call.kind == Kind::kInvoke) {
    context_.post(core::RequestArrived{id_, call.sequence, call.request, call.why});
  } else {
    const auto error = thrift::ApplicationError::kUnknownMethod;
    send(thrift::application_exception(call.name, call.sequence, error, "unknown method"));
    count_unusable();
  }
  return true;
}

void ClientConnection::answer(core::AnswerServed& served) {
  std::size_t rows = 0;
  for (const auto& page : served.pages) rows += page ? page->size() : 0;
  out_.append(thrift::served_head(served.tag, rows));
  for (auto& page : served.pages) {
    if (page) out_.append(std::move(static_cast<ChainPayload&>(*page).chain()));
  }
  send(thrift::served_tail());
}

void ClientConnection::answer(const core::AnswerRefused& refused) {
  const TimeUs cooldown_ms = (refused.retry_after + kUsPerMs - 1) / kUsPerMs;
  send(thrift::refused(refused.tag, cooldown_ms));
}

void ClientConnection::answer(const core::AnswerFailed& failed) {
  send(thrift::failed(failed.tag, failed.why));
  if (failed.unusable) count_unusable();
}

void ClientConnection::answer(const core::AnswerRejected& rejected) {
  const auto error = thrift::ApplicationError::kBadSequence;
  send(thrift::application_exception("invoke", rejected.tag, error, rejected.why));
  count_unusable();
}

// Guards against clients that send what can't be used again and again, as fast as it is turned away.
void ClientConnection::count_unusable() {
  if (++unusable_ >= kUnusableMost) close(ConnectionEnd::kTooMuch);
}

void ClientConnection::send(std::string_view bytes) {
  if (out_.empty()) moved_at_ = unix_now();
  out_.append(bytes);
  flush();
}

void ClientConnection::flush() {
  std::uint64_t& written = context_.counters.client_bytes_out;
  const std::uint64_t before = written;
  if (!write_chain(channel_.fd(), out_, written)) return close(ConnectionEnd::kResetMidAnswer);
  if (written != before) moved_at_ = unix_now();
  channel_.want_write(!out_.empty());
  if (paused_ && !is_full()) read_on();
}

void ClientConnection::on_writable() { flush(); }

void ClientConnection::on_error() { close(ConnectionEnd::kResetUnanswered); }

void ClientConnection::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("client connection: ") + what);
  close(ConnectionEnd::kUnreadable);
}

bool ClientConnection::is_full() const { return out_.size() > kUnsentMost; }

// Guards against memory running out: what is not read stays with the sender.
void ClientConnection::pause() {
  ++context_.counters.reads_paused;
  paused_ = true;
  channel_.want_read(false);
}

void ClientConnection::read_on() {
  if (context_.crowded() || is_full()) return;
  paused_ = false;
  channel_.want_read(true);
}

// Guards against clients that hold a descriptor for nothing: silent newcomers, frames that never end (a byte
// now and then does not help them), machines that vanished.
void ClientConnection::sweep(TimeUs now, bool has_open_requests) {
  if (!has_open_requests && idle() && now - moved_at_ > kIdleFor) return close(ConnectionEnd::kIdleExpired);
  const bool awaited = !spoke_ || (frames_.inside() && !paused_);
  if (awaited && now - frame_begun_at_ > kFrameWithin) return close(ConnectionEnd::kSilent);
  if (!out_.empty() && now - moved_at_ > kUnreadFor) close(ConnectionEnd::kSilent);
}

void ClientConnection::close(ConnectionEnd end) {
  if (!channel_.is_open()) return;
  channel_.close();
  out_.clear();
  frame_bytes_.held -= std::exchange(frame_counted_, 0);
  closed_(id_, end);
}

}  // namespace orchidgw::net
