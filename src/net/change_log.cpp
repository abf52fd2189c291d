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
constexpr TimeUs kMaxBehindTime = 10'000 * kMs;  // what a log has to tell is in it 7 s later at the latest
constexpr TimeUs kInitialBackoff = 50 * kMs, kMaxBackoff = 250 * kMs;

// A watch falls silent without a sign, and what the log has to tell counts as told meanwhile: hold, grace and
// the first step back together stay below the time in which a drain must be heeded, with a part for the way.
// Guards against sends to engines whose drain the log had for longer, where that time is short.
TimeUs fraction_of(TimeUs grace, TimeUs tenths, TimeUs minimum, TimeUs maximum) {
  return grace <= 0 ? maximum : std::clamp(grace * tenths / 10, minimum, maximum);
}

}  // namespace

ChangeLog::ChangeLog(Context& context, core::Address address, const config::FleetChanges& known,
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

void ChangeLog::post_changes(const config::FleetChanges& changes, bool is_initial_list) {
  bool first = is_initial_list;
  for (const auto& change : changes.changes) {
    // Repeated events do no harm: a number that has been seen is not told again.
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

// The only place that reads the wall clock for a decision: published starts become instants here, once each.
void ChangeLog::set_start_times(std::vector<core::EngineListing>& engines, bool full_list) {
  std::set<EngineId> listed;
  for (core::EngineListing& listing : engines) {
    const EngineId& id = listing.entry.id;
    if (listing.entry.state == EngineState::kGone || !listing.up_since) {
      starts_.forget(id);
      continue;
    }
    listing.entry.started_at = starts_.instant_of(id, *listing.up_since, wall_now(), monotonic_now());
    listed.insert(id);
  }
  if (full_list) starts_.keep_only(listed);
}

void ChangeLog::check(TimeUs now) {
  if (now < next_due()) return;
  if (state_ == State::kClosed) return connect(now);
  end(state_ == State::kConnecting ? ConnectionEnd::kNotUpInTime : ConnectionEnd::kSilent);
}

// Guards against waiting on the old address: it keeps its connections open for a while and tells nothing
// more.
void ChangeLog::change_address(core::Address address, const config::FleetChanges& known) {
  end(ConnectionEnd::kMoved);
  address_ = std::move(address);
  post_changes(known, false);
  last_backoff_ = 0;
  set_due(monotonic_now());
}

void ChangeLog::connect(TimeUs now) {
  const Connecting connecting = begin_connect(address_);
  if (connecting.fd < 0) return end(connecting.end);
  channel_ = std::make_unique<Channel>(context_.reactor, connecting.fd, *this);
  channel_->want_write(true);
  state_ = State::kConnecting;
  set_due(now + connect_timeout_);
}

void ChangeLog::send_watch_request(TimeUs now) {
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
  if (!connect_came_up(channel_->fd(), end_reason)) return end(end_reason);
  channel_->want_read(true);
  send_watch_request(monotonic_now());
}

void ChangeLog::on_error() {
  if (state_ == State::kConnecting) return on_writable();
  on_readable();
}

void ChangeLog::on_readable() {
  BufferChain in(context_.pool);
  const std::span<char> free_space = in.room();
  const Moved io_result = read_some(channel_->fd(), free_space);
  if (io_result.kind == Moved::Kind::kLater) return;
  if (io_result.kind != Moved::Kind::kBytes)
    return end(end_with_incomplete_answer(parser_, io_result.kind == Moved::Kind::kReset));
  context_.counters.change_log_bytes_in += io_result.bytes;
  if (!read_bytes({free_space.data(), io_result.bytes})) end(ConnectionEnd::kUnreadable);
}

// False if what came can't be read.
bool ChangeLog::read_bytes(std::string_view bytes) {
  using Result = http::ResponseParser::Result;
  const Result result =
      parse_answer_bytes(parser_, bytes, [this](std::string_view piece) { body_.append(piece); });
  if (result != Result::kDone) return result == Result::kMore;
  return bytes.empty() && on_complete_answer();
}

// Guards against a log that lost its events and numbers them anew: asked for what comes after a number that
// it will not reach for long, it tells nothing. It is asked for the whole list once it was behind for longer
// than a log that is merely late: that one must not take back what the configuration has told since. The last
// good list stays till then.
bool ChangeLog::detect_log_reset(const config::FleetChanges& changes) {
  if (changes.last == 0 || changes.last >= last_number_) {
    behind_since_ = 0;
    return false;
  }
  const TimeUs now = monotonic_now();
  if (behind_since_ == 0) behind_since_ = now;
  if (now - behind_since_ < kMaxBehindTime) return false;
  context_.log.write(log::Level::kWarn, "change log: it is behind what it told before, listed anew");
  behind_since_ = 0;
  last_number_ = 0;
  return true;
}

bool ChangeLog::on_complete_answer() {
  if (parser_.head().status != 200) return false;
  try {
    const config::FleetChanges changes = config::parse_fleet_changes(body_.text());
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
    send_watch_request(monotonic_now());
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
    context_.closed.push_back(std::shared_ptr<Channel>(std::move(channel_)));
  }
  unsent_.clear();
  body_.clear();
  state_ = State::kClosed;
  set_due(monotonic_now() + next_backoff());
}

// Exponential, with jitter. Guards against a fleet that lost its log at one moment and calls it again in
// step, twenty times a second each for as long as it is down; the most stays short, as its return brings
// drains.
TimeUs ChangeLog::next_backoff() {
  last_backoff_ = last_backoff_ == 0 ? kInitialBackoff : std::min(2 * last_backoff_, max_backoff_);
  return std::uniform_int_distribution<TimeUs>(last_backoff_ / 2, last_backoff_)(jitter_random_);
}

}  // namespace orchidgw::net
