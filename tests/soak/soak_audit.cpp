#include "soak_audit.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace orchidgw::soak {
namespace {

using Kind = integration::FrontAnswer::Kind;

constexpr milliseconds kUnpolledQueryTimeout{2000};  // an engine drops a query that is not polled for so long
constexpr milliseconds kAnswerGrace{500};         // past the client's timeout; a later answer counts as lost
constexpr milliseconds kAbortGrace{100};          // past an abort or a disconnect
constexpr milliseconds kDrainGrace{1000};         // `stopSendingWithin` in the soak's settings
constexpr milliseconds kEngineTimeoutSlack{150};  // by which an engine's timeout may exceed the client's
constexpr milliseconds kRuleSlack{50};            // added to each time limit for the way through sockets
constexpr milliseconds kMachineSlack{100};  // added as the test's threads and the processes share the cores
// After SIGTERM clients still send on their open connections for so long.
constexpr milliseconds kConnectionCloseDelay{600};
constexpr milliseconds kCloseRaceWindow{50};  // in which a request and the close of its connection may cross
// Until all controllers have read an event, also after the change log was down.
constexpr milliseconds kChangeLogDelay{600};
// Half of what an ideal policy serves that knows the true state; that one serves all requests at most.
constexpr double kMinServedShare = 0.5;
// Of all requests; a class with a smaller share is not checked on its own.
constexpr double kMinClassWeight = 0.05;
// Slow start, as in the soak's settings.
constexpr double kEngineCores = 8;
constexpr double kSlowStartInitialCapacity = 0.3;  // of an engine's capacity
constexpr milliseconds kSlowStartDuration{5000};
constexpr double kOverloadMultiple = 1;
constexpr milliseconds kOverloadWindow{1000};
constexpr double kSmallCallCount = 30;  // where fewer calls are allowed, the slack is larger

// How many calls that each take `mean_work` of one core an engine of this age may get in an overload window.
double calls_allowed(Clock::duration age, Clock::duration mean_work) {
  using Seconds = std::chrono::duration<double>;
  const double warm = std::clamp(Seconds(age) / Seconds(kSlowStartDuration), 0.0, 1.0);
  const double capacity = kEngineCores * (kSlowStartInitialCapacity + (1 - kSlowStartInitialCapacity) * warm);
  return kOverloadMultiple * capacity * (Seconds(kOverloadWindow) / Seconds(mean_work));
}

// More calls than this count as an overload; the slack allows for random variation.
double overload_threshold(double allowed) {
  const double root = std::sqrt(allowed);
  return allowed < kSmallCallCount ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
}

bool overlaps(const Interval& a, Instant from, Instant to) { return a.from < to && from < a.to; }

std::string ms(Clock::duration d) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(d).count()) + " ms";
}

}  // namespace

void ProcessRecord::record_kill() {
  const std::lock_guard lock(mutex_);
  killed_ = true;
}

void ProcessRecord::record_pause(Interval at) {
  const std::lock_guard lock(mutex_);
  pauses_.push_back(at);
}

void ProcessRecord::record_stop_request() {
  const std::lock_guard lock(mutex_);
  stop_requested_at_ = Clock::now();
}

void ProcessRecord::record_clean_close() {
  const std::lock_guard lock(mutex_);
  closed_cleanly_ = true;
}

bool ProcessRecord::unread_at_shutdown(Instant written_at, Instant ended_at) const {
  const std::lock_guard lock(mutex_);
  const bool closing = stop_requested_at_ && written_at > *stop_requested_at_ + kConnectionCloseDelay;
  return closing && closed_cleanly_ && ended_at - written_at < kCloseRaceWindow;
}

bool ProcessRecord::was_killed() const {
  const std::lock_guard lock(mutex_);
  return killed_;
}

Clock::duration ProcessRecord::paused_time(Instant from, Instant to) const {
  const std::lock_guard lock(mutex_);
  Clock::duration sum{0};
  for (const Interval& at : pauses_)
    if (overlaps(at, from, to)) sum += at.to - at.from;
  return sum;
}

