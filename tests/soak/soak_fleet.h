// The controllers, engines and change log of a soak, and the problems with them that are not a matter of the
// audit.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "faults/fault_switch.h"
#include "integration/change_log_stand_in.h"
#include "integration/controller_process.h"
#include "soak_audit.h"
#include "soak_engine.h"

namespace orchidgw::soak {

// The query classes in the controllers' settings.
const std::vector<QueryClass>& query_classes();

// One controller of the fleet: the process that clients connect to now, which restarts replace.
struct ControllerSlot {
  std::mutex mutex;  // guards process and record
  std::shared_ptr<integration::ControllerProcess> process;
  std::shared_ptr<ProcessRecord> record;
  std::unique_ptr<faults::FaultInjector> faults = std::make_unique<faults::FaultInjector>();
  std::mutex fault_mutex;  // held by the one fault that ends, pauses or reloads the process
};

class SoakFleet {
 public:
  SoakFleet(SoakAudit& audit, unsigned seed);

  std::size_t size() const { return slots_.size(); }
  ControllerSlot& slot(std::size_t i) { return *slots_[i]; }
  std::string address_of(ControllerSlot& slot);

  // Starts a process in slot `i`, at an address of its own; clients connect to it from then on.
  void start(std::size_t i);
  void kill_and_restart(std::size_t i);
  // Sends SIGTERM, with `with_more_signals` SIGHUP and further SIGTERMs too, and starts the replacement while
  // the old process still shuts down.
  void restart(std::size_t i, bool with_more_signals, milliseconds replacement_delay);
  void stop_all();

  std::shared_ptr<SoakEngine> random_engine(std::mt19937& random);
  // Only one engine at a time is away: these wait for their turn and then draw their engine.
  void crash_engine(std::mt19937& random, milliseconds outage);
  void replace_engine(std::mt19937& random, milliseconds drain_duration);
  void fail_change_log(milliseconds outage);

  int started_processes() const { return started_processes_; }
  // One line for each crash, failed or slow start, failed shutdown or violation in a log.
  std::vector<std::string> problems() const;
  // Log lines with counters of overdue requests, which the reducer failed itself, and of clients evicted for
  // new ones.
  std::string notable_counters() const;

 private:
  std::shared_ptr<integration::ControllerProcess> start_process(
      const integration::ControllerOptions& options);
  void stop(integration::ControllerProcess& process, ProcessRecord& record);
  void scan_log(const std::string& log, const std::string& name);
  void report_problem(const std::string& line);
  void add_engine(unsigned seed);
  void announce_start(const std::string& id, const std::string& member_json);
  void set_member(const std::string& id, const std::string& member_json);

  SoakAudit& audit_;
  integration::ChangeLogStandIn change_log_;
  std::mutex engines_mutex_;
  std::mutex engine_change_mutex_;
  std::map<std::string, std::string> members_;
  std::vector<std::shared_ptr<SoakEngine>> engines_;
  std::vector<std::shared_ptr<SoakEngine>> retired_;  // drained; their last queries may still run
  std::vector<std::unique_ptr<ControllerSlot>> slots_;
  std::atomic<int> started_processes_{0};
  std::atomic<int> created_engines_{0};
  mutable std::mutex mutex_;  // guards the members below
  std::vector<std::thread> stopping_;
  std::vector<std::string> problems_;
  std::string notable_counters_;
};

}  // namespace orchidgw::soak
