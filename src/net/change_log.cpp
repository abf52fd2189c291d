#include "net/change_log.h"

#include <algorithm>
#include <exception>
#include <set>
#include <utility>

#include "http/change_log_calls.h"
#include "net/answer_reader.h"
#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

using core::ConnectionEnd;

constexpr TimeUs kMs = 1000;
constexpr TimeUs kMaxPollTimeout = 500 * kMs, kMinPollTimeout = 100 * kMs;
constexpr TimeUs kMaxAnswerGrace = 500 * kMs, kMinAnswerGrace = 50 * kMs;
constexpr TimeUs kMaxBehindTime = 10'000 * kMs;  // an event reaches the log within 7 s
constexpr TimeUs kInitialBackoff = 50 * kMs, kMaxBackoff = 250 * kMs;

// `tenths` tenths of the drain grace, within bounds. A watch can stop answering without an error, and the
// drain grace counts from the moment the log has a drain: poll timeout, answer grace and the first backoff
// together stay below the drain grace, which leaves a part for the network. Guards against queries sent to
// engines whose drain grace is over, where that time is short.
TimeUs fraction_of(TimeUs grace, TimeUs tenths, TimeUs minimum, TimeUs maximum) {
  return grace <= 0 ? maximum : std::clamp(grace * tenths / 10, minimum, maximum);
}

}  // namespace

ChangeLog::ChangeLog(Context& context, core::Address address, const config::EngineListEvents& known,
                     ChangeLogOptions options)
    : context_(context),
      address_(std::move(address)),
      connect_timeout_(options.connect_timeout),
      poll_timeout_(fraction_of(options.rules.drain_grace, 5, kMinPollTimeout, kMaxPollTimeout)),
      answer_grace_(fraction_of(options.rules.drain_grace, 3, kMinAnswerGrace, kMaxAnswerGrace)),
      max_backoff_(fraction_of(options.rules.drain_grace, 3, kInitialBackoff, kMaxBackoff)),
      jitter_random_(static_cast<std::minstd_rand::result_type>(options.seed)),
      starts_(options.rules),
      parser_(options.answer_bytes),
      unsent_(context.pool),
      body_(context.pool) {
  post_changes(known, true);
}

void ChangeLog::post_changes(const config::EngineListEvents& changes, bool is_initial_list) {
  bool first = is_initial_list;
  for (const auto& change : changes.changes) {
    // Events that the log repeats are skipped by their number.
    if (change.number <= last_number_) continue;
    last_number_ = change.number;
    core::EnginesChanged event;
    event.kind = change.complete ? (first ? ListKind::kStored : ListKind::kFull) : ListKind::kDelta;
    event.engines = change.engines;
    set_start_times(event.engines, change.complete);
    first = false;
    context_.post(std::move(event));
  }
  if (changes.last > last_number_) last_number_ = changes.last;
}

// The only place where the wall clock affects a decision: each published start time (wall clock) is converted
// once to the monotonic clock.
void ChangeLog::set_start_times(std::vector<core::EngineListing>& engines, bool full_list) {
  std::set<EngineId> listed;
  for (core::EngineListing& listing : engines) {
    const EngineId& id = listing.entry.id;
    if (listing.entry.state == EngineState::kGone || !listing.up_since) {
      starts_.forget(id);
      continue;
    }
    listing.entry.started_at = starts_.start_time_of(id, *listing.up_since, wall_now(), monotonic_now());
    listed.insert(id);
  }
  if (full_list) starts_.keep_only(listed);
}

void ChangeLog::check(TimeUs now) {
  if (now < next_due()) return;
  if (state_ == State::kClosed) return connect(now);
  end(state_ == State::kConnecting ? ConnectionEnd::kConnectTimeout : ConnectionEnd::kSilent);
}

// Guards against waiting on the old address, which keeps its connections open for a while without sending any
// further events.
void ChangeLog::change_address(core::Address address, const config::EngineListEvents& known) {
  end(ConnectionEnd::kAddressChanged);
  address_ = std::move(address);
  post_changes(known, false);
  last_backoff_ = 0;
  set_due(monotonic_now());
}

void ChangeLog::connect(TimeUs now) {
  const ConnectResult connecting = begin_connect(address_);
  if (connecting.fd < 0) return end(connecting.end);
  channel_ = std::make_unique<Channel>(context_.reactor, connecting.fd, *this);
  channel_->want_write(true);
  state_ = State::kConnecting;
  set_due(now + connect_timeout_);
}

