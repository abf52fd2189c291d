#include "limits/latency_quantiles.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <tuple>
#include <vector>

namespace orchidgw::limits {
namespace {

constexpr unsigned kBins = 96;  // a factor of 1.15 each
constexpr double kShortest = 1e3, kLongest = 600e6;
constexpr double kFadeAfter = 1000;  // answers, after which all so far count half
constexpr double kEnough = 50;       // answers: fewer say nothing about a far quantile

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Storage = boost::histogram::storage_adaptor<std::vector<float>>;

}  // namespace

struct LatencyQuantiles::Counts {
  boost::histogram::histogram<std::tuple<Axis>, Storage> bins{
      std::make_tuple(Axis(kBins, kShortest, kLongest)), Storage()};
};

LatencyQuantiles::LatencyQuantiles() : counts_(std::make_unique<Counts>()) {}
LatencyQuantiles::~LatencyQuantiles() = default;

void LatencyQuantiles::add(TimeUs latency) {
  counts_->bins(std::clamp(static_cast<double>(latency), kShortest, kLongest * 0.999));
  weight_ += 1;
  if (++since_fade_ < kFadeAfter) return;
  counts_->bins *= 0.5;
  weight_ *= 0.5;
  since_fade_ = 0;
}

std::optional<TimeUs> LatencyQuantiles::at(double quantile) const {
  if (weight_ < kEnough) return std::nullopt;
  double below = 0;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    below += static_cast<double>(counts_->bins.at(bin));
    if (below >= quantile * weight_) return static_cast<TimeUs>(counts_->bins.axis().bin(bin).upper());
  }
  return static_cast<TimeUs>(kLongest);
}

}  // namespace orchidgw::limits
