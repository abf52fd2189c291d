// The controller as a process: feeds the reducer with the events that the sockets report, in the event
// queue's order, and runs the effects.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/descriptor.h"
#include "config/controller_config.h"
#include "configuration/configuration.h"
#include "configuration/reloader.h"
#include "core/reducer.h"
#include "decision/shutdown_schedule.h"
#include "log/log.h"
#include "metrics/counters.h"
#include "net/admin_socket.h"
#include "net/attention.h"
#include "net/buffer_pool.h"
#include "net/change_log.h"
#include "net/context.h"
#include "net/engine_client.h"
#include "net/event_queue.h"
#include "net/fleet_member.h"
#include "net/front_door.h"
#include "net/intents.h"
#include "net/loop_ticker.h"
#include "net/reactor.h"
#include "net/signals.h"
#include "net/wall_clock_watch.h"

namespace orchidgw::net {

class Controller {
 public:
  // `listener`: a bound descriptor; clients can connect once `net::listen_on` was called for it. `reloader`:
  // reads the files again on SIGHUP.
  Controller(const configuration::Configuration& configuration, Descriptor listener, log::Logger& log,
             configuration::Reloader reloader);

  // Opens the administration socket at `path`. Throws std::runtime_error if that fails.
  void open_admin(const std::string& path);

  // Joins the configuration's fleet, which it has to have. `listener`: a keeper's listening socket, of which
  // this takes ownership, or -1. Throws an exception that names the folder of the keeper's log and the
  // reason.
  void join_fleet(const configuration::Configuration& configuration, int listener);

  // From now on the intent to send a query that must not run twice is stored in `folder` before it is sent.
  // Throws an exception that names the folder and the reason.
  void open_intent_store(const std::string& folder);

  void run();  // returns when a graceful shutdown is complete

 private:
  Controller(const config::ControllerConfig& config, std::size_t fleet_descriptors, Descriptor listener,
             log::Logger& log, configuration::Reloader reloader);
  TimeUs turn();
  TimeUs defer_turn();
  void post(core::Event event);
  bool under_memory_pressure() const;
  void check_wall_clock(TimeUs now);
  void process_events(TimeUs now);
  void process_non_requests(TimeUs now);
  void process_event(TimeUs now, PostedEvent posted);
  void apply(TimeUs now, core::Event event);
  void run_effect(core::SideEffect& effect);
  void on_signal(int signal);
  void reload();
  void retry_reload();
  void apply_files(const configuration::ReloadedFiles& files);
  void apply_platform_config(const config::ReloadedConfig& config);
  void apply_operator_config(const configuration::OperatorConfiguration& config);
  void apply_fleet_terms(const std::optional<fleet::FleetConfig>& config);
  std::string run_admin_command(const std::string& line);
  void apply_limits(std::shared_ptr<const limits::LimitSet> set,
                    std::shared_ptr<const service_level::LevelFile> levels);
  TimeUs earliest_signal_time() const;
  void begin_shutdown();
  void stop_if_done(TimeUs now);
  TimeUs next_shutdown_step(TimeUs now) const;
  void apply_fleet_shares();
  core::KeyStatus key_status(const std::string& identity) const;
  void send_after_intent(core::SendCall call);
  bool drop_waiting_call(core::CallId call, core::ConnectionEnd end);
  Promises* promises() const { return fleet_ ? fleet_->promises() : nullptr; }
  void record_demand(const core::RequestArrived& request);
  void count_descriptors();
  void print_counters();
  TimeUs time_to_wait(TimeUs now) const;

  log::Logger& log_;
  configuration::Reloader reloader_;
  Settings settings_;
  metrics::Counters counters_;
  std::size_t max_buffers_;
  BufferPool pool_;
  std::size_t max_statement_bytes_;
  Reactor reactor_;
  Context context_;
  StallTracker stall_tracker_;
  core::Reducer reducer_;
  EventQueue events_;
  EngineClient engines_;
  ChangeLog change_log_;
  ClientListener client_listener_;
  Signals signals_;
  LoopTicker ticker_;
  std::unique_ptr<AdminSocket> admin_;  // null: off
  std::unique_ptr<FleetMember> fleet_;  // null: not in a fleet
  std::unique_ptr<Intents> intents_;    // null: intents are not stored
  WallClockStepDetector wall_clock_;
  // Set while a file could not be read because a system resource was missing, which may be temporary.
  std::optional<TimeUs> reload_retry_at_;
  TimeUs created_at_;
  std::optional<ShutdownSchedule> shutdown_;  // set once shutdown was requested
  bool listening_ = true;
};

}  // namespace orchidgw::net
