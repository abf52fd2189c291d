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

constexpr std::size_t kMaxFrameBytes = 64UL * 1024;  // of a request
constexpr int kMaxReadsPerEvent = 8;                 // of one buffer each, lest one client hold up the others
constexpr std::size_t kMaxUnsentBytes = 512UL * 1024;  // of answers: then nothing more is read
constexpr TimeUs kFrameTimeout = 2'000'000;  // from its first byte; the first one from the connection's start
constexpr TimeUs kUnreadTimeout = 5'000'000;  // an answer of which nothing moves: the client is gone
constexpr TimeUs kIdleTimeout = 5'000'000;    // clients close an idle connection after 4 s themselves
constexpr TimeUs kTransitTime = 100'000;      // so long without a byte: none is on the way
constexpr int kMaxInvalidRequests = 8;        // requests of one connection that break the protocol's rules
constexpr TimeUs kUsPerMs = 1000;
constexpr std::size_t kMaxHeldCalls = 32;  // calls of one that is paused
constexpr std::size_t kMaxHeldBytes = 16UL * 1024;
constexpr std::size_t kMaxUnsentRefusalBytes = 64UL * 1024;  // bytes unsent beside kMaxUnsentBytes
constexpr std::size_t kMaxDiscardedBytes = 256UL * 1024;     // of a connection that lingers

std::size_t held_call_size(const thrift::FrontCall& call) {
  return sizeof call + (call.request ? call.request->statement.size() : 0);
}

// The other side has not ended the connection: it may be writing in this moment.
bool is_ended_by_us(ConnectionEnd end) {
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
                                   std::function<bool()> is_ready,
                                   std::function<void(core::ClientId, ConnectionEnd)> on_closed)
    : context_(context),
      id_(id),
      channel_(context.reactor, fd, *this),
      totals_(totals),
      is_ready_(std::move(is_ready)),
      on_closed_(std::move(on_closed)),
      frame_reader_(kMaxFrameBytes),
      output_(context.pool),
      last_activity_at_(monotonic_now()),
      frame_started_at_(last_activity_at_) {
  channel_.want_read(true);
}

void ClientConnection::on_readable() {
  if (lingering_) return discard_input();
  read_available();
  // Guards against a shutdown that waits for clients which always have a request open. Reading goes on: an
  // abort that is not read would let an attempt begin for nobody.
  if (totals_.shutting_down && !paused_ && unanswered_requests() > 0) draining_ = true;
}

void ClientConnection::read_available() {
  for (int i = 0; i < kMaxReadsPerEvent; ++i) {
    if (context_.crowded() || is_output_full()) pause();
    if (!should_read()) return channel_.want_read(false);
    BufferChain in(context_.pool);
    const std::span<char> room = in.room();
    const Moved moved = read_some(channel_.fd(), room);
    if (moved.kind == Moved::Kind::kLater) return;
    if (moved.kind == Moved::Kind::kClosed) return close(ConnectionEnd::kClosedIdle);
    if (moved.kind == Moved::Kind::kReset) return close(ConnectionEnd::kResetUnanswered);
    context_.counters.client_bytes_in += moved.bytes;
    last_activity_at_ = monotonic_now();
    if (!parse_frames({room.data(), moved.bytes})) return close_when_answered(ConnectionEnd::kUnreadable);
    if (!is_open() || closing_end_) return;
    if (!update_buffered_bytes()) return close_when_answered(ConnectionEnd::kTooMuch);
    if (moved.bytes < room.size()) return;
  }
}

// Guards against memory filled with halves of frames: whoever passes the common bound is closed.
bool ClientConnection::update_buffered_bytes() {
  totals_.buffered_bytes -= counted_bytes_;
  counted_bytes_ = frame_reader_.gathered() + held_bytes_;
  totals_.buffered_bytes += counted_bytes_;
  return counted_bytes_ == 0 || totals_.buffered_bytes <= totals_.max_buffered_bytes;
}

