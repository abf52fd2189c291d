#include "net/client_connection.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "decision/permission.h"
#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

using core::ConnectionEnd;

constexpr std::size_t kMaxFrameBytes = 64UL * 1024;  // of a request
// What is read of a client at once, so that none holds up the others or fills the event queue.
constexpr std::size_t kMaxBytesPerEvent = 8 * kBufferBytes;
constexpr std::size_t kMaxCallsPerEvent = 32;  // a client may have as many requests open
constexpr std::size_t kMinCallsPerEvent = 2;
// What is read in a turn, shared by the clients that write.
constexpr std::size_t kBytesPerTurn = 1024UL * 1024;
constexpr std::size_t kCallsPerTurn = 1024;
constexpr std::size_t kBytesReadAtFrameEnd = 512;      // bounds the calls beyond kMaxCallsPerEvent
constexpr std::size_t kMaxUnsentBytes = 512UL * 1024;  // of answers: beyond it the client is paused
// From a frame's first byte; for the first frame from the connection's start.
constexpr TimeUs kFrameTimeout = 2'000'000;
constexpr TimeUs kUnreadTimeout = 5'000'000;  // without progress of an answer: the client is taken for gone
constexpr TimeUs kIdleTimeout = 5'000'000;    // clients themselves close an idle connection after 4 s
constexpr TimeUs kTransitTime = 100'000;      // without a byte for so long, none is on the way
constexpr int kMaxInvalidRequests = 8;        // requests of one connection that break the protocol's rules
constexpr TimeUs kUsPerMs = 1000;
constexpr TimeUs kHeldCallMargin = 200'000;  // held calls are refused this long before their time ends
constexpr std::size_t kMaxHeldCalls = 32;    // of a paused client
constexpr std::size_t kMaxHeldBytes = 16UL * 1024;
constexpr std::size_t kMaxUnsentRefusalBytes = 64UL * 1024;  // unsent bytes in addition to kMaxUnsentBytes
constexpr std::size_t kMaxDiscardedBytes = 256UL * 1024;     // of a lingering connection

std::size_t held_call_size(const thrift::FrontCall& call) {
  return sizeof call + call.name.size() + (call.request ? call.request->statement.size() : 0);
}

// True if the client did not end the connection itself: it may still be writing.
bool is_ended_by_us(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kIdleExpired:
    case ConnectionEnd::kSilent:
    case ConnectionEnd::kUnreadable:
    case ConnectionEnd::kLimitExceeded:
    case ConnectionEnd::kEvicted:
    case ConnectionEnd::kShutDown:
      return true;
    default:
      return false;
  }
}

}  // namespace

ClientConnection::ClientConnection(Context& context, core::ClientId id, int fd, TimeUs connected_since,
                                   ClientTotals& totals, Owner& owner)
    : context_(context),
      id_(id),
      channel_(context.reactor, fd, *this),
      totals_(totals),
      owner_(owner),
      frame_reader_(kMaxFrameBytes),
      output_(context.pool),
      last_activity_at_(monotonic_now()),
      frame_started_at_(last_activity_at_) {
  if (has_input(fd)) unread_since_ = connected_since;
  channel_.want_read(true);
}

void ClientConnection::on_readable() {
  if (lingering_) return discard_input();
  read_available();
  // Guards against a shutdown that waits for clients which always have a request open. Reading goes on: with
  // an abort left unread, an attempt could start for a request that nobody waits for.
  if (totals_.shutting_down && !paused_ && unanswered_requests() > 0) draining_ = true;
}

// Guards against a loop that is held up by clients which send many calls at once: what is answered while they
// are read (pings, unknown methods) is written at once, not call by call.
void ClientConnection::read_available() {
  ++totals_.reads_in_turn;
  defers_writes_ = true;
  read_input();
  defers_writes_ = false;
  if (is_open() && !output_.empty()) flush();
}

