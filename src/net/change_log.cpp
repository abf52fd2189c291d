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
constexpr TimeUs kHoldMost = 500 * kMs, kHoldLeast = 100 * kMs;
constexpr TimeUs kAnswerGraceMost = 500 * kMs, kAnswerGraceLeast = 50 * kMs;
constexpr TimeUs kBehindFor = 10'000 * kMs;  // what a log has to tell is in it 7 s later at the latest
constexpr TimeUs kBackoffFirst = 50 * kMs, kBackoffMost = 250 * kMs;

// A watch falls silent without a sign, and what the log has to tell counts as told meanwhile: hold, grace and
// the first step back together stay below the time in which a drain must be heeded, with a part for the way.
// Guards against sends to engines whose drain the log had for longer, where that time is short.
TimeUs part_of(TimeUs grace, TimeUs tenths, TimeUs least, TimeUs most) {
  return grace <= 0 ? most : std::clamp(grace * tenths / 10, least, most);
}

}  // namespace

ChangeLog::ChangeLog(Context& context, core::Address address, const config::FleetChanges& known,
                     ChangeLogLimits limits)
    : context_(context),
      address_(std::move(address)),
      connect_timeout_(limits.connect_timeout),
      hold_(part_of(limits.rules.drain_grace, 5, kHoldLeast, kHoldMost)),
      answer_grace_(part_of(limits.rules.drain_grace, 3, kAnswerGraceLeast, kAnswerGraceMost)),
      backoff_most_(part_of(limits.rules.drain_grace, 3, kBackoffFirst, kBackoffMost)),
      jitter_(static_cast<std::minstd_rand::result_type>(limits.seed)),
      starts_(limits.rules),
      parser_(limits.answer_bytes),
      out_(context.pool),
      body_(context.pool) {
  tell(known, true);
}

void ChangeLog::tell(const config::FleetChanges& changes, bool start) {
  bool first = start;
  for (const auto& change : changes.changes) {
    // Repeated events do no harm: a number that has been seen is not told again.
    if (change.number <= last_) continue;
    last_ = change.number;
    core::EnginesChanged event;
    event.kind = change.complete ? (first ? ListKind::kStored : ListKind::kFull) : ListKind::kDelta;
    event.engines = change.engines;
    set_starts(event.engines, change.complete);
    first = false;
    context_.post(std::move(event));
  }
  if (changes.last > last_) last_ = changes.last;
}

// The only place that reads the wall clock for a decision: published starts become instants here, once each.
void ChangeLog::set_starts(std::vector<core::EngineListing>& engines, bool whole_list) {
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
  if (whole_list) starts_.keep_only(listed);
}

void ChangeLog::check(TimeUs now) {
  if (now < next_due()) return;
  if (state_ == State::kClosed) return connect(now);
  end(state_ == State::kConnecting ? ConnectionEnd::kNotUpInTime : ConnectionEnd::kSilent);
}

// Guards against waiting on the old address: it keeps its connections open for a while and tells nothing
// more.
void ChangeLog::move_to(core::Address address, const config::FleetChanges& known) {
  end(ConnectionEnd::kMoved);
  address_ = std::move(address);
  tell(known, false);
  backoff_ = 0;
  set_due(monotonic_now());
}

void ChangeLog::connect(TimeUs now) {
  const Connecting begun = begin_connect(address_);
  if (begun.fd < 0) return end(begun.end);
  channel_ = std::make_unique<Channel>(context_.reactor, begun.fd, *this);
  channel_->want_write(true);
  state_ = State::kConnecting;
  set_due(now + connect_timeout_);
}

void ChangeLog::ask(TimeUs now) {
  state_ = State::kAsking;
  set_due(now + hold_ + answer_grace_);
  parser_.reset();
  body_.clear();
  out_.append(http::write_changes_call(address_, last_, hold_));
  ++context_.counters.change_log_calls;
  flush();
}

void ChangeLog::flush() {
  if (!write_chain(channel_->fd(), out_, context_.counters.change_log_bytes_out))
    return end(ConnectionEnd::kResetUnsent);
  channel_->want_write(!out_.empty());
}

void ChangeLog::on_writable() {
  if (state_ == State::kAsking) return flush();
  ConnectionEnd why = ConnectionEnd::kUnreachable;
  if (!connect_came_up(channel_->fd(), why)) return end(why);
  channel_->want_read(true);
  ask(monotonic_now());
}

void ChangeLog::on_error() {
  if (state_ == State::kConnecting) return on_writable();
  on_readable();
}

void ChangeLog::on_readable() {
  BufferChain in(context_.pool);
  const std::span<char> room = in.room();
  const Moved moved = read_some(channel_->fd(), room);
  if (moved.kind == Moved::Kind::kLater) return;
  if (moved.kind != Moved::Kind::kBytes)
    return end(end_before_whole_answer(parser_, moved.kind == Moved::Kind::kReset));
  context_.counters.change_log_bytes_in += moved.bytes;
  if (!read_bytes({room.data(), moved.bytes})) end(ConnectionEnd::kUnreadable);
}

// False if what came can't be read.
bool ChangeLog::read_bytes(std::string_view bytes) {
  using Result = http::ResponseParser::Result;
  const Result result =
      read_answer_bytes(parser_, bytes, [this](std::string_view piece) { body_.append(piece); });
  if (result != Result::kDone) return result == Result::kMore;
  return bytes.empty() && answer_is_whole();
}

// Guards against a log that lost its events and numbers them anew: asked for what comes after a number that
// it will not reach for long, it tells nothing. It is asked for the whole list once it was behind for longer
// than a log that is merely late: that one must not take back what the configuration has told since. The last
// good list stays till then.
bool ChangeLog::went_back(const config::FleetChanges& changes) {
  if (changes.last == 0 || changes.last >= last_) {
    behind_since_ = 0;
    return false;
  }
  const TimeUs now = monotonic_now();
  if (behind_since_ == 0) behind_since_ = now;
  if (now - behind_since_ < kBehindFor) return false;
  context_.log.write(log::Level::kWarn, "change log: it is behind what it told before, listed anew");
  behind_since_ = 0;
  last_ = 0;
  return true;
}

bool ChangeLog::answer_is_whole() {
  if (parser_.head().status != 200) return false;
  try {
    const config::FleetChanges changes = config::parse_fleet_changes(body_.text());
    if (went_back(changes)) return false;
    tell(changes, false);
  } catch (const std::exception& e) {
    context_.log.write(log::Level::kWarn, std::string("change log: ") + e.what());
    return false;
  }
  backoff_ = 0;
  if (!parser_.head().keep_alive) {
    end(ConnectionEnd::kClosedIdle);
  } else {
    ask(monotonic_now());
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
  out_.clear();
  body_.clear();
  state_ = State::kClosed;
  set_due(monotonic_now() + backoff());
}

// Exponential, with jitter. Guards against a fleet that lost its log at one moment and calls it again in
// step, twenty times a second each for as long as it is down; the most stays short, as its return brings
// drains.
TimeUs ChangeLog::backoff() {
  backoff_ = backoff_ == 0 ? kBackoffFirst : std::min(2 * backoff_, backoff_most_);
  return std::uniform_int_distribution<TimeUs>(backoff_ / 2, backoff_)(jitter_);
}

}  // namespace orchidgw::net