bool ClientConnection::parse_frames(std::string_view bytes) {
  while (!bytes.empty()) {
    if (has_sent_message_ && !frame_reader_.inside()) frame_started_at_ = last_activity_at_;
    const auto result = frame_reader_.feed(bytes);
    if (result == thrift::FrameReader::Result::kBroken) return false;
    if (result == thrift::FrameReader::Result::kMore) return true;
    auto call = thrift::read_call(frame_reader_.frame());
    has_sent_message_ = true;
    if (!call) return false;
    handle_call(std::move(*call));
    if (!is_open() || closing_end_) return true;
  }
  return true;
}

// Guards against attempts for a request that its client gave up while nothing of it was read: while a client
// is paused its calls wait here, within bounds, and its aborts go through. A call beyond the bounds is
// refused at once: unread, it would hide an abort behind it.
void ClientConnection::handle_call(thrift::FrontCall call) {
  if (call.kind == thrift::FrontCall::Kind::kAbort) return handle_abort(call.aborted);
  if (!paused_) return dispatch_call(call, Reason::kNone);
  if (!can_hold_more() && reads_for_aborts()) return dispatch_call(call, Reason::kBacklog);
  held_bytes_ += held_call_size(call);
  held_calls_.push_back(std::move(call));
}

void ClientConnection::handle_abort(std::int32_t sequence) {
  if (remove_held_call(sequence)) return;
  mark_answered(sequence);  // nothing is owed any more
  context_.post(core::RequestAborted{id_, sequence});
}

bool ClientConnection::remove_held_call(std::int32_t sequence) {
  const auto it = std::find_if(held_calls_.begin(), held_calls_.end(), [&](const thrift::FrontCall& call) {
    return call.kind == thrift::FrontCall::Kind::kInvoke && call.sequence == sequence;
  });
  if (it == held_calls_.end()) return false;
  held_bytes_ -= held_call_size(*it);
  held_calls_.erase(it);
  return true;
}

bool ClientConnection::can_hold_more() const {
  return held_bytes_ < kMaxHeldBytes && held_calls_.size() < kMaxHeldCalls &&
         totals_.buffered_bytes < totals_.max_buffered_bytes / 2;
}

// Something that was read can still be given up, and its client reads its answers.
bool ClientConnection::reads_for_aborts() const {
  return (catching_up_ || !unanswered_.empty()) && output_.size() < kMaxUnsentBytes + kMaxUnsentRefusalBytes;
}

void ClientConnection::dispatch_call(const thrift::FrontCall& call, Reason refuse_as) {
  using Kind = thrift::FrontCall::Kind;
  if (!call.wants_answer) return;  // an answer to a oneway message would not be understood
  if (call.kind == Kind::kPing) {
    send(thrift::pong(call.sequence, is_ready_()));
  } else if (call.kind == Kind::kInvoke) {
    unanswered_.insert(call.sequence);
    context_.post(core::RequestArrived{id_, call.sequence, call.request, call.why,
                                       draining_ ? Reason::kShutDown : refuse_as});
  } else {
    const auto error = thrift::ApplicationError::kUnknownMethod;
    send(thrift::application_exception(call.name, call.sequence, error, "unknown method"));
    count_invalid_request();
  }
}

void ClientConnection::mark_answered(std::int32_t sequence) {
  const auto it = unanswered_.find(sequence);
  if (it != unanswered_.end()) unanswered_.erase(it);
}

// Guards against a request that was read and is closed without an answer, for what its client said besides.
void ClientConnection::close_when_answered(ConnectionEnd end) {
  if (!is_open() || closing_end_) return;
  closing_end_ = end;
  pause();  // what it says is not read any more; that it leaves is still looked for
  frame_reader_ = thrift::FrameReader(kMaxFrameBytes);
  update_buffered_bytes();
  channel_.want_read(false);
  close_if_answered();
}

void ClientConnection::close_if_answered() {
  const ConnectionEnd end = closing_end_.value_or(ConnectionEnd::kShutDown);
  if (closes_after_answers() && output_.empty() && close_denied(unanswered_requests()) == Denial::kNone)
    close(end);
}

