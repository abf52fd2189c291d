// A bound on queries under way that follows latency. After the gradient of TCP Vegas (Brakmo, Peterson 1995)
// as it is used for servers: the long mean of how long answers take, over the short one, says how far the
// bound is too high; where the short mean is no longer than usual the bound grows by the root of itself.
#pragma once

#include "limits/route.h"

namespace orchidgw::limits {

class AdaptiveBound {
 public:
  explicit AdaptiveBound(const Concurrency& terms);

  // New terms; what was learned stays, the bound is brought within them.
  void change(const Concurrency& terms);

  int bound() const { return static_cast<int>(bound_); }
  // An answer took `stretch` times what was expected (any unit, the same each time), with so many under way.
  void learn(double stretch, int under_way);

 private:
  void step(int under_way);

  Concurrency terms_;
  double bound_;
  double usual_ = 0;   // long mean; 0: nothing learned
  double recent_ = 0;  // mean of the answers since the last step
  int answers_ = 0;
};

}  // namespace orchidgw::limits
