#include "limits/adaptive_bound.h"

#include <algorithm>
#include <cmath>

namespace orchidgw::limits {
namespace {

constexpr int kAnswersPerStep = 16;     // one answer alone says nothing: plans and data differ
constexpr double kUsualWeight = 0.05;   // of one step in the long mean
constexpr double kTolerated = 1.5;      // x the usual before the bound shrinks
constexpr double kGradientLeast = 0.5;  // one step takes no more than half of what is over
constexpr double kSmooth = 0.3;         // part of the way that one step goes
constexpr double kSlowWeight = 0.005;   // the same while answers are slow, lest a jam pass for usual
constexpr double kUsedEnough = 0.5;     // of the bound: below that nothing is learned of its height

}  // namespace

AdaptiveBound::AdaptiveBound(const Concurrency& terms) : terms_(terms), bound_(terms.most) {}

void AdaptiveBound::change(const Concurrency& terms) {
  terms_ = terms;
  bound_ = std::clamp<double>(bound_, terms.least, terms.most);
}

void AdaptiveBound::learn(double stretch, int under_way) {
  ++answers_;
  recent_ += (stretch - recent_) / answers_;
  if (answers_ >= kAnswersPerStep) step(under_way);
}

void AdaptiveBound::step(int under_way) {
  if (usual_ <= 0) usual_ = recent_;
  const double gradient = std::clamp(kTolerated * usual_ / std::max(recent_, 1e-9), kGradientLeast, 1.0);
  const bool used = under_way >= kUsedEnough * bound_;
  const double wanted = bound_ * gradient + (gradient >= 1 && used ? std::sqrt(bound_) : 0);
  bound_ = std::clamp<double>(bound_ + kSmooth * (wanted - bound_), terms_.least, terms_.most);
  // What answers take while they are slow is not what they usually take; but it may become so.
  usual_ += (gradient >= 1 ? kUsualWeight : kSlowWeight) * (recent_ - usual_);
  recent_ = 0;
  answers_ = 0;
}

}  // namespace orchidgw::limits