void ClientConnection::answer(core::AnswerServed& served) {
  mark_answered(served.tag);
  std::size_t rows = 0;
  for (const auto& page : served.pages) rows += page ? page->size() : 0;
  output_.append(thrift::served_head(served.tag, rows));
  for (auto& page : served.pages) {
    if (page) output_.append(std::move(static_cast<ChainPayload&>(*page).chain()));
  }
  send(thrift::served_tail());
}

void ClientConnection::answer(const core::AnswerRefused& refused) {
  mark_answered(refused.tag);
  const TimeUs cooldown_ms = (refused.retry_after + kUsPerMs - 1) / kUsPerMs;
  send(thrift::refused(refused.tag, cooldown_ms));
}

void ClientConnection::answer(const core::AnswerFailed& failed) {
  mark_answered(failed.tag);
  send(thrift::failed(failed.tag, failed.why));
  if (failed.unusable) count_invalid_request();
}

void ClientConnection::answer(const core::AnswerRejected& rejected) {
  mark_answered(rejected.tag);
  const auto error = thrift::ApplicationError::kBadSequence;
  send(thrift::application_exception("invoke", rejected.tag, error, rejected.why));
  count_invalid_request();
}

// Guards against clients that send what can't be used again and again, as fast as it is turned away.
void ClientConnection::count_invalid_request() {
  if (++invalid_requests_ >= kMaxInvalidRequests) close_when_answered(ConnectionEnd::kTooMuch);
}

void ClientConnection::send(std::string_view bytes) {
  if (output_.empty()) last_activity_at_ = monotonic_now();
  output_.append(bytes);
  flush();
}

