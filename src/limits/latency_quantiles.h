// What the attempts of one class took, as a fading histogram from 1 ms to 10 min; quantiles from it.
#pragma once

#include <memory>
#include <optional>

#include "decision/decision.h"

namespace orchidgw::limits {

class LatencyQuantiles {
 public:
  LatencyQuantiles();
  ~LatencyQuantiles();

  void add(TimeUs latency);
  // The upper edge of the bin that holds the quantile; nothing until enough was learned to tell.
  std::optional<TimeUs> at(double quantile) const;

 private:
  struct Counts;  // on Boost.Histogram, which is seen by this package's source alone
  std::unique_ptr<Counts> counts_;
  double weight_ = 0;  // of all answers, fading
  double since_fade_ = 0;
};

}  // namespace orchidgw::limits
