// The test's side of the fault library: one process's faults, set while it runs.
#pragma once

#include <filesystem>
#include <map>
#include <string>

#include "fault_page.h"

namespace orchidgw::faults {

// What a process needs in its environment to be started with the fault library.
std::map<std::string, std::string> preload_environment();

class FaultSwitch {
 public:
  FaultSwitch();  // no fault is set
  ~FaultSwitch();
  FaultSwitch(const FaultSwitch&) = delete;
  FaultSwitch& operator=(const FaultSwitch&) = delete;

  // To be added to the environment of the process that this is for.
  std::map<std::string, std::string> environment() const;

  void step_wall_clock(std::int64_t by_us) { page_->wall_offset_us += by_us; }
  void set_wall_clock(std::int64_t offset_us) { page_->wall_offset_us = offset_us; }
  void set_seed(std::uint64_t seed) { page_->seed = seed; }
  void set_rate(CallFault fault, std::uint32_t per_million) {
    page_->per_million[static_cast<std::size_t>(fault)] = per_million;
  }
  void clear_rates();
  std::uint64_t made(CallFault fault) const { return page_->made[static_cast<std::size_t>(fault)]; }

 private:
  std::filesystem::path path_;
  FaultPage* page_ = nullptr;
};

}  // namespace orchidgw::faults
