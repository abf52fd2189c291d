// The real controller: feeds the reducer with what the sockets report, in its order, and runs the effects.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/descriptor.h"
#include "config/controller_config.h"
#include "configuration/configuration.h"
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
  // What a reload puts in force: read anew and checked against the settings that are in force.
  using Reload = std::function<configuration::Configuration(const Settings& running)>;

  // `listener`: a bound descriptor; clients can connect once `net::listen_on` was called for it. `reload`
  // throws where anything is wrong.
  Controller(const configuration::Configuration& configuration, Descriptor listener, log::Logger& log,
             Reload reload);

  // Throws std::runtime_error where it can't be opened.
  void open_admin(const std::string& path);

  // Joins the fleet that the configuration names. `listener`: of a keeper, owned from here on; else -1.
  // Throws what names the folder of a keeper's log and the reason.
  void join_fleet(const configuration::Configuration& configuration, int listener);

  // Keeps intents of what must not run twice in that folder. Throws what names it and the reason.
  void open_intents(const std::string& folder);

  void run();  // until a planned restart is over

 private:
  Controller(const config::ControllerConfig& config, std::size_t fleet_descriptors, Descriptor listener,
             log::Logger& log, Reload reload);
  TimeUs turn();
  TimeUs defer_turn();
  void post(core::Event event);
  bool low_on_memory() const;
  void check_wall_clock(TimeUs now);
  void process_events(TimeUs now);
  void process_non_requests(TimeUs now);
  void process_event(TimeUs now, PostedEvent posted);
  void apply(TimeUs now, core::Event event);
  void run_effect(core::SideEffect& effect);
  void on_signal(int signal);
  void reload();
  std::string run_admin_command(const std::string& line);
  void apply_configuration(const configuration::Configuration& loaded);
  void apply_limits(std::shared_ptr<const limits::LimitSet> set,
                    std::shared_ptr<const service_level::LevelFile> levels);
  TimeUs earliest_signal_time() const;
  void begin_shutdown();
  void stop_if_done(TimeUs now);
  TimeUs next_shutdown_step(TimeUs now) const;
  void apply_fleet_shares();
  core::KeyVerdict key_status(const std::string& identity) const;
  void send_after_intent(core::StartCall call);
  bool drop_waiting_call(core::CallId call, core::ConnectionEnd end);
  Promises* promises() const { return fleet_ ? fleet_->promises() : nullptr; }
  void record_demand(const core::RequestArrived& request);
  void count_descriptors();
  void print_counters();
  TimeUs time_to_wait(TimeUs now) const;

  log::Logger& log_;
  Reload reload_;
  Settings settings_;
  metrics::Counters counters_;
  std::size_t max_buffers_;
  BufferPool pool_;
  std::size_t max_statement_bytes_;
  Reactor reactor_;
  Context context_;
  Attention attention_;
  core::Reducer reducer_;
  EventQueue events_;
  EngineClient engines_;
  ChangeLog change_log_;
  FrontDoor front_door_;
  Signals signals_;
  LoopTicker ticker_;
  std::unique_ptr<AdminSocket> admin_;  // null: off
  std::unique_ptr<FleetMember> fleet_;  // null: alone
  std::unique_ptr<Intents> intents_;    // null: none are kept
  WallClockWatch wall_clock_;
  std::optional<TimeUs>
      reload_retry_at_;  // a file could not be read for want of something that may come back
  TimeUs created_at_;
  std::optional<ShutdownSchedule> shutdown_;  // once it was asked for
  bool listening_ = true;
};

}  // namespace orchidgw::net
