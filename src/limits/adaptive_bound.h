// A concurrency limit that adapts to latency. Based on the gradient of TCP Vegas (Brakmo, Peterson 1995) as
// it is used for servers: the ratio of the long-term mean latency to the recent mean tells how far the bound
// has to come down; while the recent mean is no higher than usual, the bound grows by its own square root.
#pragma once

#include "limits/route.h"

namespace orchidgw::limits {

class AdaptiveBound {
 public:
  explicit AdaptiveBound(const Concurrency& concurrency);

  // Keeps what was learned from latencies and clamps the bound to the new least and most.
  void reconfigure(const Concurrency& concurrency);

  int bound() const { return static_cast<int>(bound_); }
  // Records an answer that took `latency_ratio` times the expected time (any unit, but always the same one)
  // while `under_way` queries were under way.
  void add_answer(double latency_ratio, int under_way);

 private:
  void adjust(int under_way);

  Concurrency concurrency_;
  double bound_;
  double long_mean_ = 0;    // of latency ratios; 0: no adjustment yet
  double recent_mean_ = 0;  // of the answers since the last adjustment
  int answers_since_adjustment_ = 0;
};

}  // namespace orchidgw::limits
