#include "limits/pass.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace orchidgw::limits {
namespace {

// SplitMix64 (Steele, Lea, Flood 2014): maps each seed to one number in [0, 1).
double uniform(std::uint64_t seed) {
  std::uint64_t x = seed + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1p-53;
}

}  // namespace

RouteQueryLimits::RouteQueryLimits(std::shared_ptr<const RouteLimits> route,
                                   std::shared_ptr<RouteState> state,
                                   std::shared_ptr<RetryBudget> overall_retry_budget,
                                   const LatencyQuantiles* latencies, bool class_allows_repeats,
                                   std::uint64_t seed, TimeUs accepted_at)
    : route_(std::move(route)),
      state_(std::move(state)),
      overall_retry_budget_(std::move(overall_retry_budget)),
      latencies_(latencies),
      class_allows_repeats_(class_allows_repeats),
      seed_(seed),
      accepted_at_(accepted_at) {}

void RouteQueryLimits::on_admitted(TimeUs now) {
  if (state_->retries) state_->retries->record_query(now);
  if (overall_retry_budget_) overall_retry_budget_->record_query(now);
}

void RouteQueryLimits::attempt_sent(TimeUs now) {
  if (attempts_sent_++ == 0) return;
  if (state_->retries) state_->retries->record_retry(now);
  if (overall_retry_budget_) overall_retry_budget_->record_retry(now);
}

void RouteQueryLimits::attempt_ended(TimeUs now) {
  if (route_->bounds.back_off) next_send_at_ = now + back_off();
}

bool RouteQueryLimits::deny_retry(Reason reason) const {
  retry_denial_reason_ = reason;
  return false;
}

bool RouteQueryLimits::retry_budgets_allow(TimeUs now) const {
  const bool allowed = (!state_->retries || state_->retries->allows_retry(now)) &&
                       (!overall_retry_budget_ || overall_retry_budget_->allows_retry(now));
  return allowed || deny_retry(Reason::kRetryBudget);
}

bool RouteQueryLimits::may_send(TimeUs now, int sent, int in_flight) const {
  if (sent == 0) return true;
  const Bounds& b = route_->bounds;
  if (b.attempts && sent >= b.attempts->value) return deny_retry(Reason::kMaxAttempts);
  const bool copies = b.second_copy && b.second_copy->value.when != SecondCopy::When::kNever;
  // If the file does not state second_copy, the settings and the decision module's own rules apply.
  if (in_flight > 0 && b.second_copy && !copies) return deny_retry(Reason::kMaxAttempts);
  if (in_flight == 0 && now < next_send_at_) return false;
  return retry_budgets_allow(now);
}

bool RouteQueryLimits::may_follow(TimeUs now, OutcomeKind last, int sent) const {
  const Bounds& b = route_->bounds;
  if (b.attempts && sent >= b.attempts->value) return deny_retry(Reason::kMaxAttempts);
  if (b.retry_on && !b.retry_on->value.has(last)) return deny_retry(Reason::kOutcomeNotRetried);
  return retry_budgets_allow(now);
}

TimeUs RouteQueryLimits::stop_at(TimeUs now, TimeUs deadline) const {
  const auto& timeout = route_->bounds.attempt_timeout;
  return timeout ? std::min(deadline, now + timeout->value) : deadline;
}

TimeUs RouteQueryLimits::hold_until(TimeUs last) const {
  const auto& hold = route_->bounds.longest_hold;
  return hold ? std::min(last, accepted_at_ + hold->value) : last;
}

bool RouteQueryLimits::second_copy_due(TimeUs now, TimeUs sent_at, int sent) const {
  const Bounds& b = route_->bounds;
  if (!class_allows_repeats_ || sent != 1 || !b.second_copy)
    return false;  // one copy at most: a third attempt would only add load
  if (b.attempts && sent >= b.attempts->value) return false;
  const TimeUs delay = second_copy_delay(b.second_copy->value);
  return delay > 0 && now >= sent_at + delay && retry_budgets_allow(now);
}

// Returns 0 for no copy; a quantile gives none until enough latencies of the class are known.
TimeUs RouteQueryLimits::second_copy_delay(const SecondCopy& copy) const {
  if (copy.when == SecondCopy::When::kNever) return 0;
  if (copy.when == SecondCopy::When::kDelay) return copy.delay;
  const auto learned = latencies_->at(copy.quantile);
  if (!learned) return 0;
  const TimeUs delay = std::max<TimeUs>({*learned, copy.at_least, 1});
  return copy.at_most > 0 ? std::min(delay, copy.at_most) : delay;
}

TimeUs RouteQueryLimits::back_off() const {
  const BackOff& b = route_->bounds.back_off->value;
  const double full_delay =
      std::min(static_cast<double>(b.first) * std::pow(b.factor, std::max(attempts_sent_ - 1, 0)),
               static_cast<double>(b.most));
  return static_cast<TimeUs>(full_delay *
                             (1 - b.jitter * uniform(seed_ + static_cast<std::uint64_t>(attempts_sent_))));
}

}  // namespace orchidgw::limits
