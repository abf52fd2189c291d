#include "soak_audit.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace orchidgw::soak {
namespace {

using Kind = integration::FrontAnswer::Kind;

constexpr milliseconds kForgottenAfter{2000};   // an engine drops what is not asked for
constexpr milliseconds kAnswerGrace{500};       // after the client's time: later is lost
constexpr milliseconds kLeaveGrace{100};        // after a client left
constexpr milliseconds kDrainGrace{1000};       // as the settings of the soak have it
constexpr milliseconds kToldWaitSlack{150};     // what an engine is told beyond what its client has left
constexpr milliseconds kRuleSlack{50};          // by which each limit of time grows on sockets
constexpr milliseconds kMachineSlack{100};      // threads of this test and the processes share the cores
constexpr milliseconds kClosesFrom{600};        // clients send on open connections so long after SIGTERM
constexpr milliseconds kCrossing{50};           // a request and the end of its connection
constexpr milliseconds kLogNoticedWithin{600};  // after the change log was down
// Half of what a policy serves that sees the true state; none serves more than all.
constexpr double kServedLeast = 0.5;
constexpr double kClassOfWeight = 0.05;  // of the requests: classes below are not judged by themselves
// Slow start, as the settings of the soak have it.
constexpr double kEngineCores = 8;
constexpr double kColdFrom = 0.3;  // of an engine's capacity
constexpr milliseconds kColdFor{5000};
constexpr double kFallMultiple = 1;
constexpr milliseconds kFallWindow{1000};
constexpr double kFewCalls = 30;  // with fewer allowed, the slack is larger

// Of calls that keep one core busy for `mean_work`.
double calls_allowed(Clock::duration age, Clock::duration mean_work) {
  using Seconds = std::chrono::duration<double>;
  const double warm = std::clamp(Seconds(age) / Seconds(kColdFor), 0.0, 1.0);
  const double capacity = kEngineCores * (kColdFrom + (1 - kColdFrom) * warm);
  return kFallMultiple * capacity * (Seconds(kFallWindow) / Seconds(mean_work));
}

double calls_before_a_fall(double allowed) {
  const double root = std::sqrt(allowed);
  return allowed < kFewCalls ? allowed + 3 * root + 3 : allowed + 2 * root + 2;
}

bool overlaps(const Interval& a, Instant from, Instant to) { return a.from < to && from < a.to; }

std::string ms(Clock::duration d) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(d).count()) + " ms";
}

}  // namespace

void ProcessRecord::killed() {
  const std::lock_guard lock(mutex_);
  killed_ = true;
}

void ProcessRecord::stood_still(Interval at) {
  const std::lock_guard lock(mutex_);
  still_.push_back(at);
}

void ProcessRecord::asked_to_stop() {
  const std::lock_guard lock(mutex_);
  asked_to_stop_ = Clock::now();
}

void ProcessRecord::closed_over_nothing() {
  const std::lock_guard lock(mutex_);
  closed_over_nothing_ = true;
}

bool ProcessRecord::left_unread(Instant written_at, Instant ended_at) const {
  const std::lock_guard lock(mutex_);
  const bool closing = asked_to_stop_ && written_at > *asked_to_stop_ + kClosesFrom;
  return closing && closed_over_nothing_ && ended_at - written_at < kCrossing;
}

bool ProcessRecord::was_killed() const {
  const std::lock_guard lock(mutex_);
  return killed_;
}

Clock::duration ProcessRecord::stood_still_within(Instant from, Instant to) const {
  const std::lock_guard lock(mutex_);
  Clock::duration sum{0};
  for (const Interval& at : still_)
    if (overlaps(at, from, to)) sum += at.to - at.from;
  return sum;
}

void SoakAudit::asked(const RequestId& id, const QueryClass& query_class, milliseconds allow,
                      std::shared_ptr<const ProcessRecord> process) {
  const std::lock_guard lock(mutex_);
  Request& request = requests_[id];
  request.query_class = &query_class;
  request.asked_at = Clock::now();
  request.allow = allow;
  request.process = std::move(process);
}

void SoakAudit::answered(const RequestId& id, Kind kind) {
  const std::lock_guard lock(mutex_);
  Request& request = requests_.at(id);
  request.answered_at = Clock::now();
  request.kind = kind;
}

void SoakAudit::left(const RequestId& id) {
  const std::lock_guard lock(mutex_);
  requests_.at(id).left_at = Clock::now();
}

SoakAudit::StartNumber SoakAudit::started(const RequestId& id, const std::string& engine,
                                          milliseconds told_wait) {
  const std::lock_guard lock(mutex_);
  Request& request = requests_[id];
  const Instant now = Clock::now();
  request.starts.push_back({engine, now, told_wait, now, now, StartEnd::kOut});
  return request.starts.size() - 1;
}