void SoakAudit::record_request(const RequestId& id, const QueryClass& query_class, milliseconds timeout,
                               std::shared_ptr<const ProcessRecord> process) {
  const std::lock_guard lock(mutex_);
  Request& request = requests_[id];
  request.query_class = &query_class;
  request.sent_at = Clock::now();
  request.timeout = timeout;
  request.process = std::move(process);
}

void SoakAudit::record_answer(const RequestId& id, Kind kind) {
  const std::lock_guard lock(mutex_);
  Request& request = requests_.at(id);
  request.answered_at = Clock::now();
  request.kind = kind;
}

void SoakAudit::record_abandoned(const RequestId& id) {
  const std::lock_guard lock(mutex_);
  requests_.at(id).abandoned_at = Clock::now();
}

SoakAudit::AttemptIndex SoakAudit::record_attempt(const RequestId& id, const std::string& engine,
                                                  milliseconds engine_timeout) {
  const std::lock_guard lock(mutex_);
  Request& request = requests_[id];
  const Instant now = Clock::now();
  request.attempts.push_back({engine, now, engine_timeout, now, now, AttemptEnd::kInFlight});
  return request.attempts.size() - 1;
}

void SoakAudit::record_poll(const RequestId& id, AttemptIndex attempt) {
  const std::lock_guard lock(mutex_);
  requests_.at(id).attempts.at(attempt).last_polled = Clock::now();
}

void SoakAudit::record_attempt_end(const RequestId& id, AttemptIndex attempt, AttemptEnd end) {
  const std::lock_guard lock(mutex_);
  Attempt& ending = requests_.at(id).attempts.at(attempt);
  if (ending.end != AttemptEnd::kInFlight) return;
  ending.end = end;
  ending.ended_at = Clock::now();
}

void SoakAudit::record_drain(const std::string& engine) {
  const std::lock_guard lock(mutex_);
  drain_announced_.emplace(engine, Clock::now());
}

void SoakAudit::record_change_log_outage(Interval at) {
  const std::lock_guard lock(mutex_);
  change_log_outages_.push_back(at);
}

void SoakAudit::record_machine_stall(Interval at) {
  const std::lock_guard lock(mutex_);
  machine_stalls_.push_back(at);
}

void SoakAudit::record_engine_start(const std::string& engine) {
  const std::lock_guard lock(mutex_);
  engine_starts_.emplace_back(engine, Clock::now());
}

Clock::duration SoakAudit::stalled_time(const Request& request, Instant from, Instant to) const {
  Clock::duration sum = request.process->paused_time(from, to);
  for (const Interval& at : machine_stalls_)
    if (overlaps(at, from, to)) sum += at.to - at.from;
  return sum;
}

Instant SoakAudit::attempt_end_time(const Attempt& attempt) {
  const Instant forgotten = attempt.last_polled + kUnpolledQueryTimeout;
  return attempt.end == AttemptEnd::kInFlight ? forgotten : std::min(attempt.ended_at, forgotten);
}

void SoakAudit::check_answer(const Request& request, std::vector<std::string>& out) const {
  if (request.abandoned_at || request.process->was_killed()) return;
  const Instant due = request.sent_at + request.timeout;
  const Instant last = due + kAnswerGrace + stalled_time(request, request.sent_at, due);
  const bool closed = request.answered_at && request.kind == Kind::kClosed;
  if (closed && request.process->unread_at_shutdown(request.sent_at, *request.answered_at)) return;
  if (!request.answered_at || request.kind == Kind::kClosed) {
    out.push_back("lost: its connection ended without an answer");
  } else if (*request.answered_at > last) {
    out.push_back("lost: answered " + ms(*request.answered_at - due) + " after its time");
  }
  const bool may_have_run =
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [](const Attempt& attempt) { return attempt.end != AttemptEnd::kNotStarted; });
  if (request.kind == Kind::kRefused && request.query_class->effect == Effect::kUnsafe && may_have_run)
    out.push_back("duplicate: refused as harmless, though an attempt may have run");
}

