#include "limits/route_state.h"

#include <algorithm>

namespace orchidgw::limits {
namespace {

// Returns this controller's share of a limit that the fleet divides, any other limit unchanged. The burst is
// reduced in proportion to the rate, but admits at least one query.
OptionalLocated<Rate> own_share(const OptionalLocated<Rate>& rate, const std::string& route,
                                const FleetLimits* fleet) {
  if (!rate || !rate->value.fleet) return rate;
  OptionalLocated<Rate> out = rate;
  const auto it =
      fleet != nullptr ? fleet->rates.find(route) : std::map<std::string, double>::const_iterator{};
  const double share = fleet != nullptr && it != fleet->rates.end() ? it->second : 0;
  const double fleet_rate = std::max(rate->value.per_second, 1e-9);
  out->value.burst = std::max(1.0, rate->value.burst * share / fleet_rate);
  out->value.per_second = share;
  return out;
}

OptionalLocated<Concurrency> own_share(const OptionalLocated<Concurrency>& bound, const std::string& route,
                                       const FleetLimits* fleet) {
  if (!bound || !bound->value.fleet) return bound;
  OptionalLocated<Concurrency> out = bound;
  const auto it =
      fleet != nullptr ? fleet->concurrency.find(route) : std::map<std::string, int>::const_iterator{};
  out->value.most = fleet != nullptr && it != fleet->concurrency.end() ? it->second : 0;
  out->value.least = std::min(out->value.least, out->value.most);
  return out;
}

void set_rate(RouteState& state, TimeUs now, const OptionalLocated<Rate>& rate) {
  const bool first_rate = !state.rate;
  state.rate.reset();
  if (rate) state.rate = rate->value;
  if (!rate || rate->value.per_second <= 0) return state.bucket.reset();
  const bool fleet = rate->value.fleet;
  if (state.bucket)
    return fleet ? state.bucket->change_keeping_tokens(now, rate->value)
                 : state.bucket->reconfigure(rate->value);
  state.bucket.emplace(rate->value);
  // Without this, each lease that follows a time without one would bring a full bucket.
  if (fleet && !first_rate) state.bucket->drain(now);
}

void set_concurrency(RouteState& state, const OptionalLocated<Concurrency>& concurrency) {
  state.concurrency.reset();
  if (concurrency) state.concurrency = concurrency->value;
  if (!concurrency || !concurrency->value.adaptive()) return state.adaptive.reset();
  if (state.adaptive) return state.adaptive->reconfigure(concurrency->value);
  state.adaptive.emplace(concurrency->value);
}

void set_retries(RouteState& state, TimeUs now, const OptionalLocated<RetryBudgetSettings>& retries) {
  if (!retries) return state.retries.reset();
  if (state.retries) return state.retries->reconfigure(now, retries->value);
  state.retries = std::make_unique<RetryBudget>(retries->value);
}

}  // namespace

void apply_bounds(RouteState& state, TimeUs now, const Bounds& bounds, double scale,
                  const FleetLimits* fleet) {
  OptionalLocated<Rate> rate = own_share(bounds.rate, state.name, fleet);
  if (rate) rate->value.per_second *= scale;
  OptionalLocated<Concurrency> concurrency = own_share(bounds.concurrency, state.name, fleet);
  if (concurrency && concurrency->value.most > 0) {
    Concurrency& c = concurrency->value;
    c.most = std::max(1, static_cast<int>(c.most * scale));
    c.least = std::min(c.least, c.most);
  }
  set_rate(state, now, rate);
  set_concurrency(state, concurrency);
  set_retries(state, now, bounds.retries);
  state.max_queue_size = bounds.queue_size ? bounds.queue_size->value : kDefaultQueueSize;
}

}  // namespace orchidgw::limits
