// Injects random faults drawn from a seed, one after the other. A soak runs several of these at once, so that
// faults overlap.
#pragma once

#include <atomic>
#include <functional>
#include <random>
#include <vector>

#include "soak_audit.h"
#include "soak_fleet.h"

namespace orchidgw::soak {

class SoakFaults {
 public:
  // With `with_idle_clients`, the faults include more idle clients than a controller has client slots.
  SoakFaults(SoakFleet& fleet, unsigned seed, bool with_idle_clients);

  // Injects faults until `end` and adds their number to `fault_count`.
  void run(Instant end, std::atomic<int>& fault_count);

 private:
  struct FaultKind {
    int weight = 0;
    std::function<void()> inject;
  };

  const FaultKind& draw();
  std::size_t random_slot() { return random_() % fleet_.size(); }
  // At least `min_ms`, less than `min_ms + range_ms`.
  milliseconds random_duration(unsigned min_ms, unsigned range_ms);
  void step_wall_clock();
  void fail_system_calls();
  void pause_controller();
  void reload_controller();
  void add_idle_clients();
  void restart_controller();
  void inject_engine_fault();

  SoakFleet& fleet_;
  std::mt19937 random_;
  std::vector<FaultKind> kinds_;
  int total_weight_ = 0;
};

}  // namespace orchidgw::soak
