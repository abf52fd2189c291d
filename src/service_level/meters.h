// The signals as they are measured: one meter for each that a condition names, fading over its window. No
// I/O, no clock. Bounded by the conditions of the file, and by the engines in the list.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "service_level/level.h"

namespace orchidgw::service_level {

// Where the machine reads signals: from meters, or from a recording.
class SignalView {
 public:
  virtual ~SignalView() = default;
  // Nothing: too little was seen to tell.
  virtual std::optional<double> value(TimeUs now, const SignalKey& key) const = 0;
};

// A quotient of two sums that fade: what happened a window ago counts 1/e.
class Meter {
 public:
  void add(TimeUs now, TimeUs window, double value, double weight);
  std::optional<double> mean(TimeUs now, TimeUs window, double least_weight) const;
  double weight(TimeUs now, TimeUs window) const;

 private:
  static double faded(TimeUs passed, TimeUs window);
  double sum_ = 0;
  double weight_ = 0;
  TimeUs at_ = 0;
};

class Meters final : public SignalView {
 public:
  explicit Meters(std::vector<SignalKey> keys);

  // One query, by its class and tenant.
  void taken(TimeUs now, const std::string& class_name, const std::string& tenant);
  // Not one that a level turned away: it is neither refused nor answered, lest the level feed on itself or
  // look better for what it sheds.
  void refused(TimeUs now, const std::string& class_name, const std::string& tenant);
  void answered(TimeUs now, const std::string& class_name, const std::string& tenant, bool late);
  // An attempt that ended well, with how long it should have taken (above 0).
  void attempt(TimeUs now, const EngineId& engine, double stretch);
  void engines(const std::vector<EngineId>& listed, std::size_t in_service);
  // Read once a sample.
  void sample(TimeUs now, std::size_t line, TimeUs line_age, TimeUs loop_lag, double buffers);

  std::optional<double> value(TimeUs now, const SignalKey& key) const override;

 private:
  struct Watched {
    SignalKey key;
    Meter meter;
  };
  void each(Signal signal, const std::string& class_name, const std::string& tenant, TimeUs now, double value,
            double weight);
  const Watched* find(const SignalKey& key) const;
  std::optional<double> slowest(TimeUs now, const Watched& watched) const;

  std::vector<Watched> watched_;
  bool watches_engines_ = false;
  std::unordered_map<EngineId, Meter> by_engine_;
  std::size_t engines_ = 0;
  std::size_t in_service_ = 0;
};

}  // namespace orchidgw::service_level
