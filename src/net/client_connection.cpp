#include "net/client_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include "decision/permission.h"
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
constexpr TimeUs kSettled = 100'000;        // so long without a byte: none is on the way
constexpr int kUnusableMost = 8;            // requests of one connection that break the protocol's rules
constexpr TimeUs kUsPerMs = 1000;
constexpr std::size_t kHeldMost = 32;  // calls of one that is paused
constexpr std::size_t kHeldBytesMost = 16UL * 1024;
constexpr std::size_t kRefusalsMost = 64UL * 1024;     // bytes unsent beside kUnsentMost
constexpr std::size_t kThrownAwayMost = 256UL * 1024;  // of a connection that lingers

std::size_t held_size(const thrift::FrontCall& call) {
  return sizeof call + (call.request ? call.request->statement.size() : 0);
}

// The other side has not ended the connection: it may be writing in this moment.
bool ended_by_us(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kIdleExpired:
    case ConnectionEnd::kSilent:
    case ConnectionEnd::kUnreadable:
    case ConnectionEnd::kTooMuch:
    case ConnectionEnd::kMadeRoom:
    case ConnectionEnd::kShutDown:
      return true;
    default:
      return false;
  }
}

}  // namespace

ClientConnection::ClientConnection(Context& context, core::ClientId id, int fd, ClientTotals& totals,
                                   std::function<bool()> ready,
                                   std::function<void(core::ClientId, ConnectionEnd)> closed)
    : context_(context),
      id_(id),
      channel_(context.reactor, fd, *this),
      totals_(totals),
      ready_(std::move(ready)),
      closed_(std::move(closed)),
      frames_(kFrameBytesMost),
      out_(context.pool),
      moved_at_(monotonic_now()),
      frame_begun_at_(moved_at_) {
  channel_.want_read(true);
}

void ClientConnection::on_readable() {
  if (lingering_) return throw_away();
  read_what_lies_there();
  // Guards against a shutdown that waits for clients which always have a request open. Reading goes on: an
  // abort that is not read would let an attempt begin for nobody.
  if (totals_.shutting_down && !paused_ && owed() > 0) draining_ = true;
}

void ClientConnection::read_what_lies_there() {
  for (int i = 0; i < kReadsAtOnce; ++i) {
    if (context_.crowded() || is_full()) pause();
    if (!reads_on()) return channel_.want_read(false);
    BufferChain in(context_.pool);
    const std::span<char> room = in.room();
    const Moved moved = read_some(channel_.fd(), room);
    if (moved.kind == Moved::Kind::kLater) return;
    if (moved.kind == Moved::Kind::kClosed) return close(ConnectionEnd::kClosedIdle);
    if (moved.kind == Moved::Kind::kReset) return close(ConnectionEnd::kResetUnanswered);
    context_.counters.client_bytes_in += moved.bytes;
    moved_at_ = monotonic_now();
    if (!take_frames({room.data(), moved.bytes})) return close_when_answered(ConnectionEnd::kUnreadable);
    if (!is_open() || closing_as_) return;
    if (!count_frame_bytes()) return close_when_answered(ConnectionEnd::kTooMuch);
    if (moved.bytes < room.size()) return;
  }
}

// Guards against memory filled with halves of frames: whoever passes the common bound is closed.
bool ClientConnection::count_frame_bytes() {
  totals_.held -= frame_counted_;
  frame_counted_ = frames_.gathered() + held_bytes_;
  totals_.held += frame_counted_;
  return frame_counted_ == 0 || totals_.held <= totals_.most;
}

bool ClientConnection::take_frames(std::string_view bytes) {
  while (!bytes.empty()) {
    if (spoke_ && !frames_.inside()) frame_begun_at_ = moved_at_;
    const auto result = frames_.feed(bytes);
    if (result == thrift::FrameReader::Result::kBroken) return false;
    if (result == thrift::FrameReader::Result::kMore) return true;
    auto call = thrift::read_call(frames_.frame());
    spoke_ = true;
    if (!call) return false;
    take_call(std::move(*call));
    if (!is_open() || closing_as_) return true;
  }
  return true;
}

// Guards against attempts for a request that its client gave up while nothing of it was read: while a client
// is paused its calls wait here, within bounds, and its aborts go through. A call beyond the bounds is
// refused at once: unread, it would hide an abort behind it.
void ClientConnection::take_call(thrift::FrontCall call) {
  if (call.kind == thrift::FrontCall::Kind::kAbort) return take_abort(call.aborted);
  if (!paused_) return act_on(call, Reason::kNone);
  if (!may_hold_more() && listens_for_aborts()) return act_on(call, Reason::kBacklog);
  held_bytes_ += held_size(call);
  held_.push_back(std::move(call));
}

void ClientConnection::take_abort(std::int32_t sequence) {
  if (forget_held(sequence)) return;
  answered(sequence);  // nothing is owed any more
  context_.post(core::RequestAborted{id_, sequence});
}

