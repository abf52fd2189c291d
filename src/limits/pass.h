// The limits that one query started with, and its usage of them. The decision module asks it before each
// attempt. Kept for as long as the query has an attempt on any engine.
#pragma once

#include <memory>

#include "base/reason.h"
#include "limits/limit_set.h"
#include "limits/route_state.h"

namespace orchidgw::limits {

class RouteQueryLimits final : public QueryLimits {
 public:
  // `overall_retry_budget`: null if the file states none over all routes.
  RouteQueryLimits(std::shared_ptr<const RouteLimits> route, std::shared_ptr<RouteState> state,
                   std::shared_ptr<RetryBudget> overall_retry_budget, const LatencyQuantiles* latencies,
                   bool class_allows_repeats, std::uint64_t seed, TimeUs accepted_at);

  const RouteLimits& route() const { return *route_; }
  const std::shared_ptr<RouteState>& state() const { return state_; }
  TimeUs accepted_at() const { return accepted_at_; }

  // Events of the query, in order of time.
  void on_admitted(TimeUs now);
  void attempt_sent(TimeUs now);
  void attempt_ended(TimeUs now);

  bool may_send(TimeUs now, int sent, int in_flight) const override;
  bool may_follow(TimeUs now, OutcomeKind last, int sent) const override;
  TimeUs next_send_at() const override { return next_send_at_; }
  TimeUs stop_at(TimeUs now, TimeUs deadline) const override;
  TimeUs hold_until(TimeUs last) const override;
  bool second_copy_due(TimeUs now, TimeUs sent_at, int sent) const override;

  // Why another attempt was last denied; kNone: it never was.
  Reason retry_denial_reason() const { return retry_denial_reason_; }

 private:
  bool retry_budgets_allow(TimeUs now) const;
  TimeUs back_off() const;
  TimeUs second_copy_delay(const SecondCopy& copy) const;
  bool deny_retry(Reason reason) const;

  std::shared_ptr<const RouteLimits> route_;
  std::shared_ptr<RouteState> state_;
  std::shared_ptr<RetryBudget> overall_retry_budget_;
  const LatencyQuantiles* latencies_;  // of the query's class; outlives this object
  bool class_allows_repeats_;
  std::uint64_t seed_;
  TimeUs accepted_at_;
  TimeUs next_send_at_ = 0;
  int attempts_sent_ = 0;
  mutable Reason retry_denial_reason_ = Reason::kNone;
};

}  // namespace orchidgw::limits
