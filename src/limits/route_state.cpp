#include "limits/route_state.h"

#include <algorithm>

namespace orchidgw::limits {
namespace {

void set_rate(RouteState& state, const Maybe<Rate>& rate) {
  state.rate.reset();
  if (rate) state.rate = rate->value;
  if (!rate || rate->value.per_second <= 0) return state.bucket.reset();
  if (state.bucket) return state.bucket->change(rate->value);
  state.bucket.emplace(rate->value);
}

void set_concurrency(RouteState& state, const Maybe<Concurrency>& concurrency) {
  state.concurrency.reset();
  if (concurrency) state.concurrency = concurrency->value;
  if (!concurrency || !concurrency->value.adaptive()) return state.adaptive.reset();
  if (state.adaptive) return state.adaptive->change(concurrency->value);
  state.adaptive.emplace(concurrency->value);
}

void set_retries(RouteState& state, TimeUs now, const Maybe<RetryShare>& retries) {
  if (!retries) return state.retries.reset();
  if (state.retries) return state.retries->change(now, retries->value);
  state.retries = std::make_unique<RetryBudget>(retries->value);
}

}  // namespace

void set_terms(RouteState& state, TimeUs now, const Bounds& bounds, double scale) {
  Maybe<Rate> rate = bounds.rate;
  if (rate) rate->value.per_second *= scale;
  Maybe<Concurrency> concurrency = bounds.concurrency;
  if (concurrency && concurrency->value.most > 0) {
    Concurrency& c = concurrency->value;
    c.most = std::max(1, static_cast<int>(c.most * scale));
    c.least = std::min(c.least, c.most);
  }
  set_rate(state, rate);
  set_concurrency(state, concurrency);
  set_retries(state, now, bounds.retries);
  state.line_most = bounds.line ? bounds.line->value : kLineUnlessStated;
}

}  // namespace orchidgw::limits
