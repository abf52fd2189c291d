// Latency quantiles of one query class's attempts, from an exponentially decayed histogram that covers 1 ms
// to 10 min.
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
  // The upper edge of the bin that holds the quantile (0 to 1); nullopt until there are enough answers.
  std::optional<TimeUs> at(double quantile) const;

 private:
  struct Counts;  // keeps Boost.Histogram out of this header
  std::unique_ptr<Counts> counts_;
  double total_weight_ = 0;  // of all answers, decayed
  double answers_since_halving_ = 0;
};

}  // namespace orchidgw::limits
