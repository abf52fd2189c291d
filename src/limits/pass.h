// The limits that one query began with, and what counts against them: what the module's guard asks. Kept for
// as long as the query has an attempt anywhere.
#pragma once

#include <memory>

#include "base/reason.h"
#include "limits/limit_set.h"
#include "limits/route_state.h"

namespace orchidgw::limits {

class Pass final : public QueryLimits {
 public:
  // `overall`: null where the file states no budget over all routes.
  Pass(std::shared_ptr<const RouteLimits> limits, std::shared_ptr<RouteState> state,
       std::shared_ptr<RetryBudget> overall, const LatencyQuantiles* latencies, bool may_repeat,
       std::uint64_t seed, TimeUs taken_at);

  const RouteLimits& limits() const { return *limits_; }
  const std::shared_ptr<RouteState>& state() const { return state_; }
  TimeUs taken_at() const { return taken_at_; }

  // What happened to the query.
  void let_in(TimeUs now);
  void attempt_sent(TimeUs now);
  void attempt_ended(TimeUs now);

  bool may_send(TimeUs now, int sent, int in_flight) const override;
  bool may_follow(TimeUs now, OutcomeKind last, int sent) const override;
  TimeUs next_send_at() const override { return next_send_at_; }
  TimeUs stop_at(TimeUs now, TimeUs deadline) const override;
  TimeUs hold_until(TimeUs last) const override;
  bool copy_due(TimeUs now, TimeUs sent_at, int sent) const override;

  // Why another attempt was last forbidden; kNone: it was not.
  Reason forbidden() const { return forbidden_; }

 private:
  bool budgets_allow(TimeUs now) const;
  TimeUs back_off() const;
  TimeUs copy_delay(const SecondCopy& copy) const;
  bool forbid(Reason reason) const;

  std::shared_ptr<const RouteLimits> limits_;
  std::shared_ptr<RouteState> state_;
  std::shared_ptr<RetryBudget> overall_;
  const LatencyQuantiles* latencies_;  // of the query's class; outlives the pass
  bool may_repeat_;                    // its class
  std::uint64_t seed_;
  TimeUs taken_at_;
  TimeUs next_send_at_ = 0;
  int sent_ = 0;
  mutable Reason forbidden_ = Reason::kNone;
};

}  // namespace orchidgw::limits