void ChangeLog::send_poll(TimeUs now) {
  state_ = State::kAwaitingAnswer;
  set_due(now + poll_timeout_ + answer_grace_);
  parser_.reset();
  body_.clear();
  unsent_.append(http::write_changes_call(address_, last_number_, poll_timeout_));
  ++context_.counters.change_log_calls;
  flush();
}

void ChangeLog::flush() {
  if (!write_chain(channel_->fd(), unsent_, context_.counters.change_log_bytes_out))
    return end(ConnectionEnd::kResetUnsent);
  channel_->want_write(!unsent_.empty());
}

void ChangeLog::on_writable() {
  if (state_ == State::kAwaitingAnswer) return flush();
  ConnectionEnd end_reason = ConnectionEnd::kUnreachable;
  if (!connect_succeeded(channel_->fd(), end_reason)) return end(end_reason);
  channel_->want_read(true);
  send_poll(monotonic_now());
}

void ChangeLog::on_error() {
  if (state_ == State::kConnecting) return on_writable();
  on_readable();
}

void ChangeLog::on_readable() {
  BufferChain in(context_.pool);
  const std::span<char> free_space = in.writable_span();
  const IoResult io_result = read_some(channel_->fd(), free_space);
  if (io_result.kind == IoResult::Kind::kWouldBlock) return;
  if (io_result.kind != IoResult::Kind::kBytes)
    return end(end_with_incomplete_answer(parser_, io_result.kind == IoResult::Kind::kReset));
  context_.counters.change_log_bytes_in += io_result.bytes;
  if (!read_bytes({free_space.data(), io_result.bytes})) end(ConnectionEnd::kUnreadable);
}

// False if the bytes are not a valid answer.
bool ChangeLog::read_bytes(std::string_view bytes) {
  using Result = http::ResponseParser::Result;
  const Result result =
      parse_answer_bytes(parser_, bytes, [this](std::string_view piece) { body_.append(piece); });
  if (result != Result::kDone) return result == Result::kNeedMore;
  return bytes.empty() && on_complete_answer();
}

// True if the log has lost its events and restarted its numbering; the next poll then requests the full list.
// Guards against waiting for events after a number that such a log will not reach for a long time. The log
// has to be behind for longer than one that is merely late, whose older list must not replace what the
// configuration has told since. The last good list stays in use until then.
bool ChangeLog::detect_log_reset(const config::EngineListEvents& changes) {
  if (changes.last == 0 || changes.last >= last_number_) {
    behind_since_ = 0;
    return false;
  }
  const TimeUs now = monotonic_now();
  if (behind_since_ == 0) behind_since_ = now;
  if (now - behind_since_ < kMaxBehindTime) return false;
  context_.log.write(log::Level::kWarn, "change log: its event numbers went back, requesting the full list");
  behind_since_ = 0;
  last_number_ = 0;
  return true;
}

bool ChangeLog::on_complete_answer() {
  if (parser_.head().status != 200) return false;
  try {
    const config::EngineListEvents changes = config::parse_engine_list_events(body_.text());
    if (detect_log_reset(changes)) return false;
    post_changes(changes, false);
  } catch (const std::exception& e) {
    context_.log.write(log::Level::kWarn, std::string("change log: ") + e.what());
    return false;
  }
  last_backoff_ = 0;
  if (!parser_.head().keep_alive) {
    end(ConnectionEnd::kClosedIdle);
  } else {
    send_poll(monotonic_now());
  }
  return true;
}

void ChangeLog::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("change log: ") + what);
  end(ConnectionEnd::kUnreadable);
}

void ChangeLog::end(ConnectionEnd end) {
  ++context_.counters.change_log_ends[static_cast<std::size_t>(end)];
  context_.log.write(log::Level::kDebug, log::Component::kNet, "change log connection ended",
                     {{"end", name_of(end)}});
  if (channel_) {
    channel_->close();
    context_.pending_destruction.push_back(std::shared_ptr<Channel>(std::move(channel_)));
  }
  unsent_.clear();
  body_.clear();
  state_ = State::kClosed;
  set_due(monotonic_now() + next_backoff());
}

// Exponential, with jitter. Guards against controllers that all lost the log at the same moment and call it
// in step, twenty times a second each, for as long as it is down. The maximum stays short because the log may
// have drains to report when it is back.
TimeUs ChangeLog::next_backoff() {
  last_backoff_ = last_backoff_ == 0 ? kInitialBackoff : std::min(2 * last_backoff_, max_backoff_);
  return std::uniform_int_distribution<TimeUs>(last_backoff_ / 2, last_backoff_)(jitter_random_);
}

}  // namespace orchidgw::net
