#include "limits/limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace orchidgw::limits {
namespace {

constexpr TimeUs kAnswerMargin = 60'000;       // a queued query is answered this long before its time limit
constexpr TimeUs kAssumedQueryTime = 200'000;  // mean time under way, until the first query has ended
constexpr double kQueryTimeWeight = 0.1;
constexpr TimeUs kMinExpectedTime = 1'000;
constexpr TimeUs kMinRetryAfter = 1'000;  // the clients' protocol counts in milliseconds
// A queue is pruned of queries that have left once it has this many ids more than twice its waiting queries.
constexpr std::size_t kMaxStaleIds = 64;
constexpr double kArrivalDecayUs = 2e6;  // time constant of the decay of a route's arrival rate

double decay_factor(TimeUs elapsed) {
  return std::exp(-static_cast<double>(std::max<TimeUs>(elapsed, 0)) / kArrivalDecayUs);
}

}  // namespace

Limiter::Limiter(const Settings& settings, std::uint64_t seed) : settings_(settings), seed_(seed) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) latencies_.emplace_back();
}

// Latency histograms are kept under any file. Retry budgets and bounds that it no longer states are dropped.
void Limiter::activate(TimeUs now, std::shared_ptr<const LimitSet> set) {
  std::unordered_map<std::string, std::shared_ptr<RouteState>> kept_states;
  for (const auto& route : set->routes()) {
    std::shared_ptr<RouteState> state = state_for(route->name);
    apply_bounds(*state, now, route->bounds, scale_, fleet_ ? &*fleet_ : nullptr);
    schedule_queue_check(now, state);
    kept_states[route->name] = std::move(state);
  }
  states_ = std::move(kept_states);  // queues of removed routes live until their queries have ended
  for (auto& latencies : latencies_)
    if (!latencies) latencies = std::make_unique<LatencyQuantiles>();
  if (!set->retries()) {
    overall_retry_budget_.reset();
  } else if (overall_retry_budget_) {
    overall_retry_budget_->reconfigure(now, set->retries()->value);
  } else {
    overall_retry_budget_ = std::make_shared<RetryBudget>(set->retries()->value);
  }
  set_ = std::move(set);
}

void Limiter::set_scale(TimeUs now, double scale) {
  if (scale == scale_) return;
  scale_ = scale;
  apply_all_bounds(now);
}

void Limiter::set_fleet_limits(TimeUs now, FleetLimits fleet) {
  if (fleet_ && *fleet_ == fleet) return;
  fleet_ = std::move(fleet);
  apply_all_bounds(now);
}

void Limiter::apply_all_bounds(TimeUs now) {
  if (!set_) return;
  for (const auto& route : set_->routes()) {
    const auto& state = states_.at(route->name);
    apply_bounds(*state, now, route->bounds, scale_, fleet_ ? &*fleet_ : nullptr);
    schedule_queue_check(now, state);
  }
}

