// Draws faults of a soak from a seed and makes them, one after the other; several of these overlap.
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
  // With `crowds`, idle clients beyond a controller's places are among them.
  SoakFaults(SoakFleet& fleet, unsigned seed, bool with_idle_clients);

  void run(Instant end, std::atomic<int>& fault_count);

 private:
  struct FaultKind {
    int weight = 0;
    std::function<void()> inject;
  };

  const FaultKind& draw();
  std::size_t random_slot() { return random_() % fleet_.size(); }
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