void SoakAudit::asked_for(const RequestId& id, StartNumber start) {
  const std::lock_guard lock(mutex_);
  requests_.at(id).starts.at(start).last_asked = Clock::now();
}

void SoakAudit::ended(const RequestId& id, StartNumber start, StartEnd end) {
  const std::lock_guard lock(mutex_);
  Start& s = requests_.at(id).starts.at(start);
  if (s.end != StartEnd::kOut) return;
  s.end = end;
  s.ended_at = Clock::now();
}

void SoakAudit::drains(const std::string& engine) {
  const std::lock_guard lock(mutex_);
  draining_.emplace(engine, Clock::now());
}

void SoakAudit::change_log_was_down(Interval at) {
  const std::lock_guard lock(mutex_);
  change_log_down_.push_back(at);
}

void SoakAudit::machine_stood_still(Interval at) {
  const std::lock_guard lock(mutex_);
  machine_still_.push_back(at);
}

void SoakAudit::begins_cold(const std::string& engine) {
  const std::lock_guard lock(mutex_);
  cold_.emplace_back(engine, Clock::now());
}

Clock::duration SoakAudit::stood_still(const Request& request, Instant from, Instant to) const {
  Clock::duration sum = request.process->stood_still_within(from, to);
  for (const Interval& at : machine_still_)
    if (overlaps(at, from, to)) sum += at.to - at.from;
  return sum;
}

Instant SoakAudit::over_at(const Start& start) {
  const Instant forgotten = start.last_asked + kForgottenAfter;
  return start.end == StartEnd::kOut ? forgotten : std::min(start.ended_at, forgotten);
}

void SoakAudit::judge_answer(const Request& request, std::vector<std::string>& out) const {
  if (request.left_at || request.process->was_killed()) return;
  const Instant due = request.asked_at + request.allow;
  const Instant last = due + kAnswerGrace + stood_still(request, request.asked_at, due);
  const bool closed = request.answered_at && request.kind == Kind::kClosed;
  if (closed && request.process->left_unread(request.asked_at, *request.answered_at)) return;
  if (!request.answered_at || request.kind == Kind::kClosed) {
    out.push_back("lost: its connection ended without an answer");
  } else if (*request.answered_at > last) {
    out.push_back("lost: answered " + ms(*request.answered_at - due) + " after its time");
  }
  const bool may_have_run = std::any_of(request.starts.begin(), request.starts.end(), [](const Start& start) {
    return start.end != StartEnd::kNeverBegun;
  });
  if (request.kind == Kind::kRefused && request.query_class->effect == Effect::kUnsafe && may_have_run)
    out.push_back("duplicate: refused as harmless, though an attempt may have run");
}

void SoakAudit::judge_start(const Request& request, const Start& start, std::vector<std::string>& out) const {
  const auto still = stood_still(request, request.asked_at, start.at);
  if (request.left_at && start.at > *request.left_at + kLeaveGrace + kMachineSlack + still)
    out.push_back("lost: started " + ms(start.at - *request.left_at) + " after its client left");
  const auto left = request.asked_at + request.allow - start.at;
  if (start.told_wait > left + kToldWaitSlack + kMachineSlack + still)
    out.push_back("deadline: the engine was told " + ms(start.told_wait) + " with " + ms(left) + " left");
  const auto drain = draining_.find(start.engine);
  if (drain == draining_.end()) return;
  const Instant told = drain->second;
  const bool log_was_down =
      std::any_of(change_log_down_.begin(), change_log_down_.end(), [&](const Interval& down) {
        return overlaps({down.from, down.to + kLogNoticedWithin}, told, start.at);
      });
  if (!log_was_down && start.at > told + kDrainGrace + kRuleSlack + kMachineSlack + still)
    out.push_back("drain: started " + ms(start.at - told) + " after the drain was told");
}

void SoakAudit::judge_repeat(const Request& request, const Start& earlier, const Start& later,
                             std::vector<std::string>& out) {
  if (later.at + kMachineSlack < over_at(earlier))
    out.push_back("duplicate: a second attempt " + ms(over_at(earlier) - later.at) +
                  " before the first's end");
  if (earlier.end == StartEnd::kNeverBegun) return;
  if (request.query_class->effect == Effect::kUnsafe)
    out.push_back("duplicate: started again, though it may have run");
  const auto apart = later.at - earlier.at;
  if (request.query_class->effect == Effect::kKeyed &&
      apart > request.query_class->repeat_window + kRuleSlack)
    out.push_back("duplicate: started again " + ms(apart) + " after the first time");
}