FleetUsage Limiter::fleet_usage(TimeUs now) const {
  FleetUsage out;
  if (!set_) return out;
  for (const auto& route : set_->routes()) {
    const Bounds& b = route->bounds;
    if (!(b.rate && b.rate->value.fleet) && !(b.concurrency && b.concurrency->value.fleet)) continue;
    const RouteState& state = *states_.at(route->name);
    out[route->name] = {state.under_way, state.waiting,
                        state.arrival_rate * decay_factor(now - state.last_arrival_at)};
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
  state->arrival_rate =
      state->arrival_rate * decay_factor(now - state->last_arrival_at) + 1e6 / kArrivalDecayUs;
  state->last_arrival_at = now;
  const auto c = static_cast<std::size_t>(arrival.class_index);
  Entry entry;
  entry.limits =
      std::make_shared<RouteQueryLimits>(route, state, overall_retry_budget_, latencies_[c].get(),
                                         settings_.classes[c].effect != Effect::kAtMostOnce,
                                         seed_ ^ (static_cast<std::uint64_t>(arrival.id) << 20), now);
  entry.class_index = arrival.class_index;
  entry.wait_until = wait_deadline(now, entry, arrival.time_budget);
  const Verdict verdict = admit_or_queue(now, arrival.id, entry);
  if (verdict.kind != Verdict::Kind::kRefuse) queries_.emplace(arrival.id, std::move(entry));
  return verdict;
}

Verdict Limiter::admit_or_queue(TimeUs now, QueryId id, Entry& entry) {
  RouteState& state = *entry.limits->state();
  if (state.closed()) return refuse(state, Reason::kClosed, settings_.limits.max_retry_after);
  if (state.waiting > 0 || !state.has_free_slot())
    return enqueue(now, id, entry, state.has_free_slot() ? Reason::kRate : Reason::kConcurrency);
  if (!state.has_token(now)) return enqueue(now, id, entry, Reason::kRate);
  mark_admitted(now, entry);
  return {};
}

// Without this, a queue would grow with each client that disconnects while the first query in it still waits.
void Limiter::prune_queue(RouteState& state) {
  if (state.queue.size() <= 2 * static_cast<std::size_t>(state.waiting) + kMaxStaleIds) return;
  std::erase_if(state.queue, [&](QueryId id) {
    const auto it = queries_.find(id);
    return it == queries_.end() || !it->second.is_waiting || it->second.limits->state().get() != &state;
  });
}

// Queues the query if it can be admitted before its wait has to end; otherwise refuses it right away.
Verdict Limiter::enqueue(TimeUs now, QueryId id, Entry& entry, Reason reason) {
  const auto& state = entry.limits->state();
  if (state->waiting >= state->max_queue_size)
    return refuse(*state, Reason::kQueueFull, estimated_wait(now, *state));
  const TimeUs next_token = state->bucket ? state->bucket->next_token_at() : now;
  const auto time_for_queue_ahead =
      state->bucket ? static_cast<double>(state->waiting) * 1e6 / state->rate->per_second : 0.0;
  if (next_token + static_cast<TimeUs>(time_for_queue_ahead) > entry.wait_until)
    return refuse(*state, reason, estimated_wait(now, *state));
  prune_queue(*state);
  state->queue.push_back(id);
  ++state->waiting;
  ++state->queued;
  ++waiting_;
  entry.is_waiting = true;
  entry.wait_reason = reason;
  wait_expiries_.insert({entry.wait_until, id});
  schedule_queue_check(now, state);
  return {Verdict::Kind::kWait, reason, 0};
}

Verdict Limiter::refuse(RouteState& state, Reason reason, TimeUs retry_after) const {
  ++state.refused;
  if (!settings_.limits.retry_after) return {Verdict::Kind::kRefuse, reason, 0};
  const TimeUs clamped_retry_after =
      std::min(std::max(retry_after, kMinRetryAfter), settings_.limits.max_retry_after);
  return {Verdict::Kind::kRefuse, reason, clamped_retry_after};
}

void Limiter::mark_admitted(TimeUs now, Entry& entry) {
  RouteState& state = *entry.limits->state();
  if (state.bucket) state.bucket->take(now);
  ++state.under_way;
  ++state.admitted;
  entry.under_way = true;
  entry.admitted_at = now;
  entry.limits->on_admitted(now);
}

// A wait ends early enough for the client to get the answer. If the file states no longest_hold, it ends at
// the latest at the class's latency target.
TimeUs Limiter::wait_deadline(TimeUs now, const Entry& entry, TimeUs time_budget) const {
  const Bounds& b = entry.limits->route().bounds;
  const TimeUs timeout = b.timeout ? std::min(time_budget, b.timeout->value) : time_budget;
  const TimeUs latest = now + std::max<TimeUs>(timeout - kAnswerMargin, 0);
  if (b.longest_hold) return std::min(latest, now + b.longest_hold->value);
  return std::min(latest,
                  now + settings_.classes[static_cast<std::size_t>(entry.class_index)].latency_target);
}

// Estimates the wait of a new query, in microseconds: the queue's length at the pace of the rate or of the
// queries under way, whichever is slower.
TimeUs Limiter::estimated_wait(TimeUs now, const RouteState& state) const {
  double wait_us = 0;
  const double queue_length = state.waiting + 1;
  if (state.bucket) {
    wait_us = static_cast<double>(std::max<TimeUs>(state.bucket->next_token_at() - now, 0)) +
              queue_length * 1e6 / state.rate->per_second;
  }
  if (state.concurrency && state.max_under_way() > 0) {
    const double query_time =
        state.mean_query_time > 0 ? state.mean_query_time : static_cast<double>(kAssumedQueryTime);
    wait_us = std::max(wait_us, queue_length * query_time / state.max_under_way());
  }
  return static_cast<TimeUs>(std::min(wait_us, 1e12));
}

TimeUs Limiter::effective_timeout(QueryId id, TimeUs time_budget) const {
  const auto it = queries_.find(id);
  if (it == queries_.end()) return time_budget;
  const auto& timeout = it->second.limits->route().bounds.timeout;
  return timeout ? std::min(time_budget, timeout->value) : time_budget;
}

std::shared_ptr<const QueryLimits> Limiter::query_limits(QueryId id) const {
  const auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : it->second.limits;
}

Reason Limiter::retry_denial_reason(QueryId id) const {
  const auto it = queries_.find(id);
  return it == queries_.end() ? Reason::kNone : it->second.limits->retry_denial_reason();
}

// Sets when the route's queue is checked next: at once if a query can leave it, else at the next token.
void Limiter::schedule_queue_check(TimeUs now, const std::shared_ptr<RouteState>& state) {
  if (state->next_check_at > 0) queue_checks_.erase({state->next_check_at, state->serial});
  state->next_check_at = 0;
  if (state->waiting == 0) return;
  const bool blocked = !state->closed() && !state->has_free_slot();  // until a query under way ends
  if (blocked) return;
  const TimeUs token = state->bucket ? state->bucket->next_token_at() : now;
  state->next_check_at = std::max<TimeUs>(std::max(token, now), 1);
  queue_checks_[{state->next_check_at, state->serial}] = state;
}

std::optional<EndedWait> Limiter::next_ended_wait(TimeUs now) {
  if (auto expired = end_expired_wait(now)) return expired;
  return end_due_wait(now);
}

std::optional<EndedWait> Limiter::end_expired_wait(TimeUs now) {
  if (wait_expiries_.empty() || wait_expiries_.begin()->first > now) return std::nullopt;
  const QueryId id = wait_expiries_.begin()->second;
  const auto it = queries_.find(id);
  Entry& entry = it->second;
  const auto state = entry.limits->state();
  const bool has_longest_hold = entry.limits->route().bounds.longest_hold.has_value();
  const Reason reason = has_longest_hold ? Reason::kQueueTimeout : entry.wait_reason;
  leave_queue(entry, id);
  schedule_queue_check(now, state);
  const EndedWait ended_wait{id, refuse(*state, reason, estimated_wait(now, *state))};
  queries_.erase(it);
  return ended_wait;
}

std::optional<EndedWait> Limiter::end_due_wait(TimeUs now) {
  while (!queue_checks_.empty() && queue_checks_.begin()->first.first <= now) {
    const std::shared_ptr<RouteState> state = queue_checks_.begin()->second;
    while (!state->queue.empty()) {  // ids of queries that have left the queue
      const auto it = queries_.find(state->queue.front());
      if (it != queries_.end() && it->second.is_waiting && it->second.limits->state() == state) break;
      state->queue.pop_front();
    }
    const bool open = state->closed() || (state->has_free_slot() && state->has_token(now));
    if (state->queue.empty() || !open) {
      schedule_queue_check(now, state);
      if (state->next_check_at > 0 && state->next_check_at <= now) {  // else one queue would block all others
        queue_checks_.erase({state->next_check_at, state->serial});
        state->next_check_at = 0;
      }
      continue;
    }
    const QueryId id = state->queue.front();
    state->queue.pop_front();
    const auto it = queries_.find(id);
    leave_queue(it->second, id);
    if (state->closed()) {  // a new file closed the route meanwhile
      schedule_queue_check(now, state);
      queries_.erase(it);
      return EndedWait{id, refuse(*state, Reason::kClosed, settings_.limits.max_retry_after)};
    }
    mark_admitted(now, it->second);
    schedule_queue_check(now, state);
    return EndedWait{id, {}};
  }
  return std::nullopt;
}

void Limiter::leave_queue(Entry& entry, QueryId id) {
  if (!entry.is_waiting) return;
  entry.is_waiting = false;
  wait_expiries_.erase({entry.wait_until, id});
  --entry.limits->state()->waiting;
  --waiting_;
}

std::optional<TimeUs> Limiter::next_due() const {
  std::optional<TimeUs> due;
  if (!wait_expiries_.empty()) due = wait_expiries_.begin()->first;
  if (!queue_checks_.empty())
    due = std::min(due.value_or(queue_checks_.begin()->first.first), queue_checks_.begin()->first.first);
  return due;
}

void Limiter::attempt_sent(TimeUs now, QueryId id) {
  if (const auto it = queries_.find(id); it != queries_.end()) it->second.limits->attempt_sent(now);
}

void Limiter::attempt_ended(TimeUs now, QueryId id, OutcomeKind kind, TimeUs latency, TimeUs expected) {
  const auto it = queries_.find(id);
  if (it == queries_.end()) return;
  Entry& entry = it->second;
  entry.limits->attempt_ended(now);
  // A timed out attempt took at least that long. Without it the adaptive bound would not see hanging engines.
  const bool has_latency = kind == OutcomeKind::kOk || kind == OutcomeKind::kTimeout;
  if (!has_latency) return;
  if (kind == OutcomeKind::kOk) latencies_[static_cast<std::size_t>(entry.class_index)]->add(latency);
  RouteState& state = *entry.limits->state();
  if (!state.adaptive) return;
  const TimeUs bounded_expected = std::max(expected, kMinExpectedTime);
  state.adaptive->add_answer(static_cast<double>(latency) / static_cast<double>(bounded_expected),
                             state.under_way);
}

void Limiter::query_ended(TimeUs now, QueryId id) {
  const auto it = queries_.find(id);
  if (it == queries_.end()) return;
  Entry& entry = it->second;
  const std::shared_ptr<RouteState> state = entry.limits->state();
  leave_queue(entry, id);
  if (entry.under_way) {
    --state->under_way;
    const auto duration = static_cast<double>(now - entry.admitted_at);
    state->mean_query_time +=
        (state->mean_query_time > 0 ? kQueryTimeWeight : 1.0) * (duration - state->mean_query_time);
  }
  queries_.erase(it);
  if (state->waiting > 0) schedule_queue_check(now, state);
}

std::vector<std::shared_ptr<const RouteState>> Limiter::route_states() const {
  std::vector<std::shared_ptr<const RouteState>> out;
  if (!set_) return out;
  for (const auto& route : set_->routes()) out.push_back(states_.at(route->name));
  return out;
}

}  // namespace orchidgw::limits
