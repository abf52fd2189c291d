// What is counted for one route: carried over to a new file where the route's name stays.
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
  std::uint64_t serial = 0;  // unique for the life of the program: an order that is the same in every run
  int under_way = 0;         // queries let in that still have something anywhere
  std::optional<Rate> rate;
  std::optional<TokenBucket> bucket;
  std::optional<Concurrency> concurrency;
  std::optional<AdaptiveBound> adaptive;
  std::unique_ptr<RetryBudget> retries;  // null: the route states none. A pointer, as most routes state none
  int line_most = kLineUnlessStated;
  std::list<QueryId> line;  // those that wait, first come first; ids that are over are skipped
  int waiting = 0;          // of them, those that do wait
  TimeUs wakes_at = 0;      // when the line is looked at next; 0: not by time alone
  double usual_time = 0;    // us a query is under way, fading mean: for wait estimates
  // Numbers for operators.
  std::uint64_t let_in = 0, held = 0, refused = 0;
  // Of limits that a fleet divides: arrivals a second, fading over a few, for what is asked of it.
  double arrivals = 0;
  TimeUs arrived_at = 0;

  bool closed() const { return (rate && rate->per_second <= 0) || (concurrency && concurrency->most <= 0); }
  int place_most() const { return adaptive ? adaptive->bound() : concurrency ? concurrency->most : 0; }
  bool place_free() const { return !concurrency || under_way < place_most(); }
  bool token_ready(TimeUs now) const { return !bucket || bucket->ready(now); }
};

// Brings a state to the terms of a file, rates and bounds scaled (above 0 to 1; what is open stays open);
// what was counted stays where its kind of limit stays.
// `fleet`: what a fleet leaves of limits that it divides; null: it leaves nothing, as none is in force yet.
void set_terms(RouteState& state, TimeUs now, const Bounds& bounds, double scale, const FleetLimits* fleet);

}  // namespace orchidgw::limits
