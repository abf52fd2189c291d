#include "limits/limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace orchidgw::limits {
namespace {

constexpr TimeUs kAnswerMargin = 60'000;      // a held query is answered this long before its time ends
constexpr TimeUs kUsualUnlessSeen = 200'000;  // a query is believed under way so long, before any was seen
constexpr double kUsualWeight = 0.1;
constexpr TimeUs kLeastExpected = 1'000;
constexpr TimeUs kLeastAdvice = 1'000;  // the clients' protocol counts in milliseconds
constexpr std::size_t kGoneMost = 64;   // ids in a line whose queries left it by another way
constexpr double kArrivalsOver = 2e6;   // us over which a route's arrivals fade

double faded(TimeUs passed) {
  return std::exp(-static_cast<double>(std::max<TimeUs>(passed, 0)) / kArrivalsOver);
}

}  // namespace

Limiter::Limiter(const Settings& settings, std::uint64_t seed) : settings_(settings), seed_(seed) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) latencies_.emplace_back();
}

// Latencies go on being learned under any file; budgets and bounds that a file does not state any more end.
void Limiter::put_in_force(TimeUs now, std::shared_ptr<const LimitSet> set) {
  std::unordered_map<std::string, std::shared_ptr<RouteState>> kept;
  for (const auto& route : set->routes()) {
    std::shared_ptr<RouteState> state = state_for(route->name);
    set_terms(*state, now, route->bounds, scale_, fleet_ ? &*fleet_ : nullptr);
    schedule(now, state);
    kept[route->name] = std::move(state);
  }
  states_ = std::move(kept);  // lines of routes that are gone live on until their queries are over
  for (auto& latencies : latencies_)
    if (!latencies) latencies = std::make_unique<LatencyQuantiles>();
  if (!set->retries()) {
    overall_.reset();
  } else if (overall_) {
    overall_->change(now, set->retries()->value);
  } else {
    overall_ = std::make_shared<RetryBudget>(set->retries()->value);
  }
  set_ = std::move(set);
}

void Limiter::set_scale(TimeUs now, double scale) {
  if (scale == scale_) return;
  scale_ = scale;
  set_all_terms(now);
}

void Limiter::set_fleet(TimeUs now, FleetLimits fleet) {
  if (fleet_ && *fleet_ == fleet) return;
  fleet_ = std::move(fleet);
  set_all_terms(now);
}

void Limiter::set_all_terms(TimeUs now) {
  if (!set_) return;
  for (const auto& route : set_->routes()) {
    const auto& state = states_.at(route->name);
    set_terms(*state, now, route->bounds, scale_, fleet_ ? &*fleet_ : nullptr);
    schedule(now, state);
  }
}

FleetUse Limiter::fleet_use(TimeUs now) const {
  FleetUse out;
  if (!set_) return out;
  for (const auto& route : set_->routes()) {
    const Bounds& b = route->bounds;
    if (!(b.rate && b.rate->value.fleet) && !(b.concurrency && b.concurrency->value.fleet)) continue;
    const RouteState& state = *states_.at(route->name);
    out[route->name] = {state.under_way, state.waiting, state.arrivals * faded(now - state.arrived_at)};
  }
  return out;
}

std::shared_ptr<RouteState> Limiter::state_for(const std::string& name) {
  if (const auto it = states_.find(name); it != states_.end()) return it->second;
  auto state = std::make_shared<RouteState>();
  state->name = name;
  state->serial = ++last_serial_;
  return state;
}

Verdict Limiter::admit(TimeUs now, const Arrival& arrival) {
  if (!set_) return {};
  const auto& route = set_->find(arrival.class_index, arrival.tenant, arrival.table, arrival.keyed);
  const auto& state = states_.at(route->name);
  state->arrivals = state->arrivals * faded(now - state->arrived_at) + 1e6 / kArrivalsOver;
  state->arrived_at = now;
  const auto c = static_cast<std::size_t>(arrival.class_index);
  Entry entry;
  entry.pass = std::make_shared<Pass>(route, state, overall_, latencies_[c].get(),
                                      settings_.classes[c].effect != Effect::kAtMostOnce,
                                      seed_ ^ (static_cast<std::uint64_t>(arrival.id) << 20), now);
  entry.class_index = arrival.class_index;
  entry.hold_until = hold_end(now, entry, arrival.time_budget);
  const Verdict verdict = enter(now, arrival.id, entry);
  if (verdict.kind != Verdict::Kind::kRefuse) queries_.emplace(arrival.id, std::move(entry));
  return verdict;
}

Verdict Limiter::enter(TimeUs now, QueryId id, Entry& entry) {
  RouteState& state = *entry.pass->state();
  if (state.closed()) return refuse(state, Reason::kClosed, settings_.limits.max_retry_after);
  if (state.waiting > 0 || !state.place_free())
    return wait(now, id, entry, state.place_free() ? Reason::kRate : Reason::kConcurrency);
  if (!state.token_ready(now)) return wait(now, id, entry, Reason::kRate);
  let_in(now, entry);
  return {};
}

