// A rate with a burst, as the generic cell rate algorithm keeps it (ITU-T I.371): one time for each bucket.
#pragma once

#include <algorithm>
#include <cmath>

#include "limits/route.h"

namespace orchidgw::limits {

class TokenBucket {
 public:
  explicit TokenBucket(const Rate& rate) : rate_(rate) {}

  // New terms; what was taken stays taken.
  void change(const Rate& rate) { rate_ = rate; }

  // New terms of a fleet's: a larger bucket begins with what is in it, a smaller one spills. So tokens that
  // another controller's bucket gave up are never there twice.
  void change_level(TimeUs now, const Rate& rate) {
    const double missing = static_cast<double>(std::max<TimeUs>(next_full_ - now, 0)) / step();
    const double level = std::min(rate_.burst - missing, rate.burst);
    rate_ = rate;
    next_full_ = now + static_cast<TimeUs>(std::ceil((rate_.burst - level) * step()));
  }

  void empty(TimeUs now) { next_full_ = now + static_cast<TimeUs>(std::ceil(rate_.burst * step())); }

  // When the next query may pass, at the earliest; `now` or before: at once. Only with a rate above zero.
  TimeUs next_at() const { return next_full_ - static_cast<TimeUs>((rate_.burst - 1) * step()); }
  bool ready(TimeUs now) const { return rate_.per_second > 0 && next_at() <= now; }
  void take(TimeUs now) { next_full_ = std::max(next_full_, now) + static_cast<TimeUs>(std::ceil(step())); }

 private:
  double step() const { return 1e6 / rate_.per_second; }  // microseconds a token

  Rate rate_;
  TimeUs next_full_ = 0;  // when the bucket will be full again
};

}  // namespace orchidgw::limits