void SoakAudit::check_attempt(const Request& request, const Attempt& attempt,
                              std::vector<std::string>& out) const {
  const auto stalled = stalled_time(request, request.sent_at, attempt.at);
  if (request.abandoned_at && attempt.at > *request.abandoned_at + kAbortGrace + kMachineSlack + stalled)
    out.push_back("lost: started " + ms(attempt.at - *request.abandoned_at) + " after its client left");
  const auto remaining = request.sent_at + request.timeout - attempt.at;
  if (attempt.engine_timeout > remaining + kEngineTimeoutSlack + kMachineSlack + stalled)
    out.push_back("deadline: the engine was told " + ms(attempt.engine_timeout) + " with " + ms(remaining) +
                  " left");
  const auto drain = drain_announced_.find(attempt.engine);
  if (drain == drain_announced_.end()) return;
  const Instant announced_at = drain->second;
  const bool log_was_down =
      std::any_of(change_log_outages_.begin(), change_log_outages_.end(), [&](const Interval& down) {
        return overlaps({down.from, down.to + kChangeLogDelay}, announced_at, attempt.at);
      });
  if (!log_was_down && attempt.at > announced_at + kDrainGrace + kRuleSlack + kMachineSlack + stalled)
    out.push_back("drain: started " + ms(attempt.at - announced_at) + " after the drain was told");
}

void SoakAudit::check_second_attempt(const Request& request, const Attempt& earlier, const Attempt& later,
                                     std::vector<std::string>& out) {
  if (later.at + kMachineSlack < attempt_end_time(earlier))
    out.push_back("duplicate: a second attempt " + ms(attempt_end_time(earlier) - later.at) +
                  " before the first's end");
  if (earlier.end == AttemptEnd::kNotStarted) return;
  if (request.query_class->effect == Effect::kUnsafe)
    out.push_back("duplicate: started again, though it may have run");
  const auto apart = later.at - earlier.at;
  if (request.query_class->effect == Effect::kKeyed &&
      apart > request.query_class->repeat_window + kRuleSlack)
    out.push_back("duplicate: started again " + ms(apart) + " after the first time");
}

void SoakAudit::check_request(const RequestId& id, const Request& request,
                              std::vector<std::string>& out) const {
  std::vector<std::string> found;
  if (request.query_class == nullptr) {
    found.push_back("an engine was sent what no client asked");
  } else {
    check_answer(request, found);
    for (std::size_t n = 0; n < request.attempts.size(); ++n) {
      check_attempt(request, request.attempts[n], found);
      for (std::size_t before = 0; before < n; ++before)
        check_second_attempt(request, request.attempts[before], request.attempts[n], found);
    }
  }
  for (const std::string& what : found) {
    std::ostringstream line;
    line << what << " | request " << id;
    if (request.query_class != nullptr) {
      line << " class " << request.query_class->name << " at " << request.process->name() << " waits "
           << request.timeout.count() << " ms";
      for (const Attempt& attempt : request.attempts)
        line << " | " << attempt.engine << " +" << ms(attempt.at - request.sent_at) << " end "
             << static_cast<int>(attempt.end) << " over +" << ms(attempt_end_time(attempt) - request.sent_at);
      if (request.abandoned_at) line << " | left +" << ms(*request.abandoned_at - request.sent_at);
      if (request.answered_at)
        line << " | answer " << static_cast<int>(request.kind) << " +"
             << ms(*request.answered_at - request.sent_at);
    }
    out.push_back(line.str());
  }
}

std::vector<std::string> SoakAudit::broken_rules() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> out;
  for (const auto& [id, request] : requests_) check_request(id, request, out);
  for (const auto& [engine, announced_at] : engine_starts_) check_slow_start(engine, announced_at, out);
  return out;
}

