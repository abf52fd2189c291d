#include "service_level/meters.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace orchidgw::service_level {
namespace {

constexpr double kMinEvents = 5;  // with fewer events in a window a mean says nothing
constexpr TimeUs kEngineWindow = 10'000'000;
constexpr double kMaxSlowdown = 20;  // cap on what one attempt adds

}  // namespace

double Meter::decay(TimeUs passed, TimeUs window) {
  return passed <= 0 ? 1 : std::exp(-static_cast<double>(passed) / static_cast<double>(window));
}

void Meter::add(TimeUs now, TimeUs window, double value, double weight) {
  const double remaining = decay(now - last_update_, window);
  sum_ = sum_ * remaining + value;
  weight_ = weight_ * remaining + weight;
  last_update_ = std::max(last_update_, now);
}

double Meter::weight(TimeUs now, TimeUs window) const { return weight_ * decay(now - last_update_, window); }

std::optional<double> Meter::mean(TimeUs now, TimeUs window, double min_weight) const {
  if (weight_ <= 0 || weight(now, window) < min_weight) return std::nullopt;
  return sum_ / weight_;
}

Meters::Meters(std::vector<SignalKey> keys) {
  for (SignalKey& key : keys) {
    if (find(key) != nullptr) continue;
    watches_engines_ = watches_engines_ || key.signal == Signal::kSlowestEngine;
    watched_.push_back({std::move(key), {}});
  }
}

const Meters::WatchedSignal* Meters::find(const SignalKey& key) const {
  for (const WatchedSignal& watched : watched_)
    if (watched.key == key) return &watched;
  return nullptr;
}

void Meters::add_to_matching(Signal signal, const std::string& class_name, const std::string& tenant,
                             TimeUs now, double value, double weight) {
  for (WatchedSignal& watched : watched_) {
    if (watched.key.signal != signal) continue;
    if (!watched.key.class_name.empty() && watched.key.class_name != class_name) continue;
    if (!watched.key.tenant.empty() && watched.key.tenant != tenant) continue;
    watched.meter.add(now, watched.key.window, value, weight);
  }
}

void Meters::query_arrived(TimeUs now, const std::string& class_name, const std::string& tenant) {
  add_to_matching(Signal::kArrivals, class_name, tenant, now, 1, 1);
}

void Meters::query_refused(TimeUs now, const std::string& class_name, const std::string& tenant) {
  add_to_matching(Signal::kRefusedShare, class_name, tenant, now, 1, 1);
}

void Meters::query_answered(TimeUs now, const std::string& class_name, const std::string& tenant, bool late) {
  add_to_matching(Signal::kRefusedShare, class_name, tenant, now, 0, 1);
  add_to_matching(Signal::kLateShare, class_name, tenant, now, late ? 1 : 0, 1);
}

void Meters::attempt_succeeded(TimeUs now, const EngineId& engine, double slowdown) {
  const double capped = std::min(slowdown, kMaxSlowdown);
  add_to_matching(Signal::kSlowdown, "", "", now, capped, 1);
  add_to_matching(Signal::kSlowestEngine, "", "", now, capped,
                  1);  // the mean that the slowest engine is compared with
  if (!watches_engines_) return;
  if (const auto it = engine_meters_.find(engine); it != engine_meters_.end())
    it->second.add(now, kEngineWindow, capped, 1);
}

void Meters::set_engines(const std::vector<EngineId>& listed, std::size_t in_service) {
  engine_count_ = listed.size();
  in_service_count_ = in_service;
  if (!watches_engines_) return;
  std::unordered_map<EngineId, Meter> updated;
  for (const EngineId& id : listed) {
    const auto it = engine_meters_.find(id);
    updated[id] = it == engine_meters_.end() ? Meter() : it->second;
  }
  engine_meters_ = std::move(updated);
}

void Meters::sample(TimeUs now, std::size_t queue_length, TimeUs queue_age, TimeUs loop_lag, double buffers) {
  add_to_matching(Signal::kQueueLength, "", "", now, static_cast<double>(queue_length), 1);
  add_to_matching(Signal::kQueueAge, "", "", now, static_cast<double>(queue_age), 1);
  add_to_matching(Signal::kLoopLag, "", "", now, static_cast<double>(loop_lag), 1);
  add_to_matching(Signal::kBuffers, "", "", now, buffers, 1);
}

std::optional<double> Meters::value(TimeUs now, const SignalKey& key) const {
  if (key.signal == Signal::kInService) {
    if (engine_count_ == 0) return std::nullopt;
    return static_cast<double>(in_service_count_) / static_cast<double>(engine_count_);
  }
  const WatchedSignal* watched = find(key);
  if (watched == nullptr) return std::nullopt;
  if (key.signal == Signal::kArrivals)
    return watched->meter.weight(now, key.window) / static_cast<double>(key.window) * 1e6;
  if (key.signal == Signal::kSlowestEngine) return slowest_engine_ratio(now, *watched);
  const bool sampled = key.signal == Signal::kQueueLength || key.signal == Signal::kQueueAge ||
                       key.signal == Signal::kLoopLag || key.signal == Signal::kBuffers;
  return watched->meter.mean(now, key.window, sampled ? 0 : kMinEvents);
}

std::optional<double> Meters::slowest_engine_ratio(TimeUs now, const WatchedSignal& watched) const {
  const auto all = watched.meter.mean(now, watched.key.window, kMinEvents);
  if (!all || *all <= 0) return std::nullopt;
  std::optional<double> highest;
  for (const auto& [id, meter] : engine_meters_)
    if (const auto mean = meter.mean(now, kEngineWindow, kMinEvents))
      highest = std::max(highest.value_or(0), *mean / *all);
  return highest;
}

}  // namespace orchidgw::service_level
