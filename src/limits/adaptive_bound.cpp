#include "limits/adaptive_bound.h"

#include <algorithm>
#include <cmath>

namespace orchidgw::limits {
namespace {

constexpr int kAnswersPerAdjustment = 16;   // a single answer tells nothing, as plans and data differ
constexpr double kLongMeanWeight = 0.05;    // weight of one adjustment in the long mean
constexpr double kToleratedSlowdown = 1.5;  // multiple of the long mean up to which the bound does not shrink
constexpr double kMinGradient = 0.5;        // one adjustment aims at no less than half the bound
constexpr double kSmoothing = 0.3;          // share of the way to the target that one adjustment goes
constexpr double kLongMeanWeightWhileSlow = 0.005;  // smaller, so that congestion is not learned as usual
// Share of the bound in use below which it does not grow: answers then tell nothing about how high it may be.
constexpr double kMinUtilization = 0.5;

}  // namespace

AdaptiveBound::AdaptiveBound(const Concurrency& concurrency)
    : concurrency_(concurrency), bound_(concurrency.most) {}

void AdaptiveBound::reconfigure(const Concurrency& concurrency) {
  concurrency_ = concurrency;
  bound_ = std::clamp<double>(bound_, concurrency.least, concurrency.most);
}

void AdaptiveBound::add_answer(double latency_ratio, int under_way) {
  ++answers_since_adjustment_;
  recent_mean_ += (latency_ratio - recent_mean_) / answers_since_adjustment_;
  if (answers_since_adjustment_ >= kAnswersPerAdjustment) adjust(under_way);
}

void AdaptiveBound::adjust(int under_way) {
  if (long_mean_ <= 0) long_mean_ = recent_mean_;
  const double gradient =
      std::clamp(kToleratedSlowdown * long_mean_ / std::max(recent_mean_, 1e-9), kMinGradient, 1.0);
  const bool utilized = under_way >= kMinUtilization * bound_;
  const double target = bound_ * gradient + (gradient >= 1 && utilized ? std::sqrt(bound_) : 0);
  bound_ = std::clamp<double>(bound_ + kSmoothing * (target - bound_), concurrency_.least, concurrency_.most);
  // Slow answers are unusual and count little in the long mean, but a lasting change must be learned.
  long_mean_ += (gradient >= 1 ? kLongMeanWeight : kLongMeanWeightWhileSlow) * (recent_mean_ - long_mean_);
  recent_mean_ = 0;
  answers_since_adjustment_ = 0;
}

}  // namespace orchidgw::limits