void ClientConnection::read_input() {
  if (!unread_since_) unread_since_ = context_.earliest_arrival;
  calls_in_event_ = 0;
  bool connected_checked = false;
  for (std::size_t total = 0; total < max_bytes_per_event() && calls_in_event_ < max_calls_per_event();) {
    if (context_.under_memory_pressure() || is_output_full()) pause();
    if (!should_read()) return watch_input(false);
    BufferChain in(context_.pool);
    const std::span<char> writable_span = in.writable_span().first(
        std::clamp(frame_reader_.missing_bytes(), kBytesReadAtFrameEnd, kBufferBytes));
    const IoResult io_result = read_some(channel_.fd(), writable_span);
    if (io_result.kind == IoResult::Kind::kWouldBlock) return unread_since_.reset();
    if (io_result.kind == IoResult::Kind::kClosed) return close(ConnectionEnd::kClosedIdle);
    if (io_result.kind == IoResult::Kind::kReset) return close(ConnectionEnd::kResetUnanswered);
    context_.counters.client_bytes_in += io_result.bytes;
    total += io_result.bytes;
    last_activity_at_ = monotonic_now();
    // Guards against attempts for a client that has disconnected, where that lies behind bytes not read yet.
    if (io_result.bytes == writable_span.size() && !std::exchange(connected_checked, true) &&
        peer_has_closed(channel_.fd()))
      return close(ConnectionEnd::kClosedIdle);
    if (!parse_frames({writable_span.data(), io_result.bytes}))
      return close_when_answered(ConnectionEnd::kUnreadable);
    if (!is_open() || closing_end_) return;
    update_buffered_bytes();
    if (io_result.bytes < writable_span.size()) return unread_since_.reset();
  }
  if (!has_input(channel_.fd())) unread_since_.reset();
}

std::size_t ClientConnection::max_bytes_per_event() const {
  const std::size_t part = kBytesPerTurn / std::max<std::size_t>(totals_.reads_in_last_turn, 1);
  return std::clamp(part, kBufferBytes, kMaxBytesPerEvent);
}

std::size_t ClientConnection::max_calls_per_event() const {
  const std::size_t part = kCallsPerTurn / std::max<std::size_t>(totals_.reads_in_last_turn, 1);
  return std::clamp(part, kMinCallsPerEvent, kMaxCallsPerEvent);
}

void ClientConnection::watch_input(bool on) {
  if (!on && !unread_since_) unread_since_ = context_.earliest_arrival;
  if (on && !has_input(channel_.fd())) unread_since_.reset();
  channel_.want_read(on);
}

void ClientConnection::count_buffered_bytes() {
  totals_.buffered_bytes -= counted_bytes_;
  counted_bytes_ = frame_reader_.buffered_bytes() + held_bytes_;
  totals_.buffered_bytes += counted_bytes_;
}

// Guards against memory filled with unfinished frames. The client that passes the common bound need not be
// the one that filled it, so the owner chooses whose frame is discarded.
void ClientConnection::update_buffered_bytes() {
  count_buffered_bytes();
  if (totals_.buffered_bytes > totals_.max_buffered_bytes) owner_.on_buffered_bytes_exceeded();
}

// Guards against clients that write slowly, at the cost of one whose frame is larger and has just begun. The
// time on the way counts for each, so that a frame read in this turn is no lighter than a small one before
// it.
std::uint64_t ClientConnection::discard_weight(TimeUs now) const {
  const std::size_t bytes = frame_reader_.buffered_bytes();
  if (bytes <= thrift::kFramePrefixBytes) return 0;
  const TimeUs age = std::max<TimeUs>(now - frame_started_at_, 0) + kTransitTime;
  return (bytes - thrift::kFramePrefixBytes) * static_cast<std::uint64_t>(age);
}

bool ClientConnection::frame_halted(TimeUs now) const {
  return has_nothing_in_transit(now) && !has_input(channel_.fd());
}

