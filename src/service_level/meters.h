// Measures the signals: one exponentially decaying meter for each signal that a condition names. No I/O, no
// clock. Memory is bounded by the conditions of the operator file and by the engines in the list.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "service_level/level.h"

namespace orchidgw::service_level {

// Where a ladder reads signals from: meters, or a recording.
class SignalView {
 public:
  virtual ~SignalView() = default;
  // In the signal's unit; nothing: there is too little data for a value.
  virtual std::optional<double> value(TimeUs now, const SignalKey& key) const = 0;
};

// A weighted mean with exponential decay: data that is one window old counts 1/e.
class Meter {
 public:
  void add(TimeUs now, TimeUs window, double value, double weight);
  // Nothing: less than `min_weight` is left.
  std::optional<double> mean(TimeUs now, TimeUs window, double min_weight) const;
  double weight(TimeUs now, TimeUs window) const;

 private:
  static double decay(TimeUs passed, TimeUs window);
  double sum_ = 0;
  double weight_ = 0;
  TimeUs last_update_ = 0;
};

class Meters final : public SignalView {
 public:
  explicit Meters(std::vector<SignalKey> keys);

  // Counts a query that arrives.
  void query_arrived(TimeUs now, const std::string& class_name, const std::string& tenant);
  // Not for a query that a level shed, which counts neither as refused nor as answered: the level would keep
  // itself active, or look better for what it sheds.
  void query_refused(TimeUs now, const std::string& class_name, const std::string& tenant);
  void query_answered(TimeUs now, const std::string& class_name, const std::string& tenant, bool late);
  // A successful attempt; `slowdown`: its time / its expected time (above 0).
  void attempt_succeeded(TimeUs now, const EngineId& engine, double slowdown);
  // Replaces the list of known engines; `in_service` of them are in service.
  void set_engines(const std::vector<EngineId>& listed, std::size_t in_service);
  // The values that are read at each sample; times in microseconds, `buffers` as a share.
  void sample(TimeUs now, std::size_t queue_length, TimeUs queue_age, TimeUs loop_lag, double buffers);

  std::optional<double> value(TimeUs now, const SignalKey& key) const override;

 private:
  struct WatchedSignal {
    SignalKey key;
    Meter meter;
  };
  // Adds to each meter of the signal whose class and tenant match.
  void add_to_matching(Signal signal, const std::string& class_name, const std::string& tenant, TimeUs now,
                       double value, double weight);
  const WatchedSignal* find(const SignalKey& key) const;
  // Mean slowdown of the slowest engine / that of all; nothing: too little data.
  std::optional<double> slowest_engine_ratio(TimeUs now, const WatchedSignal& watched) const;

  std::vector<WatchedSignal> watched_;
  bool watches_engines_ = false;
  std::unordered_map<EngineId, Meter> engine_meters_;
  std::size_t engine_count_ = 0;
  std::size_t in_service_count_ = 0;
};

}  // namespace orchidgw::service_level
