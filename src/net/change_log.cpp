#include "net/change_log.h"

#include <algorithm>
#include <exception>
#include <set>
#include <utility>

#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

using core::ConnectionEnd;

constexpr TimeUs kMs = 1000;
constexpr TimeUs kMaxPollTimeout = 500 * kMs, kMinPollTimeout = 100 * kMs;
constexpr TimeUs kMaxAnswerGrace = 500 * kMs, kMinAnswerGrace = 50 * kMs;
constexpr TimeUs kMaxBehindTime = 10'000 * kMs;  // an event reaches the log within 7 s
constexpr TimeUs kMaxAnswerTime =
    7'000 * kMs;  // of an overdue answer; what the log tells counts as told then
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
      bounds_(options.bounds) {
  post_changes(known, true);
}

void ChangeLog::post_changes(const config::EngineListEvents& changes, bool is_initial_list) {
  post_events(changes.changes, is_initial_list);
  last_number_ = std::max(last_number_, changes.last);
}

void ChangeLog::post_events(const std::vector<config::EngineListEvent>& events, bool is_initial_list) {
  bool first = is_initial_list;
  for (const auto& change : events) {
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
  const TimeUs awake_now = now - context_.stalled_time;
  if (overdue_ && awake_now >= overdue_until_) end_overdue(ConnectionEnd::kSilent);
  if (awake_now < due_) return;
  if (!current_) return connect(now);
  if (current_->connecting()) return end_current(ConnectionEnd::kConnectTimeout);
  if (overdue_) return end_current(ConnectionEnd::kSilent);
  keep_as_overdue();
}

// Guards against waiting on the old address, which keeps its connections open for a while without sending any
// further events.
void ChangeLog::change_address(core::Address address) {
  end_overdue(ConnectionEnd::kAddressChanged);
  end_current(ConnectionEnd::kAddressChanged);
  address_ = std::move(address);
  last_backoff_ = 0;
  set_due(monotonic_now());
}

void ChangeLog::close() {
  end_overdue(ConnectionEnd::kShutDown);
  end_current(ConnectionEnd::kShutDown);
}

void ChangeLog::connect(TimeUs now) {
  const ConnectResult connecting = begin_connect(address_);
  if (connecting.fd < 0) return end_current(connecting.end);
  current_ = std::make_unique<ChangeLogConnection>(context_, *this, connecting.fd, address_, bounds_);
  set_due(now + connect_timeout_);
}

void ChangeLog::on_connected(ChangeLogConnection& connection) { send_poll(connection); }

void ChangeLog::send_poll(ChangeLogConnection& connection) {
  const TimeUs now = monotonic_now();
  if (&connection == overdue_.get()) {
    overdue_until_ = now + kMaxAnswerTime - context_.stalled_time;
  } else {
    set_due(now + poll_timeout_ + answer_grace_);
  }
  connection.send_poll(last_number_, poll_timeout_);
}

// The answer is still read if it comes, and the connection goes on as the overdue one: a log that answered
// late once may do so again.
void ChangeLog::keep_as_overdue() {
  ++context_.counters.change_log_overdue;
  context_.log.write(log::Level::kDebug, log::Component::kNet, "change log answer overdue: polling anew");
  overdue_ = std::move(current_);
  overdue_until_ = monotonic_now() + kMaxAnswerTime - context_.stalled_time;
  set_due(monotonic_now() + next_backoff());
}

// True if the log has lost its events and restarted its numbering; the next poll then requests the full list.
// Guards against waiting for events after a number that such a log will not reach for a long time. The log
// has to be behind for longer than one that is merely late, whose older list must not replace what the
// configuration has told since. The last good list stays in use until then.
bool ChangeLog::detect_log_reset(std::uint64_t last, std::uint64_t since) {
  if (last == 0 || last >= since) {
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

void ChangeLog::on_events(ChangeLogConnection& connection) { post_events(take_events(connection), false); }

void ChangeLog::on_answer(ChangeLogConnection& connection, std::uint64_t last) {
  const config::EngineListEvents changes{last, take_events(connection)};
  if (detect_log_reset(last, connection.since())) return on_end(connection, ConnectionEnd::kUnreadable);
  post_changes(changes, false);
  if (&connection == current_.get()) {  // the log answers in time (again)
    last_backoff_ = 0;
    end_overdue(ConnectionEnd::kSilent);
  }
  if (connection.keep_alive()) {
    send_poll(connection);
  } else {
    on_end(connection, ConnectionEnd::kClosedIdle);
  }
}

void ChangeLog::on_invalid_answer(ChangeLogConnection& connection, const std::string& why) {
  context_.log.write(log::Level::kWarn, "change log: " + why);
  on_end(connection, ConnectionEnd::kUnreadable);
}

std::vector<config::EngineListEvent> ChangeLog::take_events(ChangeLogConnection& connection) {
  if (const std::size_t left_out = connection.take_engines_left_out(); left_out > 0) {
    context_.counters.engines_left_out += left_out;
    context_.log.write(log::Level::kWarn, log::Component::kNet, "change log: invalid engines left out",
                       {{"engines", static_cast<std::int64_t>(left_out)}});
  }
  if (const std::size_t bad = connection.take_events_with_bad_fields(); bad > 0) {
    context_.counters.events_with_bad_fields += bad;
    context_.log.write(log::Level::kWarn, log::Component::kNet, "change log: events with bad fields",
                       {{"events", static_cast<std::int64_t>(bad)}});
  }
  return connection.take_events();
}

void ChangeLog::on_end(ChangeLogConnection& connection, ConnectionEnd end) {
  if (&connection == overdue_.get()) return end_overdue(end);
  if (&connection == current_.get()) end_current(end);
}

void ChangeLog::end_current(ConnectionEnd end) {
  discard(std::move(current_), end);
  set_due(monotonic_now() + next_backoff());
}

void ChangeLog::end_overdue(ConnectionEnd end) {
  if (overdue_) discard(std::move(overdue_), end);
}

// `connection` may be null: no connection could be begun.
void ChangeLog::discard(Connection connection, ConnectionEnd end) {
  ++context_.counters.change_log_ends[static_cast<std::size_t>(end)];
  context_.log.write(log::Level::kDebug, log::Component::kNet, "change log connection ended",
                     {{"end", name_of(end)}});
  if (!connection) return;
  // Guards against asking for the same again for ever: an answer that was cut off brings the list forward.
  post_events(take_events(*connection), false);
  connection->close();
  context_.pending_destruction.push_back(std::shared_ptr<ChangeLogConnection>(std::move(connection)));
}

// Exponential, with jitter. Guards against controllers that all lost the log at the same moment and call it
// in step, twenty times a second each, for as long as it is down. The maximum stays short because the log may
// have drains to report when it is back.
TimeUs ChangeLog::next_backoff() {
  last_backoff_ = last_backoff_ == 0 ? kInitialBackoff : std::min(2 * last_backoff_, max_backoff_);
  return std::uniform_int_distribution<TimeUs>(last_backoff_ / 2, last_backoff_)(jitter_random_);
}

}  // namespace orchidgw::net