void ClientConnection::flush() {
  std::uint64_t& written = context_.counters.client_bytes_out;
  const std::uint64_t before = written;
  const WritePosition write_position = closes_after_answers() && unanswered_requests() == 0
                                           ? WritePosition::kLast
                                           : WritePosition::kMoreMayFollow;
  if (!write_chain(channel_.fd(), output_, written, write_position))
    return close(ConnectionEnd::kResetMidAnswer);
  if (written != before) last_activity_at_ = monotonic_now();
  channel_.want_write(!output_.empty());
  if (closes_after_answers()) close_if_answered();
  if (is_open() && !closing_end_ && paused_ && !is_output_full()) resume_reading();
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

bool ClientConnection::is_output_full() const { return output_.size() > kMaxUnsentBytes; }

// Guards against memory running out: nothing new is taken, and what is not read stays with the sender.
void ClientConnection::pause() {
  if (std::exchange(paused_, true)) return;
  ++context_.counters.reads_paused;
  ++totals_.paused_clients;
}

void ClientConnection::resume_reading() {
  if (!is_open() || catching_up_ || context_.crowded() || is_output_full()) return;
  catch_up();
  if (!is_open()) return;
  if (!closing_end_ && std::exchange(paused_, false)) --totals_.paused_clients;
  while (!held_calls_.empty() && (!paused_ || closing_end_)) {
    dispatch_call(pop_held_call(), Reason::kNone);
    if (!is_open()) return;
    if (context_.crowded() || is_output_full()) pause();
    if (closing_end_ && (context_.crowded() || is_output_full())) return;
  }
  if (closing_end_) return close_if_answered();
  update_buffered_bytes();
  channel_.want_read(should_read());
}

thrift::FrontCall ClientConnection::pop_held_call() {
  thrift::FrontCall call = std::move(held_calls_.front());
  held_calls_.pop_front();
  held_bytes_ -= held_call_size(call);
  return call;
}

void ClientConnection::refuse_held_calls() {
  while (is_open() && !held_calls_.empty()) dispatch_call(pop_held_call(), Reason::kBacklog);
  if (is_open()) update_buffered_bytes();
}

// Guards against attempts for a call that was held while its abort lay behind what was not read.
void ClientConnection::catch_up() {
  if (held_calls_.empty() || closing_end_ || should_read()) return;
  catching_up_ = true;
  read_available();
  catching_up_ = false;
}

// Guards against clients that hold a descriptor for nothing: silent newcomers, frames that never end (a byte
// now and then does not help them), machines that vanished.
void ClientConnection::sweep(TimeUs now, bool has_open_requests) {
  if (!has_open_requests && idle() && now - last_activity_at_ > kIdleTimeout) {
    if (confirm_quiet()) close(ConnectionEnd::kIdleExpired);
    return;
  }
  const bool frame_overdue = now - frame_started_at_ > kFrameTimeout;
  if (!has_sent_message_ && frame_overdue) {
    if (confirm_quiet()) close(ConnectionEnd::kSilent);
    return;
  }
  if (frame_reader_.inside() && !paused_ && frame_overdue) return close_when_answered(ConnectionEnd::kSilent);
  if (output_.empty() || now - last_activity_at_ <= kUnreadTimeout) return;
  refuse_held_calls();
  if (is_open() && unanswered_requests() == 0) close(ConnectionEnd::kSilent);
}

void ClientConnection::shut_down(TimeUs now, bool force) {
  if (!is_open() || closing_end_) return;
  if (!paused_) on_readable();  // the last look
  if (!is_open() || closing_end_) return;
  const bool rests = !paused_ && unanswered_requests() == 0 && output_.empty() && has_nothing_in_transit(now);
  if (rests || force) close_when_answered(ConnectionEnd::kShutDown);
}

bool ClientConnection::has_nothing_in_transit(TimeUs now) const {
  return now - last_activity_at_ > kTransitTime;
}

// Guards against attempts for a client that left while it was not read.
void ClientConnection::close_if_peer_disconnected() {
  if (paused_ && is_open() && peer_has_closed(channel_.fd())) close(ConnectionEnd::kClosedIdle);
}

// Guards against a request that came in the very moment in which its connection was to be closed: read here,
// it is served; unread, the close would reset it and what was answered before.
bool ClientConnection::confirm_quiet() {
  if (!is_open() || paused_) return false;
  const std::uint64_t before = context_.counters.client_bytes_in;
  on_readable();
  return is_open() && !paused_ && context_.counters.client_bytes_in == before;
}

// Lingering close. Guards against a close over unread bytes: the system answers it with a reset, which takes
// answers with it that the client has not read. So the writing side is ended, and what still comes is read
// and passed on to nobody until the client ends its side, within bounds of time (the owner's) and bytes.
void ClientConnection::discard_input() {
  std::array<char, 4096> into;
  for (int i = 0; i < kMaxReadsPerEvent; ++i) {
    const Moved moved = read_some(channel_.fd(), into);
    if (moved.kind == Moved::Kind::kLater) return;
    discarded_bytes_ += moved.bytes;
    if (moved.kind != Moved::Kind::kBytes || discarded_bytes_ > kMaxDiscardedBytes) {
      context_.reactor.hurry();  // a stop may wait for this
      return end_lingering();
    }
  }
}

void ClientConnection::close(ConnectionEnd end) {
  if (!is_open()) return;
  const std::size_t unanswered = unanswered_requests();
  if (is_ended_by_us(end) && close_denied(unanswered) != Denial::kNone) {
    ++context_.counters.violations[static_cast<std::size_t>(Denial::kAnswerOwed)];
    context_.log.write(log::Level::kError, log::Component::kNet, "client closed with requests unanswered",
                       {{"end", name_of(end)}, {"requests", static_cast<std::int64_t>(unanswered)}});
  } else {
    context_.log.write(log::Level::kDebug, log::Component::kNet, "client closed",
                       {{"end", name_of(end)}, {"requests", static_cast<std::int64_t>(unanswered)}});
  }
  lingering_ = is_ended_by_us(end) && shut_down_writing(channel_.fd());
  if (lingering_) {
    channel_.want_write(false);
    channel_.want_read(true);
  } else {
    channel_.close();
  }
  output_.clear();
  held_calls_.clear();
  held_bytes_ = 0;
  unanswered_.clear();
  totals_.buffered_bytes -= std::exchange(counted_bytes_, 0);
  if (std::exchange(paused_, false)) --totals_.paused_clients;
  on_closed_(id_, end);
}

}  // namespace orchidgw::net