bool ClientConnection::forget_held(std::int32_t sequence) {
  const auto it = std::find_if(held_.begin(), held_.end(), [&](const thrift::FrontCall& call) {
    return call.kind == thrift::FrontCall::Kind::kInvoke && call.sequence == sequence;
  });
  if (it == held_.end()) return false;
  held_bytes_ -= held_size(*it);
  held_.erase(it);
  return true;
}

bool ClientConnection::may_hold_more() const {
  return held_bytes_ < kHeldBytesMost && held_.size() < kHeldMost && totals_.held < totals_.most / 2;
}

// Something that was read can still be given up, and its client reads its answers.
bool ClientConnection::listens_for_aborts() const {
  return (catching_up_ || !owed_.empty()) && out_.size() < kUnsentMost + kRefusalsMost;
}

void ClientConnection::act_on(const thrift::FrontCall& call, Reason refuse_as) {
  using Kind = thrift::FrontCall::Kind;
  if (!call.wants_answer) return;  // an answer to a oneway message would not be understood
  if (call.kind == Kind::kPing) {
    send(thrift::pong(call.sequence, ready_()));
  } else if (call.kind == Kind::kInvoke) {
    owed_.insert(call.sequence);
    context_.post(core::RequestArrived{id_, call.sequence, call.request, call.why,
                                       draining_ ? Reason::kShutDown : refuse_as});
  } else {
    const auto error = thrift::ApplicationError::kUnknownMethod;
    send(thrift::application_exception(call.name, call.sequence, error, "unknown method"));
    count_unusable();
  }
}

void ClientConnection::answered(std::int32_t sequence) {
  const auto it = owed_.find(sequence);
  if (it != owed_.end()) owed_.erase(it);
}

// Guards against a request that was read and is closed without an answer, for what its client said besides.
void ClientConnection::close_when_answered(ConnectionEnd end) {
  if (!is_open() || closing_as_) return;
  closing_as_ = end;
  pause();  // what it says is not read any more; that it leaves is still looked for
  frames_ = thrift::FrameReader(kFrameBytesMost);
  count_frame_bytes();
  channel_.want_read(false);
  close_if_answered();
}

void ClientConnection::close_if_answered() {
  const ConnectionEnd as = closing_as_.value_or(ConnectionEnd::kShutDown);
  if (closes_behind_answers() && out_.empty() && close_denied(owed()) == Denial::kNone) close(as);
}

void ClientConnection::answer(core::AnswerServed& served) {
  answered(served.tag);
  std::size_t rows = 0;
  for (const auto& page : served.pages) rows += page ? page->size() : 0;
  out_.append(thrift::served_head(served.tag, rows));
  for (auto& page : served.pages) {
    if (page) out_.append(std::move(static_cast<ChainPayload&>(*page).chain()));
  }
  send(thrift::served_tail());
}

void ClientConnection::answer(const core::AnswerRefused& refused) {
  answered(refused.tag);
  const TimeUs cooldown_ms = (refused.retry_after + kUsPerMs - 1) / kUsPerMs;
  send(thrift::refused(refused.tag, cooldown_ms));
}

void ClientConnection::answer(const core::AnswerFailed& failed) {
  answered(failed.tag);
  send(thrift::failed(failed.tag, failed.why));
  if (failed.unusable) count_unusable();
}

void ClientConnection::answer(const core::AnswerRejected& rejected) {
  answered(rejected.tag);
  const auto error = thrift::ApplicationError::kBadSequence;
  send(thrift::application_exception("invoke", rejected.tag, error, rejected.why));
  count_unusable();
}

// Guards against clients that send what can't be used again and again, as fast as it is turned away.
void ClientConnection::count_unusable() {
  if (++unusable_ >= kUnusableMost) close_when_answered(ConnectionEnd::kTooMuch);
}

void ClientConnection::send(std::string_view bytes) {
  if (out_.empty()) moved_at_ = monotonic_now();
  out_.append(bytes);
  flush();
}

void ClientConnection::flush() {
  std::uint64_t& written = context_.counters.client_bytes_out;
  const std::uint64_t before = written;
  const WriteEnd write_end = closes_behind_answers() && owed() == 0 ? WriteEnd::kIsLast : WriteEnd::kMayGoOn;
  if (!write_chain(channel_.fd(), out_, written, write_end)) return close(ConnectionEnd::kResetMidAnswer);
  if (written != before) moved_at_ = monotonic_now();
  channel_.want_write(!out_.empty());
  if (closes_behind_answers()) close_if_answered();
  if (is_open() && !closing_as_ && paused_ && !is_full()) read_on();
}

void ClientConnection::on_writable() {
  if (is_open()) flush();
}

void ClientConnection::on_error() {
  if (lingering_) return end_lingering();
  close(ConnectionEnd::kResetUnanswered);
}

void ClientConnection::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("client connection: ") + what);
  close(ConnectionEnd::kUnreadable);
}

bool ClientConnection::is_full() const { return out_.size() > kUnsentMost; }

// Guards against memory running out: nothing new is taken, and what is not read stays with the sender.
void ClientConnection::pause() {
  if (std::exchange(paused_, true)) return;
  ++context_.counters.reads_paused;
  ++totals_.paused;
}

