#include "limits/latency_quantiles.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <tuple>
#include <vector>

namespace orchidgw::limits {
namespace {

constexpr unsigned kBins = 96;  // each wider by a factor of 1.15 than the one before
constexpr double kMinLatencyUs = 1e3, kMaxLatencyUs = 600e6;
constexpr double kAnswersPerHalving = 1000;  // after that many answers the weight of all so far is halved
constexpr double kMinAnswers = 50;           // fewer tell nothing about a high quantile

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Storage = boost::histogram::storage_adaptor<std::vector<float>>;

}  // namespace

struct LatencyQuantiles::Counts {
  boost::histogram::histogram<std::tuple<Axis>, Storage> bins{
      std::make_tuple(Axis(kBins, kMinLatencyUs, kMaxLatencyUs)), Storage()};
};

LatencyQuantiles::LatencyQuantiles() : counts_(std::make_unique<Counts>()) {}
LatencyQuantiles::~LatencyQuantiles() = default;

void LatencyQuantiles::add(TimeUs latency) {
  counts_->bins(std::clamp(static_cast<double>(latency), kMinLatencyUs, kMaxLatencyUs * 0.999));
  total_weight_ += 1;
  if (++answers_since_halving_ < kAnswersPerHalving) return;
  counts_->bins *= 0.5;
  total_weight_ *= 0.5;
  answers_since_halving_ = 0;
}

std::optional<TimeUs> LatencyQuantiles::at(double quantile) const {
  if (total_weight_ < kMinAnswers) return std::nullopt;
  double cumulative_weight = 0;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    cumulative_weight += static_cast<double>(counts_->bins.at(bin));
    if (cumulative_weight >= quantile * total_weight_)
      return static_cast<TimeUs>(counts_->bins.axis().bin(bin).upper());
  }
  return static_cast<TimeUs>(kMaxLatencyUs);
}

}  // namespace orchidgw::limits
