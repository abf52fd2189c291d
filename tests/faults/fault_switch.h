// The test's side of the fault library: controls the faults of one process while it runs.
#pragma once

#include <filesystem>
#include <map>
#include <string>

#include "fault_page.h"

namespace orchidgw::faults {

// The environment variables with which a process is started with the fault library preloaded.
std::map<std::string, std::string> preload_environment();

// Owns the file of the FaultPage that it shares with the process, and removes it at the end.
class FaultInjector {
 public:
  // No fault is set. Throws std::runtime_error if the shared file cannot be created or mapped.
  FaultInjector();
  ~FaultInjector();
  FaultInjector(const FaultInjector&) = delete;
  FaultInjector& operator=(const FaultInjector&) = delete;

  // To be added to the environment of the process under test.
  std::map<std::string, std::string> environment() const;

  // Moves the wall clock on from its present offset; a negative step moves it back.
  void step_wall_clock(std::int64_t by_us) { page_->wall_offset_us += by_us; }
  // Sets the offset of the wall clock from the real one.
  void set_wall_clock(std::int64_t offset_us) { page_->wall_offset_us = offset_us; }
  void set_seed(std::uint64_t seed) { page_->seed = seed; }
  void set_rate(CallFault fault, std::uint32_t per_million) {
    page_->per_million[static_cast<std::size_t>(fault)] = per_million;
  }
  // From now on open(2) fails for paths that end with this text alone, at the rate of kOpenFails.
  void set_open_path_end(const std::string& text);
  void clear_rates();  // no call fails from now on; the wall clock keeps its offset
  // How often this fault was injected so far.
  std::uint64_t injected(CallFault fault) const { return page_->injected[static_cast<std::size_t>(fault)]; }

 private:
  std::filesystem::path path_;
  FaultPage* page_ = nullptr;
};

}  // namespace orchidgw::faults