void ClientConnection::read_on() {
  if (!is_open() || catching_up_ || context_.crowded() || is_full()) return;
  catch_up();
  if (!is_open()) return;
  if (!closing_as_ && std::exchange(paused_, false)) --totals_.paused;
  while (!held_.empty() && (!paused_ || closing_as_)) {
    act_on(take_held(), Reason::kNone);
    if (!is_open()) return;
    if (context_.crowded() || is_full()) pause();
    if (closing_as_ && (context_.crowded() || is_full())) return;
  }
  if (closing_as_) return close_if_answered();
  count_frame_bytes();
  channel_.want_read(reads_on());
}

thrift::FrontCall ClientConnection::take_held() {
  thrift::FrontCall call = std::move(held_.front());
  held_.pop_front();
  held_bytes_ -= held_size(call);
  return call;
}

void ClientConnection::refuse_held() {
  while (is_open() && !held_.empty()) act_on(take_held(), Reason::kBacklog);
  if (is_open()) count_frame_bytes();
}

// Guards against attempts for a call that was held while its abort lay behind what was not read.
void ClientConnection::catch_up() {
  if (held_.empty() || closing_as_ || reads_on()) return;
  catching_up_ = true;
  read_what_lies_there();
  catching_up_ = false;
}

// Guards against clients that hold a descriptor for nothing: silent newcomers, frames that never end (a byte
// now and then does not help them), machines that vanished.
void ClientConnection::sweep(TimeUs now, bool has_open_requests) {
  if (!has_open_requests && idle() && now - moved_at_ > kIdleFor) {
    if (still_quiet()) close(ConnectionEnd::kIdleExpired);
    return;
  }
  const bool late = now - frame_begun_at_ > kFrameWithin;
  if (!spoke_ && late) {
    if (still_quiet()) close(ConnectionEnd::kSilent);
    return;
  }
  if (frames_.inside() && !paused_ && late) return close_when_answered(ConnectionEnd::kSilent);
  if (out_.empty() || now - moved_at_ <= kUnreadFor) return;
  refuse_held();
  if (is_open() && owed() == 0) close(ConnectionEnd::kSilent);
}

void ClientConnection::shut_down(TimeUs now, bool force) {
  if (!is_open() || closing_as_) return;
  if (!paused_) on_readable();  // the last look
  if (!is_open() || closing_as_) return;
  const bool rests = !paused_ && owed() == 0 && out_.empty() && settled(now);
  if (rests || force) close_when_answered(ConnectionEnd::kShutDown);
}

bool ClientConnection::settled(TimeUs now) const { return now - moved_at_ > kSettled; }

// Guards against attempts for a client that left while it was not read.
void ClientConnection::look_if_gone() {
  if (paused_ && is_open() && has_left(channel_.fd())) close(ConnectionEnd::kClosedIdle);
}

// Guards against a request that came in the very moment in which its connection was to be closed: read here,
// it is served; unread, the close would reset it and what was answered before.
bool ClientConnection::still_quiet() {
  if (!is_open() || paused_) return false;
  const std::uint64_t before = context_.counters.client_bytes_in;
  on_readable();
  return is_open() && !paused_ && context_.counters.client_bytes_in == before;
}

// Lingering close. Guards against a close over unread bytes: the system answers it with a reset, which takes
// answers with it that the client has not read. So the writing side is ended, and what still comes is read
// and passed on to nobody until the client ends its side, within bounds of time (the owner's) and bytes.
void ClientConnection::throw_away() {
  std::array<char, 4096> into;
  for (int i = 0; i < kReadsAtOnce; ++i) {
    const Moved moved = read_some(channel_.fd(), into);
    if (moved.kind == Moved::Kind::kLater) return;
    thrown_away_ += moved.bytes;
    if (moved.kind != Moved::Kind::kBytes || thrown_away_ > kThrownAwayMost) {
      context_.reactor.hurry();  // a stop may wait for this
      return end_lingering();
    }
  }
}

void ClientConnection::close(ConnectionEnd end) {
  if (!is_open()) return;
  const std::size_t without_answer = owed();
  if (ended_by_us(end) && close_denied(without_answer) != Denial::kNone) {
    ++context_.counters.violations[static_cast<std::size_t>(Denial::kAnswerOwed)];
    context_.log.write(log::Level::kError, log::Component::kNet, "client closed with requests unanswered",
                       {{"end", name_of(end)}, {"requests", static_cast<std::int64_t>(without_answer)}});
  } else {
    context_.log.write(log::Level::kDebug, log::Component::kNet, "client closed",
                       {{"end", name_of(end)}, {"requests", static_cast<std::int64_t>(without_answer)}});
  }
  lingering_ = ended_by_us(end) && end_writing(channel_.fd());
  if (lingering_) {
    channel_.want_write(false);
    channel_.want_read(true);
  } else {
    channel_.close();
  }
  out_.clear();
  held_.clear();
  held_bytes_ = 0;
  owed_.clear();
  totals_.held -= std::exchange(frame_counted_, 0);
  if (std::exchange(paused_, false)) --totals_.paused;
  closed_(id_, end);
}

}  // namespace orchidgw::net
