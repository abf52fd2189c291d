// The counters and current limits of one route. They carry over to the route of the same name in a new file.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string>

#include "limits/adaptive_bound.h"
#include "limits/fleet_share.h"
#include "limits/latency_quantiles.h"
#include "limits/retry_budget.h"
#include "limits/token_bucket.h"

namespace orchidgw::limits {

struct RouteState {
  std::string name;
  std::uint64_t serial = 0;  // unique in the process: gives an order that is the same in each run
  int under_way = 0;         // admitted queries that are unanswered or have an attempt on an engine
  std::optional<Rate> rate;
  std::optional<TokenBucket> bucket;
  std::optional<Concurrency> concurrency;
  std::optional<AdaptiveBound> adaptive;
  std::unique_ptr<RetryBudget> retries;  // null: the route states none. A pointer since most routes have none
  int max_queue_size = kDefaultQueueSize;
  std::list<QueryId> queue;    // in order of arrival; ids of queries that left are skipped later
  int waiting = 0;             // queries in `queue` that still wait
  TimeUs next_check_at = 0;    // when the queue is checked next; 0: at no known time
  double mean_query_time = 0;  // moving average in us of time under way; to estimate waits
  // Totals for operators.
  std::uint64_t admitted = 0, queued = 0, refused = 0;
  // Arrivals per second, exponentially decayed over a few seconds. The demand for a share of a fleet's limit.
  double arrival_rate = 0;
  TimeUs last_arrival_at = 0;

  // Whether a limit of zero refuses every query.
  bool closed() const { return (rate && rate->per_second <= 0) || (concurrency && concurrency->most <= 0); }
  int max_under_way() const { return adaptive ? adaptive->bound() : concurrency ? concurrency->most : 0; }
  bool has_free_slot() const { return !concurrency || under_way < max_under_way(); }
  bool has_token(TimeUs now) const { return !bucket || bucket->ready(now); }
};

// Applies the limits of a route to its state, rates and concurrency multiplied by `scale` (above 0 to 1; a
// limit above zero stays above zero). Counters stay where the route keeps that kind of limit.
// `fleet`: this controller's share of the limits that the fleet divides; null: it has none yet, and these
// limits are zero.
void apply_bounds(RouteState& state, TimeUs now, const Bounds& bounds, double scale,
                  const FleetLimits* fleet);

}  // namespace orchidgw::limits
