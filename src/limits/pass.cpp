#include "limits/pass.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace orchidgw::limits {
namespace {

// SplitMix64 (Steele, Lea, Flood 2014): one number in [0, 1) for each seed.
double uniform(std::uint64_t seed) {
  std::uint64_t x = seed + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1p-53;
}

}  // namespace

Pass::Pass(std::shared_ptr<const RouteLimits> limits, std::shared_ptr<RouteState> state,
           std::shared_ptr<RetryBudget> overall, const LatencyQuantiles* latencies, bool may_repeat,
           std::uint64_t seed, TimeUs taken_at)
    : limits_(std::move(limits)),
      state_(std::move(state)),
      overall_(std::move(overall)),
      latencies_(latencies),
      may_repeat_(may_repeat),
      seed_(seed),
      taken_at_(taken_at) {}

void Pass::let_in(TimeUs now) {
  if (state_->retries) state_->retries->query_let_in(now);
  if (overall_) overall_->query_let_in(now);
}

void Pass::attempt_sent(TimeUs now) {
  if (sent_++ == 0) return;
  if (state_->retries) state_->retries->attempt_made(now);
  if (overall_) overall_->attempt_made(now);
}

void Pass::attempt_ended(TimeUs now) {
  if (limits_->bounds.back_off) next_send_at_ = now + back_off();
}

bool Pass::forbid(Reason reason) const {
  forbidden_ = reason;
  return false;
}

bool Pass::budgets_allow(TimeUs now) const {
  const bool allowed = (!state_->retries || state_->retries->allows_another(now)) &&
                       (!overall_ || overall_->allows_another(now));
  return allowed || forbid(Reason::kRetryShare);
}

bool Pass::may_send(TimeUs now, int sent, int in_flight) const {
  if (sent == 0) return true;
  const Bounds& b = limits_->bounds;
  if (b.attempts && sent >= b.attempts->value) return forbid(Reason::kAttempts);
  const bool copies = b.second_copy && b.second_copy->value.when != SecondCopy::When::kNever;
  // Where the file is silent on copies, the settings and the module's own rules hold.
  if (in_flight > 0 && b.second_copy && !copies) return forbid(Reason::kAttempts);
  if (in_flight == 0 && now < next_send_at_) return false;
  return budgets_allow(now);
}

bool Pass::may_follow(TimeUs now, OutcomeKind last, int sent) const {
  const Bounds& b = limits_->bounds;
  if (b.attempts && sent >= b.attempts->value) return forbid(Reason::kAttempts);
  if (b.retry_on && !b.retry_on->value.has(last)) return forbid(Reason::kOutcome);
  return budgets_allow(now);
}

TimeUs Pass::stop_at(TimeUs now, TimeUs deadline) const {
  const auto& timeout = limits_->bounds.attempt_timeout;
  return timeout ? std::min(deadline, now + timeout->value) : deadline;
}

TimeUs Pass::hold_until(TimeUs last) const {
  const auto& hold = limits_->bounds.longest_hold;
  return hold ? std::min(last, taken_at_ + hold->value) : last;
}

bool Pass::copy_due(TimeUs now, TimeUs sent_at, int sent) const {
  const Bounds& b = limits_->bounds;
  if (!may_repeat_ || sent != 1 || !b.second_copy) return false;  // one copy: a third would only add load
  if (b.attempts && sent >= b.attempts->value) return false;
  const TimeUs delay = copy_delay(b.second_copy->value);
  return delay > 0 && now >= sent_at + delay && budgets_allow(now);
}

// 0: none; a quantile gives none before its class was learned.
TimeUs Pass::copy_delay(const SecondCopy& copy) const {
  if (copy.when == SecondCopy::When::kNever) return 0;
  if (copy.when == SecondCopy::When::kDelay) return copy.delay;
  const auto learned = latencies_->at(copy.quantile);
  if (!learned) return 0;
  const TimeUs delay = std::max<TimeUs>({*learned, copy.at_least, 1});
  return copy.at_most > 0 ? std::min(delay, copy.at_most) : delay;
}

TimeUs Pass::back_off() const {
  const BackOff& b = limits_->bounds.back_off->value;
  const double whole = std::min(static_cast<double>(b.first) * std::pow(b.factor, std::max(sent_ - 1, 0)),
                                static_cast<double>(b.most));
  return static_cast<TimeUs>(whole * (1 - b.jitter * uniform(seed_ + static_cast<std::uint64_t>(sent_))));
}

}  // namespace orchidgw::limits