std::vector<Instant> SoakAudit::attempt_times(const std::string& engine, Instant from) const {
  std::vector<Instant> out;
  for (const auto& [id, request] : requests_)
    for (const Attempt& attempt : request.attempts)
      if (attempt.engine == engine && attempt.at >= from) out.push_back(attempt.at);
  std::sort(out.begin(), out.end());
  return out;
}

// Checks the calls of all processes together, from when all of them must have read the engine's start.
void SoakAudit::check_slow_start(const std::string& engine, Instant announced_at,
                                 std::vector<std::string>& out) const {
  const bool log_was_down = std::any_of(
      change_log_outages_.begin(), change_log_outages_.end(),
      [&](const Interval& down) { return overlaps(down, announced_at, announced_at + kSlowStartDuration); });
  if (log_was_down) return;
  const std::vector<Instant> attempts = attempt_times(engine, announced_at + kChangeLogDelay);
  for (std::size_t from = 0, to = 0; to < attempts.size() && attempts[to] < announced_at + kSlowStartDuration;
       ++to) {
    while (attempts[from] + kOverloadWindow <= attempts[to]) ++from;
    const auto calls = static_cast<double>(to - from + 1);
    const double allowed = calls_allowed(attempts[to] - announced_at, kMeanWork);
    if (calls <= overload_threshold(allowed)) continue;
    std::ostringstream line;
    line << "failback: " << calls << " calls within " << ms(kOverloadWindow) << " at " << engine << ", "
         << ms(attempts[to] - announced_at) << " after its start, which allows " << allowed;
    return out.push_back(line.str());
  }
}

std::map<std::string, SoakAudit::Share> SoakAudit::shares() const {
  std::map<std::string, Share> out;
  for (const auto& [id, request] : requests_) {
    if (request.query_class == nullptr || request.abandoned_at || request.process->was_killed()) continue;
    Share& share = out[request.query_class->name];
    ++share.asked;
    if (request.answered_at && request.kind == Kind::kServed) ++share.served;
  }
  return out;
}

std::vector<std::string> SoakAudit::low_shares() const {
  const std::lock_guard lock(mutex_);
  const std::map<std::string, Share> by_class = shares();
  Share all;
  for (const auto& [name, share] : by_class) {
    all.asked += share.asked;
    all.served += share.served;
  }
  std::vector<std::string> out;
  const auto check_share = [&](const std::string& of, const Share& share) {
    if (share.value() < kMinServedShare)
      out.push_back("share: " + std::to_string(share.served) + " of " + std::to_string(share.asked) +
                    " served of " + of);
  };
  check_share("all", all);
  for (const auto& [name, share] : by_class)
    if (static_cast<double>(share.asked) >= kMinClassWeight * static_cast<double>(all.asked))
      check_share("class " + name, share);
  return out;
}

std::string SoakAudit::summary() const {
  const std::lock_guard lock(mutex_);
  std::map<Kind, int> kinds;
  std::size_t attempts = 0;
  int retried = 0;
  int abandoned = 0;
  int unread = 0;
  for (const auto& [id, request] : requests_) {
    ++kinds[request.kind];
    attempts += request.attempts.size();
    retried += request.attempts.size() > 1 ? 1 : 0;
    abandoned += request.abandoned_at ? 1 : 0;
    const bool closed = !request.abandoned_at && request.answered_at && request.kind == Kind::kClosed;
    unread += closed && request.process->unread_at_shutdown(request.sent_at, *request.answered_at) ? 1 : 0;
  }
  std::ostringstream out;
  for (const auto& [name, share] : shares()) out << name << ' ' << share.served << '/' << share.asked << ", ";
  out << requests_.size() << " requests, " << kinds[Kind::kServed] << " served, " << kinds[Kind::kRefused]
      << " refused, " << kinds[Kind::kFailed] << " failed, " << abandoned << " left, " << unread
      << " not read as their connection ended in a shutdown; " << attempts << " starts, " << retried
      << " requests started more than once, " << machine_stalls_.size() << " machine stalls";
  return out.str();
}

}  // namespace orchidgw::soak