// Guards against a line that grows with clients that come and leave while its first one waits.
void Limiter::drop_gone(RouteState& state) {
  if (state.line.size() <= 2 * static_cast<std::size_t>(state.waiting) + kGoneMost) return;
  std::erase_if(state.line, [&](QueryId id) {
    const auto it = queries_.find(id);
    return it == queries_.end() || !it->second.waits || it->second.pass->state().get() != &state;
  });
}

// Held where its turn can come within the hold, else refused early.
Verdict Limiter::wait(TimeUs now, QueryId id, Entry& entry, Reason reason) {
  const auto& state = entry.pass->state();
  if (state->waiting >= state->line_most) return refuse(*state, Reason::kLineFull, come_back_in(now, *state));
  const TimeUs turn = state->bucket ? state->bucket->next_at() : now;
  const auto ahead =
      state->bucket ? static_cast<double>(state->waiting) * 1e6 / state->rate->per_second : 0.0;
  if (turn + static_cast<TimeUs>(ahead) > entry.hold_until)
    return refuse(*state, reason, come_back_in(now, *state));
  drop_gone(*state);
  state->line.push_back(id);
  ++state->waiting;
  ++state->held;
  ++waiting_;
  entry.waits = true;
  entry.waits_for = reason;
  expiries_.insert({entry.hold_until, id});
  schedule(now, state);
  return {Verdict::Kind::kWait, reason, 0};
}

Verdict Limiter::refuse(RouteState& state, Reason reason, TimeUs retry_after) const {
  ++state.refused;
  if (!settings_.limits.retry_after) return {Verdict::Kind::kRefuse, reason, 0};
  const TimeUs advice = std::min(std::max(retry_after, kLeastAdvice), settings_.limits.max_retry_after);
  return {Verdict::Kind::kRefuse, reason, advice};
}

void Limiter::let_in(TimeUs now, Entry& entry) {
  RouteState& state = *entry.pass->state();
  if (state.bucket) state.bucket->take(now);
  ++state.under_way;
  ++state.let_in;
  entry.under_way = true;
  entry.let_in_at = now;
  entry.pass->let_in(now);
}

// A wait ends in time for the answer; unless the file states a hold, when a query of its class would want its
// answer already.
TimeUs Limiter::hold_end(TimeUs now, const Entry& entry, TimeUs time_budget) const {
  const Bounds& b = entry.pass->limits().bounds;
  const TimeUs whole = b.timeout ? std::min(time_budget, b.timeout->value) : time_budget;
  const TimeUs last = now + std::max<TimeUs>(whole - kAnswerMargin, 0);
  if (b.longest_hold) return std::min(last, now + b.longest_hold->value);
  return std::min(last, now + settings_.classes[static_cast<std::size_t>(entry.class_index)].aim);
}

// When a newcomer may find a place: the line at the pace of the rate or of the places.
TimeUs Limiter::come_back_in(TimeUs now, const RouteState& state) const {
  double wait = 0;
  const double line = state.waiting + 1;
  if (state.bucket) {
    wait = static_cast<double>(std::max<TimeUs>(state.bucket->next_at() - now, 0)) +
           line * 1e6 / state.rate->per_second;
  }
  if (state.concurrency && state.place_most() > 0) {
    const double usual = state.usual_time > 0 ? state.usual_time : static_cast<double>(kUsualUnlessSeen);
    wait = std::max(wait, line * usual / state.place_most());
  }
  return static_cast<TimeUs>(std::min(wait, 1e12));
}

TimeUs Limiter::time_for(QueryId id, TimeUs time_budget) const {
  const auto it = queries_.find(id);
  if (it == queries_.end()) return time_budget;
  const auto& timeout = it->second.pass->limits().bounds.timeout;
  return timeout ? std::min(time_budget, timeout->value) : time_budget;
}

std::shared_ptr<const QueryLimits> Limiter::pass_of(QueryId id) const {
  const auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : it->second.pass;
}

Reason Limiter::forbidden(QueryId id) const {
  const auto it = queries_.find(id);
  return it == queries_.end() ? Reason::kNone : it->second.pass->forbidden();
}

// Sets when the route's line is looked at next: at once while it may move, at the next token otherwise.
void Limiter::schedule(TimeUs now, const std::shared_ptr<RouteState>& state) {
  if (state->wakes_at > 0) wakes_.erase({state->wakes_at, state->serial});
  state->wakes_at = 0;
  if (state->waiting == 0) return;
  const bool stuck = !state->closed() && !state->place_free();  // until one that is under way is over
  if (stuck) return;
  const TimeUs token = state->bucket ? state->bucket->next_at() : now;
  state->wakes_at = std::max<TimeUs>(std::max(token, now), 1);
  wakes_[{state->wakes_at, state->serial}] = state;
}

