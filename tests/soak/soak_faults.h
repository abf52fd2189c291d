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
  SoakFaults(SoakFleet& fleet, unsigned seed, bool crowds);

  void run(Instant end, std::atomic<int>& made);

 private:
  struct Kind {
    int weight = 0;
    std::function<void()> make;
  };

  const Kind& draw();
  std::size_t any_place() { return random_() % fleet_.size(); }
  milliseconds any_time(unsigned least_ms, unsigned spread_ms);
  void step_wall_clock();
  void fail_calls();
  void stand_still();
  void reload_one();
  void crowd();
  void restart_one();
  void spoil_engine();

  SoakFleet& fleet_;
  std::mt19937 random_;
  std::vector<Kind> kinds_;
  int weights_ = 0;
};

}  // namespace orchidgw::soak
