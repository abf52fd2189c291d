#include "service_level/meters.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace orchidgw::service_level {
namespace {

constexpr double kEventsEnough = 5;  // fewer in a window say nothing of a share
constexpr TimeUs kEngineWindow = 10'000'000;
constexpr double kStretchMost = 20;  // one answer counts as at most this slow

}  // namespace

double Meter::faded(TimeUs passed, TimeUs window) {
  return passed <= 0 ? 1 : std::exp(-static_cast<double>(passed) / static_cast<double>(window));
}

void Meter::add(TimeUs now, TimeUs window, double value, double weight) {
  const double left = faded(now - at_, window);
  sum_ = sum_ * left + value;
  weight_ = weight_ * left + weight;
  at_ = std::max(at_, now);
}

double Meter::weight(TimeUs now, TimeUs window) const { return weight_ * faded(now - at_, window); }

std::optional<double> Meter::mean(TimeUs now, TimeUs window, double least_weight) const {
  if (weight_ <= 0 || weight(now, window) < least_weight) return std::nullopt;
  return sum_ / weight_;
}

Meters::Meters(std::vector<SignalKey> keys) {
  for (SignalKey& key : keys) {
    if (find(key) != nullptr) continue;
    watches_engines_ = watches_engines_ || key.signal == Signal::kSlowestEngine;
    watched_.push_back({std::move(key), {}});
  }
}

const Meters::Watched* Meters::find(const SignalKey& key) const {
  for (const Watched& watched : watched_)
    if (watched.key == key) return &watched;
  return nullptr;
}

void Meters::each(Signal signal, const std::string& class_name, const std::string& tenant, TimeUs now,
                  double value, double weight) {
  for (Watched& w : watched_) {
    if (w.key.signal != signal) continue;
    if (!w.key.class_name.empty() && w.key.class_name != class_name) continue;
    if (!w.key.tenant.empty() && w.key.tenant != tenant) continue;
    w.meter.add(now, w.key.window, value, weight);
  }
}

void Meters::taken(TimeUs now, const std::string& class_name, const std::string& tenant) {
  each(Signal::kArrivals, class_name, tenant, now, 1, 1);
}

void Meters::refused(TimeUs now, const std::string& class_name, const std::string& tenant) {
  each(Signal::kRefusedShare, class_name, tenant, now, 1, 1);
}

void Meters::answered(TimeUs now, const std::string& class_name, const std::string& tenant, bool late) {
  each(Signal::kRefusedShare, class_name, tenant, now, 0, 1);
  each(Signal::kLateShare, class_name, tenant, now, late ? 1 : 0, 1);
}

void Meters::attempt(TimeUs now, const EngineId& engine, double stretch) {
  const double slow = std::min(stretch, kStretchMost);
  each(Signal::kSlowdown, "", "", now, slow, 1);
  each(Signal::kSlowestEngine, "", "", now, slow, 1);  // the mean that the slowest is held against
  if (!watches_engines_) return;
  if (const auto it = by_engine_.find(engine); it != by_engine_.end())
    it->second.add(now, kEngineWindow, slow, 1);
}

void Meters::engines(const std::vector<EngineId>& listed, std::size_t in_service) {
  engines_ = listed.size();
  in_service_ = in_service;
  if (!watches_engines_) return;
  std::unordered_map<EngineId, Meter> kept;
  for (const EngineId& id : listed) {
    const auto it = by_engine_.find(id);
    kept[id] = it == by_engine_.end() ? Meter() : it->second;
  }
  by_engine_ = std::move(kept);
}

void Meters::sample(TimeUs now, std::size_t line, TimeUs line_age, TimeUs loop_lag, double buffers) {
  each(Signal::kLineLength, "", "", now, static_cast<double>(line), 1);
  each(Signal::kLineAge, "", "", now, static_cast<double>(line_age), 1);
  each(Signal::kLoopLag, "", "", now, static_cast<double>(loop_lag), 1);
  each(Signal::kBuffers, "", "", now, buffers, 1);
}

std::optional<double> Meters::value(TimeUs now, const SignalKey& key) const {
  if (key.signal == Signal::kInService) {
    if (engines_ == 0) return std::nullopt;
    return static_cast<double>(in_service_) / static_cast<double>(engines_);
  }
  const Watched* watched = find(key);
  if (watched == nullptr) return std::nullopt;
  if (key.signal == Signal::kArrivals)
    return watched->meter.weight(now, key.window) / static_cast<double>(key.window) * 1e6;
  if (key.signal == Signal::kSlowestEngine) return slowest(now, *watched);
  const bool sampled = key.signal == Signal::kLineLength || key.signal == Signal::kLineAge ||
                       key.signal == Signal::kLoopLag || key.signal == Signal::kBuffers;
  return watched->meter.mean(now, key.window, sampled ? 0 : kEventsEnough);
}

std::optional<double> Meters::slowest(TimeUs now, const Watched& watched) const {
  const auto all = watched.meter.mean(now, watched.key.window, kEventsEnough);
  if (!all || *all <= 0) return std::nullopt;
  std::optional<double> most;
  for (const auto& [id, meter] : by_engine_)
    if (const auto mean = meter.mean(now, kEngineWindow, kEventsEnough))
      most = std::max(most.value_or(0), *mean / *all);
  return most;
}

}  // namespace orchidgw::service_level