std::optional<Release> Limiter::next_release(TimeUs now) {
  if (auto expired = release_expired(now)) return expired;
  return release_due(now);
}

std::optional<Release> Limiter::release_expired(TimeUs now) {
  if (expiries_.empty() || expiries_.begin()->first > now) return std::nullopt;
  const QueryId id = expiries_.begin()->second;
  const auto it = queries_.find(id);
  Entry& entry = it->second;
  const auto state = entry.pass->state();
  const bool hold_over = entry.pass->limits().bounds.longest_hold.has_value();
  const Reason reason = hold_over ? Reason::kHeldTooLong : entry.waits_for;
  leave_line(entry, id);
  schedule(now, state);
  const Release release{id, refuse(*state, reason, come_back_in(now, *state))};
  queries_.erase(it);
  return release;
}

std::optional<Release> Limiter::release_due(TimeUs now) {
  while (!wakes_.empty() && wakes_.begin()->first.first <= now) {
    const std::shared_ptr<RouteState> state = wakes_.begin()->second;
    while (!state->line.empty()) {  // ids of queries that left the line by another way
      const auto it = queries_.find(state->line.front());
      if (it != queries_.end() && it->second.waits && it->second.pass->state() == state) break;
      state->line.pop_front();
    }
    const bool open = state->closed() || (state->place_free() && state->token_ready(now));
    if (state->line.empty() || !open) {
      schedule(now, state);
      if (state->wakes_at > 0 && state->wakes_at <= now) {  // lest one line hold up all others
        wakes_.erase({state->wakes_at, state->serial});
        state->wakes_at = 0;
      }
      continue;
    }
    const QueryId id = state->line.front();
    state->line.pop_front();
    const auto it = queries_.find(id);
    leave_line(it->second, id);
    if (state->closed()) {  // a file closed the route meanwhile
      schedule(now, state);
      queries_.erase(it);
      return Release{id, refuse(*state, Reason::kClosed, settings_.limits.max_retry_after)};
    }
    let_in(now, it->second);
    schedule(now, state);
    return Release{id, {}};
  }
  return std::nullopt;
}

void Limiter::leave_line(Entry& entry, QueryId id) {
  if (!entry.waits) return;
  entry.waits = false;
  expiries_.erase({entry.hold_until, id});
  --entry.pass->state()->waiting;
  --waiting_;
}

std::optional<TimeUs> Limiter::next_due() const {
  std::optional<TimeUs> due;
  if (!expiries_.empty()) due = expiries_.begin()->first;
  if (!wakes_.empty()) due = std::min(due.value_or(wakes_.begin()->first.first), wakes_.begin()->first.first);
  return due;
}

void Limiter::attempt_sent(TimeUs now, QueryId id) {
  if (const auto it = queries_.find(id); it != queries_.end()) it->second.pass->attempt_sent(now);
}

void Limiter::attempt_ended(TimeUs now, QueryId id, OutcomeKind kind, TimeUs latency, TimeUs expected) {
  const auto it = queries_.find(id);
  if (it == queries_.end()) return;
  Entry& entry = it->second;
  entry.pass->attempt_ended(now);
  // One that was given up took at least so long: without it, what hangs would not be seen by the bound.
  const bool tells_time = kind == OutcomeKind::kOk || kind == OutcomeKind::kTimeout;
  if (!tells_time) return;
  if (kind == OutcomeKind::kOk) latencies_[static_cast<std::size_t>(entry.class_index)]->add(latency);
  RouteState& state = *entry.pass->state();
  if (!state.adaptive) return;
  const TimeUs whole = std::max(expected, kLeastExpected);
  state.adaptive->learn(static_cast<double>(latency) / static_cast<double>(whole), state.under_way);
}

void Limiter::over(TimeUs now, QueryId id) {
  const auto it = queries_.find(id);
  if (it == queries_.end()) return;
  Entry& entry = it->second;
  const std::shared_ptr<RouteState> state = entry.pass->state();
  leave_line(entry, id);
  if (entry.under_way) {
    --state->under_way;
    const auto took = static_cast<double>(now - entry.let_in_at);
    state->usual_time += (state->usual_time > 0 ? kUsualWeight : 1.0) * (took - state->usual_time);
  }
  queries_.erase(it);
  if (state->waiting > 0) schedule(now, state);
}

std::vector<std::shared_ptr<const RouteState>> Limiter::route_states() const {
  std::vector<std::shared_ptr<const RouteState>> out;
  if (!set_) return out;
  for (const auto& route : set_->routes()) out.push_back(states_.at(route->name));
  return out;
}

}  // namespace orchidgw::limits
