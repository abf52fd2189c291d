// A token bucket in the form of the generic cell rate algorithm (ITU-T I.371): its only state is one time.
#pragma once

#include <algorithm>
#include <cmath>

#include "limits/route.h"

namespace orchidgw::limits {

class TokenBucket {
 public:
  explicit TokenBucket(const Rate& rate) : rate_(rate) {}

  // Changes rate and burst; tokens that were taken stay taken.
  void reconfigure(const Rate& rate) { rate_ = rate; }

  // Changes rate and burst, but keeps the number of tokens: a larger bucket gains none, a smaller one drops
  // the excess. For a fleet's shares: tokens that another controller's bucket gave up never exist twice.
  void change_keeping_tokens(TimeUs now, const Rate& rate) {
    const double missing = static_cast<double>(std::max<TimeUs>(full_at_ - now, 0)) / token_interval_us();
    const double tokens = std::min(rate_.burst - missing, rate.burst);
    rate_ = rate;
    full_at_ = now + static_cast<TimeUs>(std::ceil((rate_.burst - tokens) * token_interval_us()));
  }

  // Removes all tokens.
  void drain(TimeUs now) {
    full_at_ = now + static_cast<TimeUs>(std::ceil(rate_.burst * token_interval_us()));
  }

  // When the next query may pass at the earliest; `now` or before: at once. Only with a rate above zero.
  TimeUs next_token_at() const {
    return full_at_ - static_cast<TimeUs>((rate_.burst - 1) * token_interval_us());
  }
  bool ready(TimeUs now) const { return rate_.per_second > 0 && next_token_at() <= now; }
  void take(TimeUs now) {
    full_at_ = std::max(full_at_, now) + static_cast<TimeUs>(std::ceil(token_interval_us()));
  }

 private:
  double token_interval_us() const { return 1e6 / rate_.per_second; }  // microseconds per token

  Rate rate_;
  TimeUs full_at_ = 0;  // when the bucket will be full again
};

}  // namespace orchidgw::limits