void SoakAudit::judge(const RequestId& id, const Request& request, std::vector<std::string>& out) const {
  std::vector<std::string> found;
  if (request.query_class == nullptr) {
    found.push_back("an engine was sent what no client asked");
  } else {
    judge_answer(request, found);
    for (std::size_t n = 0; n < request.starts.size(); ++n) {
      judge_start(request, request.starts[n], found);
      for (std::size_t before = 0; before < n; ++before)
        judge_repeat(request, request.starts[before], request.starts[n], found);
    }
  }
  for (const std::string& what : found) {
    std::ostringstream line;
    line << what << " | request " << id;
    if (request.query_class != nullptr) {
      line << " class " << request.query_class->name << " at " << request.process->name() << " waits "
           << request.allow.count() << " ms";
      for (const Start& start : request.starts)
        line << " | " << start.engine << " +" << ms(start.at - request.asked_at) << " end "
             << static_cast<int>(start.end) << " over +" << ms(over_at(start) - request.asked_at);
      if (request.left_at) line << " | left +" << ms(*request.left_at - request.asked_at);
      if (request.answered_at)
        line << " | answer " << static_cast<int>(request.kind) << " +"
             << ms(*request.answered_at - request.asked_at);
    }
    out.push_back(line.str());
  }
}

std::vector<std::string> SoakAudit::broken_rules() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> out;
  for (const auto& [id, request] : requests_) judge(id, request, out);
  for (const auto& [engine, told] : cold_) judge_slow_start(engine, told, out);
  return out;
}

std::vector<Instant> SoakAudit::starts_at(const std::string& engine, Instant from) const {
  std::vector<Instant> out;
  for (const auto& [id, request] : requests_)
    for (const Start& start : request.starts)
      if (start.engine == engine && start.at >= from) out.push_back(start.at);
  std::sort(out.begin(), out.end());
  return out;
}

// The sum over all processes, once all of them have been told of the engine's start.
void SoakAudit::judge_slow_start(const std::string& engine, Instant told,
                                 std::vector<std::string>& out) const {
  const bool log_was_down =
      std::any_of(change_log_down_.begin(), change_log_down_.end(),
                  [&](const Interval& down) { return overlaps(down, told, told + kColdFor); });
  if (log_was_down) return;
  const std::vector<Instant> starts = starts_at(engine, told + kLogNoticedWithin);
  for (std::size_t from = 0, to = 0; to < starts.size() && starts[to] < told + kColdFor; ++to) {
    while (starts[from] + kFallWindow <= starts[to]) ++from;
    const auto calls = static_cast<double>(to - from + 1);
    const double allowed = calls_allowed(starts[to] - told, kMeanWork);
    if (calls <= calls_before_a_fall(allowed)) continue;
    std::ostringstream line;
    line << "failback: " << calls << " calls within " << ms(kFallWindow) << " at " << engine << ", "
         << ms(starts[to] - told) << " after its start, which allows " << allowed;
    return out.push_back(line.str());
  }
}

std::map<std::string, SoakAudit::Share> SoakAudit::shares() const {
  std::map<std::string, Share> out;
  for (const auto& [id, request] : requests_) {
    if (request.query_class == nullptr || request.left_at || request.process->was_killed()) continue;
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
  const auto judge_share = [&](const std::string& of, const Share& share) {
    if (share.value() < kServedLeast)
      out.push_back("share: " + std::to_string(share.served) + " of " + std::to_string(share.asked) +
                    " served of " + of);
  };
  judge_share("all", all);
  for (const auto& [name, share] : by_class)
    if (static_cast<double>(share.asked) >= kClassOfWeight * static_cast<double>(all.asked))
      judge_share("class " + name, share);
  return out;
}

std::string SoakAudit::summary() const {
  const std::lock_guard lock(mutex_);
  std::map<Kind, int> kinds;
  std::size_t starts = 0;
  int repeats = 0;
  int left = 0;
  int unread = 0;
  for (const auto& [id, request] : requests_) {
    ++kinds[request.kind];
    starts += request.starts.size();
    repeats += request.starts.size() > 1 ? 1 : 0;
    left += request.left_at ? 1 : 0;
    const bool closed = !request.left_at && request.answered_at && request.kind == Kind::kClosed;
    unread += closed && request.process->left_unread(request.asked_at, *request.answered_at) ? 1 : 0;
  }
  std::ostringstream out;
  for (const auto& [name, share] : shares()) out << name << ' ' << share.served << '/' << share.asked << ", ";
  out << requests_.size() << " requests, " << kinds[Kind::kServed] << " served, " << kinds[Kind::kRefused]
      << " refused, " << kinds[Kind::kFailed] << " failed, " << left << " left, " << unread
      << " not read as their connection ended in a shutdown; " << starts << " starts, " << repeats
      << " requests started more than once, " << machine_still_.size() << " machine stalls";
  return out.str();
}

}  // namespace orchidgw::soak