void ClientConnection::discard_frame() {
  frame_reader_.discard_body();
  ++context_.counters.frames_discarded;
  count_buffered_bytes();
}

bool ClientConnection::parse_frames(std::string_view bytes) {
  while (!bytes.empty()) {
    if (has_sent_message_ && !frame_reader_.in_frame()) frame_started_at_ = last_activity_at_;
    const auto result = frame_reader_.feed(bytes);
    if (result == thrift::FrameReader::Result::kBroken) return false;
    if (result == thrift::FrameReader::Result::kNeedMore) return true;
    auto call = frame_reader_.body_discarded() ? thrift::read_call_prefix(frame_reader_.frame())
                                               : thrift::read_call(frame_reader_.frame());
    has_sent_message_ = true;
    ++calls_in_event_;
    if (!call) return false;
    handle_call(std::move(*call));
    if (!is_open() || closing_end_) return true;
  }
  return true;
}

// Guards against attempts for a request that its client aborted while nothing was read from it: while a
// client is paused its calls are held here, within bounds, and its aborts are passed on. A call beyond the
// bounds is refused at once: left unread, it would hide an abort behind it.
void ClientConnection::handle_call(thrift::FrontCall call) {
  if (call.kind == thrift::FrontCall::Kind::kAbort) return handle_abort(call.aborted_sequence);
  HeldCall arrived{std::move(call), unread_since_.value_or(context_.earliest_arrival)};
  if (!paused_ || arrived.call.body_discarded) return dispatch_call(arrived, Reason::kNone);
  if (!can_hold_more() && reads_for_aborts()) return dispatch_call(arrived, Reason::kBacklog);
  held_bytes_ += held_call_size(arrived.call);
  held_calls_.push_back(std::move(arrived));
}

void ClientConnection::handle_abort(std::int32_t sequence) {
  if (remove_held_call(sequence)) return;
  mark_answered(sequence);  // an aborted request gets no answer
  context_.post(core::RequestAborted{id_, sequence});
}

bool ClientConnection::remove_held_call(std::int32_t sequence) {
  const auto it = std::find_if(held_calls_.begin(), held_calls_.end(), [&](const HeldCall& held) {
    return held.call.kind == thrift::FrontCall::Kind::kInvoke && held.call.sequence == sequence;
  });
  if (it == held_calls_.end()) return false;
  held_bytes_ -= held_call_size(it->call);
  held_calls_.erase(it);
  return true;
}

bool ClientConnection::can_hold_more() const {
  return held_bytes_ < kMaxHeldBytes && held_calls_.size() < kMaxHeldCalls &&
         totals_.buffered_bytes < totals_.max_buffered_bytes / 2;
}

// There are requests that the client can still abort, and it reads its answers.
bool ClientConnection::reads_for_aborts() const {
  return (catching_up_ || !unanswered_.empty()) && output_.size() < kMaxUnsentBytes + kMaxUnsentRefusalBytes;
}

void ClientConnection::dispatch_call(const HeldCall& held, Reason refusal_reason) {
  using Kind = thrift::FrontCall::Kind;
  const thrift::FrontCall& call = held.call;
  if (!call.wants_answer) return;  // a client would not understand an answer to a oneway message
  if (call.kind == Kind::kPing) {
    send(thrift::pong(call.sequence, owner_.is_ready()));
  } else if (call.kind == Kind::kInvoke) {
    unanswered_.insert(call.sequence);
    context_.post(core::RequestArrived{id_, call.sequence, call.request, call.why,
                                       draining_ ? Reason::kShutDown : refusal_reason, held.arrived_at,
                                       call.body_discarded});
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

// Guards against a request that was read and gets no answer, because of something else that its client sent.
void ClientConnection::close_when_answered(ConnectionEnd end) {
  if (!is_open() || closing_end_) return;
  closing_end_ = end;
  pause();  // nothing more is read; a disconnect is still detected
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
  if (failed.invalid_request) count_invalid_request();
}

void ClientConnection::answer(const core::AnswerRejected& rejected) {
  mark_answered(rejected.tag);
  const auto error = thrift::ApplicationError::kBadSequence;
  send(thrift::application_exception("invoke", rejected.tag, error, rejected.why));
  count_invalid_request();
}

// Guards against clients that repeat invalid requests as fast as these are refused.
void ClientConnection::count_invalid_request() {
  if (++invalid_requests_ >= kMaxInvalidRequests) close_when_answered(ConnectionEnd::kLimitExceeded);
}

void ClientConnection::send(std::string_view bytes) {
  if (output_.empty()) last_activity_at_ = monotonic_now();
  output_.append(bytes);
  if (!defers_writes_) flush();
}

void ClientConnection::flush() {
  ++context_.counters.client_writes;
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

// Guards against memory running out: nothing new is accepted, and what is not read stays with the sender.
void ClientConnection::pause() {
  if (std::exchange(paused_, true)) return;
  ++context_.counters.reads_paused;
  ++totals_.paused_clients;
}

void ClientConnection::resume_reading() {
  if (!is_open() || catching_up_ || context_.under_memory_pressure() || is_output_full()) return;
  has_more_to_catch_up_ = !catch_up();
  if (has_more_to_catch_up_) totals_.catching_up = true;
  if (!is_open() || has_more_to_catch_up_) return;
  if (!closing_end_ && std::exchange(paused_, false)) --totals_.paused_clients;
  while (!held_calls_.empty() && (!paused_ || closing_end_)) {
    dispatch_call(pop_held_call(), Reason::kNone);
    if (!is_open()) return;
    if (context_.under_memory_pressure() || is_output_full()) pause();
    if (closing_end_ && (context_.under_memory_pressure() || is_output_full())) return;
  }
  if (closing_end_) return close_if_answered();
  update_buffered_bytes();
  watch_input(should_read());
}

ClientConnection::HeldCall ClientConnection::pop_held_call() {
  HeldCall held = std::move(held_calls_.front());
  held_calls_.pop_front();
  held_bytes_ -= held_call_size(held.call);
  return held;
}

void ClientConnection::refuse_held_calls() {
  while (is_open() && !held_calls_.empty()) dispatch_call(pop_held_call(), Reason::kBacklog);
  if (is_open()) update_buffered_bytes();
}

// Guards against calls that are held past the time for which their clients wait, while memory is short.
void ClientConnection::refuse_overdue_held_calls(TimeUs now) {
  const auto is_overdue = [&](const HeldCall& held) {
    return held.call.request && held.arrived_at + held.call.request->time_budget - kHeldCallMargin <= now;
  };
  const auto first_overdue = std::stable_partition(held_calls_.begin(), held_calls_.end(),
                                                   [&](const HeldCall& held) { return !is_overdue(held); });
  const std::deque<HeldCall> overdue(std::make_move_iterator(first_overdue),
                                     std::make_move_iterator(held_calls_.end()));
  held_calls_.erase(first_overdue, held_calls_.end());
  for (const HeldCall& held : overdue) {
    held_bytes_ -= held_call_size(held.call);
    dispatch_call(held, Reason::kOutOfTime);
  }
  if (!overdue.empty()) update_buffered_bytes();
}

// Guards against attempts for a held call whose abort arrived during the pause and has not been read.
bool ClientConnection::catch_up() {
  if (held_calls_.empty() || closing_end_ || (should_read() && !has_more_to_catch_up_)) return true;
  const std::uint64_t before = context_.counters.client_bytes_in;
  catching_up_ = true;
  read_available();
  catching_up_ = false;
  const bool progressed = context_.counters.client_bytes_in > before;
  return !is_open() || closing_end_ || !progressed || !has_input(channel_.fd());
}

// Guards against clients that occupy a descriptor to no purpose: new connections that send nothing, frames
// that never end (single bytes now and then do not extend their time), machines that vanished.
void ClientConnection::sweep(TimeUs now, bool has_open_requests) {
  refuse_overdue_held_calls(now);
  if (!has_open_requests && idle() && now - last_activity_at_ > kIdleTimeout) {
    if (confirm_quiet()) close(ConnectionEnd::kIdleExpired);
    return;
  }
  const bool frame_overdue = now - frame_started_at_ > kFrameTimeout;
  if (!has_sent_message_ && frame_overdue) {
    if (confirm_quiet()) close(ConnectionEnd::kSilent);
    return;
  }
  if (frame_reader_.in_frame() && !paused_ && frame_overdue) return end_overdue_frame(now);
  if (output_.empty() || now - last_activity_at_ <= kUnreadTimeout) return;
  refuse_held_calls();
  if (is_open() && unanswered_requests() == 0) close(ConnectionEnd::kSilent);
}

// Guards against closing a client over bytes that wait to be read, as this process was stalled or others are
// read first: its frame may be complete, and what it writes after the close would never be read.
void ClientConnection::end_overdue_frame(TimeUs now) {
  on_readable();
  if (!is_open() || closing_end_ || paused_ || !frame_reader_.in_frame()) return;
  const bool is_same_frame = now - frame_started_at_ > kFrameTimeout;
  if (is_same_frame && !has_input(channel_.fd())) close_when_answered(ConnectionEnd::kSilent);
}

void ClientConnection::shut_down(TimeUs now, bool force) {
  if (!is_open() || closing_end_) return;
  if (!paused_) on_readable();  // reads for the last time
  if (!is_open() || closing_end_) return;
  const bool can_close_now =
      !paused_ && unanswered_requests() == 0 && output_.empty() && has_nothing_in_transit(now);
  if (can_close_now || force) close_when_answered(ConnectionEnd::kShutDown);
}

bool ClientConnection::has_nothing_in_transit(TimeUs now) const {
  return now - last_activity_at_ > kTransitTime;
}

// Guards against attempts for a client that disconnected while nothing was read from it.
void ClientConnection::close_if_peer_disconnected() {
  if (paused_ && is_open() && peer_has_closed(channel_.fd())) close(ConnectionEnd::kClosedIdle);
}

// Guards against losing a request that arrives just as its connection is to be closed: read here, it is
// served; if the connection is closed over it, the kernel resets it, which also discards answers sent before.
bool ClientConnection::confirm_quiet() {
  if (!is_open() || paused_) return false;
  const std::uint64_t before = context_.counters.client_bytes_in;
  on_readable();
  return is_open() && !paused_ && context_.counters.client_bytes_in == before;
}

// Lingering close. Guards against a close over unread bytes: the kernel then sends a reset, which discards
// answers that the client has not read. So the writing side is shut down, and what still arrives is read and
// discarded until the client closes its side, within bounds of time (kept by the owner) and of bytes.
void ClientConnection::discard_input() {
  std::array<char, 4096> into;
  for (std::size_t total = 0; total < kMaxBytesPerEvent; total += into.size()) {
    const IoResult io_result = read_some(channel_.fd(), into);
    if (io_result.kind == IoResult::Kind::kWouldBlock) return;
    discarded_bytes_ += io_result.bytes;
    if (io_result.kind != IoResult::Kind::kBytes || discarded_bytes_ > kMaxDiscardedBytes) {
      context_.reactor.skip_next_wait();  // a shutdown may wait for this
      return end_lingering();
    }
  }
}

void ClientConnection::close(ConnectionEnd end) {
  if (!is_open()) return;
  const std::size_t unanswered = unanswered_requests();
  if (is_ended_by_us(end) && close_denied(unanswered) != Denial::kNone) {
    ++context_.counters.violations[static_cast<std::size_t>(Denial::kAnswerPending)];
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
  owner_.on_client_closed(id_, end);
}

}  // namespace orchidgw::net
