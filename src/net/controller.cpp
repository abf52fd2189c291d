#include "net/controller.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <type_traits>
#include <utility>

#include "admin/admin_command.h"
#include "base/system_call.h"
#include "net/clock.h"

namespace orchidgw::net {
namespace {

constexpr std::int64_t kBytesPerMb = 1024L * 1024;
// Each use gets the memory, for clients the descriptors, divided by its constant (docs/architecture.md adds
// the parts up).
constexpr std::int64_t kPoolDivisor = 4;         // buffers; work in progress may take half as much again
constexpr std::int64_t kStatementsDivisor = 16;  // statements of open queries, and the same for their copies
constexpr std::int64_t kFramesDivisor = 16;      // incomplete frames
// An answer of the change log without its engines, which are read one by one; parsing it takes ten times
// that.
constexpr std::int64_t kChangesDivisor = 512;
constexpr std::int64_t kListingsDivisor =
    32;  // engines of an answer of the change log that is still arriving
constexpr std::size_t kBytesPerListing = 400;
constexpr std::int64_t kKeysDivisor = 32;        // idempotency keys that are remembered
constexpr std::int64_t kReferencesDivisor = 64;  // references of queries that must not run twice
constexpr std::size_t kBytesPerReference = 128;
constexpr std::size_t kBytesPerKey = 640;  // at most: the key has up to 256
// core::ClientShares may hold so many times its capacity.
constexpr std::size_t kClientSharesFactor = 2;
// Open queries; core::ClientShares may hold twice as many.
constexpr std::int64_t kQueriesDivisor = 16;
constexpr std::size_t kBytesPerQuery = 3000;
constexpr std::size_t kMinOpenQueries = 256;      // whatever the memory
constexpr std::size_t kClientsDivisor = 3;        // of the descriptors: clients hold a third at most
constexpr std::size_t kReservedDescriptors = 32;  // listener, change log, signals, epoll, standard streams
constexpr TimeUs kMaxWait = 1'000'000;
constexpr TimeUs kAcceptInterval = 10'000;
// Since the shutdown was requested; clients that are still in the system's backlog then are given up.
constexpr TimeUs kAcceptTimeLimit = 2'000'000;

std::size_t memory_part(const config::ControllerConfig& config, std::int64_t divisor) {
  return static_cast<std::size_t>(config.memory_mb * kBytesPerMb / divisor);
}

std::size_t max_clients(const config::ControllerConfig& config) {
  return static_cast<std::size_t>(config.sockets) / kClientsDivisor + 1;
}

core::ProtocolBounds protocol_bounds(const config::ControllerConfig& config) {
  core::ProtocolBounds bounds;
  bounds.max_remembered_keys = memory_part(config, kKeysDivisor) / kBytesPerKey / kClientSharesFactor;
  bounds.max_remembered_references =
      memory_part(config, kReferencesDivisor) / kBytesPerReference / kClientSharesFactor;
  bounds.max_open_queries = std::max(memory_part(config, kQueriesDivisor) / kBytesPerQuery, kMinOpenQueries);
  return bounds;
}

ChangeLogBounds change_log_bounds(const config::ControllerConfig& config) {
  return {memory_part(config, kChangesDivisor), memory_part(config, kListingsDivisor) / kBytesPerListing};
}

ClientListenerLimits front_limits(const config::ControllerConfig& config) {
  ClientListenerLimits limits;
  limits.clients = max_clients(config);
  limits.frame_bytes = memory_part(config, kFramesDivisor);
  return limits;
}

EngineClientLimits engine_limits(const config::ControllerConfig& config, std::size_t fleet) {
  const auto all = static_cast<std::size_t>(config.sockets);
  const std::size_t reserved = max_clients(config) + std::min(kReservedDescriptors, all / 4) + fleet;
  EngineClientLimits limits;
  limits.connections = std::max<std::size_t>(all - std::min(reserved, all - 1), 1);
  limits.connect_timeout = config.connect_timeout;
  return limits;
}

// The most connections to other controllers: all members connect to a keeper, and each member to each keeper.
std::size_t max_fleet_connections(const std::optional<fleet::FleetConfig>& fleet, const std::string& name) {
  if (!fleet) return 0;
  const std::size_t keepers = fleet->keepers.size();
  if (fleet->find_keeper(name) == nullptr) return keepers + 1;
  return static_cast<std::size_t>(fleet->largest) + 2 * keepers + 4;
}

}  // namespace

Controller::Controller(const configuration::Configuration& configuration, Descriptor listener,
                       log::Logger& log, configuration::Reloader reloader)
    : Controller(configuration.controller,
                 max_fleet_connections(configuration.fleet, configuration.controller.name),
                 std::move(listener), log, std::move(reloader)) {
  apply_operator_config(configuration.operators);
}

Controller::Controller(const config::ControllerConfig& config, std::size_t fleet_descriptors,
                       Descriptor listener, log::Logger& log, configuration::Reloader reloader)
    : log_(log),
      reloader_(std::move(reloader)),
      settings_(config.settings),
      max_buffers_(std::max<std::size_t>(memory_part(config, kPoolDivisor) / kBufferBytes, 1)),
      pool_(max_buffers_, counters_),
      max_statement_bytes_(memory_part(config, kStatementsDivisor)),
      reactor_([this] { return turn(); }),
      context_{reactor_,
               pool_,
               counters_,
               log,
               [this](core::Event event) { post(std::move(event)); },
               [this] { return under_memory_pressure(); },
               [this](core::CallId call) { return reducer_.start_denied(monotonic_now(), call); },
               {}},
      stall_tracker_(monotonic_now()),
      reducer_(config.settings, config.seed, counters_, protocol_bounds(config)),
      engines_(context_, engine_limits(config, fleet_descriptors)),
      change_log_(context_, config.change_log, config.initial_engine_list,
                  {change_log_bounds(config), config.connect_timeout, config.settings.rules, config.seed}),
      client_listener_(context_, listener.release(), front_limits(config), reducer_),
      signals_(reactor_, [this](int signal) { on_signal(signal); }),
      ticker_(reactor_),
      created_at_(monotonic_now()) {}

// Guards against running out of memory: reading from clients stops, so that they hold back their data.
// Requests that were read in this turn count too, else all clients together could exceed the limit within one
// turn.
bool Controller::under_memory_pressure() const {
  return pool_.low() || reducer_.statement_bytes() + events_.statement_bytes() >= max_statement_bytes_;
}

void Controller::run() {
  if (intents_)
    log_.write(log::Level::kInfo, log::Component::kCore, "intents are kept",
               {{"found", static_cast<std::int64_t>(intents_->loaded_count())}});
  process_events(monotonic_now());
  reactor_.skip_next_wait();
  reactor_.run();
  print_counters();
}

void Controller::post(core::Event event) {
  reactor_.skip_next_wait();
  events_.push(std::move(event), monotonic_now());
}

// One turn of the event loop: processes the events that were read, then timers that are due. Returns how long
// the loop may wait (us).
TimeUs Controller::turn() {
  const TimeUs now = monotonic_now();
  ++counters_.turns;
  check_wall_clock(now);
  const bool deferred = stall_tracker_.begin_turn(now);
  context_.stalled_time = stall_tracker_.stalled_time();
  context_.earliest_arrival = stall_tracker_.earliest_arrival();
  if (deferred) return defer_turn();
  try {
    context_.pending_destruction.clear();
    change_log_.check(now);
    engines_.check(now);
    if (admin_) admin_->check(now);
    if (fleet_) fleet_->check(monotonic_now());
    if (intents_) intents_->check();
    if (reload_retry_at_ && now >= *reload_retry_at_) retry_reload();
    process_events(now);
    client_listener_.between_turns(now);
    stop_if_done(now);
  } catch (const std::exception& e) {
    log_.write(log::Level::kError, std::string("turn: ") + e.what());
  }
  count_descriptors();
  log_.stream().flush();  // log lines that the reader of the output has not taken yet
  const TimeUs end = monotonic_now();
  counters_.turn_length.add(end - now);
  const TimeUs wait = time_to_wait(end);
  stall_tracker_.end_turn(wait);
  return wait;
}

void Controller::check_wall_clock(TimeUs now) {
  constexpr TimeUs kUsPerMs = 1000;
  const TimeUs step = wall_clock_.step_since_last(wall_now(), now);
  if (step == 0) return;
  ++counters_.wall_clock_steps;
  log_.write(log::Level::kWarn, log::Component::kNet, "the wall clock was stepped",
             {{"ms", step / kUsPerMs}});
}

// Leaves this turn's work to the next turn, which comes once the sockets were read. Guards against acting on
// outdated state after this process was stalled: the reactor runs a turn before the sockets that its poll
// found ready are read, and timers that became due meanwhile sent queries to engines whose drain was unread;
// a watch whose answer was unread was taken for silent.
TimeUs Controller::defer_turn() {
  ++counters_.late_turns;
  stall_tracker_.end_turn(0);
  return 0;
}

// Timers fire once a turn: one that is always due at once must not hold up the requests.
void Controller::process_events(TimeUs now) {
  reducer_.set_buffers_used(static_cast<double>(counters_.buffers.now) / static_cast<double>(max_buffers_));
  process_non_requests(now);
  if (fleet_) apply_fleet_shares();
  const auto due = reducer_.next_due();
  if (due && *due <= now) apply(now, core::TimePassed{});
  process_non_requests(now);
  while (auto request = events_.next_request()) {
    process_event(now, std::move(*request));
    process_non_requests(now);
  }
}

// Effects may post new events (a dropped call has ended), so the queue is asked for its next event each time.
void Controller::process_non_requests(TimeUs now) {
  while (auto event = events_.next_non_request()) process_event(now, std::move(*event));
}

void Controller::process_event(TimeUs now, PostedEvent posted) {
  counters_.read_lateness.add(monotonic_now() - posted.at);
  if (fleet_) {
    apply_fleet_shares();
    if (const auto* request = std::get_if<core::RequestArrived>(&posted.event)) record_demand(*request);
  }
  const bool list_changes = std::holds_alternative<core::EnginesChanged>(posted.event);
  apply(now, std::move(posted.event));
  if (fleet_ && list_changes) fleet_->set_engine_cores(reducer_.cores());
}

// Called before each event, with the time of that moment: guards against queries sent under a lease that
// ended while this process waited or was stopped.
void Controller::apply_fleet_shares() {
  auto shares = fleet_->changed_shares(monotonic_now());
  if (shares)
    apply(monotonic_now(), core::FleetShareChanged{std::move(shares->module), std::move(shares->limits)});
}

void Controller::record_demand(const core::RequestArrived& request) {
  if (!request.request) return;
  TimeUs cost = request.request->cost_estimate;
  for (const ClassSettings& c : settings_.classes)
    if (cost <= 0 && c.name == request.request->class_name)
      cost = c.latency_target / 2;  // what the module assumes until it has learned the cost
  fleet_->record_query(monotonic_now(), request.request->tenant, cost);
}

void Controller::join_fleet(const configuration::Configuration& configuration, int listener) {
  FleetMemberOptions options;
  options.name = configuration.controller.name;
  options.incarnation =
      static_cast<std::uint64_t>(wall_now().unix_us);  // only orders the starts of controllers of this name
  options.seed = configuration.controller.seed ^ options.incarnation;
  options.listener = listener;
  const auto make_member = [&] {
    return std::make_unique<FleetMember>(
        context_, *configuration.fleet, options, settings_, configuration.operators.limits.get(),
        [this] { return reducer_.limiter().fleet_usage(monotonic_now()); },
        [this](core::SendCall call) { send_after_intent(std::move(call)); });
  };
  try {
    fleet_ = make_member();
  } catch (const store::StoreUnavailable&) {
    throw;  // the stored data is not at fault: the start is retried
  } catch (const store::StoreError& e) {
    if (!configuration.fleet->start_with_bad_store) throw;
    // It does not say in its Hello that it is a keeper: guards against another keeper with an empty disk that
    // takes the Hello as "I know of no log of yours". A store that can't be read can't tell that.
    log_.write(log::Level::kError, log::Component::kFleet,
               std::string("starts careful, as a member that keeps nothing: ") + e.what());
    options.runs_keeper = false;
    options.listener = -1;
    fleet_ = make_member();
  }
  if (promises() != nullptr)
    reducer_.set_key_lookup([this](const std::string& identity) { return key_status(identity); });
  fleet_->set_engine_cores(reducer_.cores());
  apply_fleet_shares();
}

void Controller::open_intent_store(const std::string& folder) {
  intents_ = std::make_unique<Intents>(context_, folder,
                                       [this](core::SendCall call) { engines_.send(std::move(call)); });
  reducer_.set_key_lookup([this](const std::string& identity) { return key_status(identity); });
}

core::KeyStatus Controller::key_status(const std::string& identity) const {
  const auto status = intents_ ? intents_->key_status(identity) : core::KeyStatus::kNew;
  return status == core::KeyStatus::kNew && promises() != nullptr ? fleet_->key_status(identity) : status;
}

// Stores the intent on the own disk, if intents are stored, and sends the call. Comes after the fleet's
// promise, so that no key is held here for a call that the fleet refused.
void Controller::send_after_intent(core::SendCall call) {
  if (intents_) return intents_->send_when_stored(std::move(call));
  engines_.send(std::move(call));
}

// False: the call waits for neither a promise nor an intent.
bool Controller::drop_waiting_call(core::CallId call, core::ConnectionEnd end) {
  const bool held = (promises() != nullptr && promises()->drop(call)) || (intents_ && intents_->drop(call));
  if (held) post(core::CallEnded{call, end});
  return held;
}

void Controller::apply(TimeUs now, core::Event event) {
  std::vector<core::SideEffect> effects;
  const TimeUs started_at = monotonic_now();
  try {
    effects = reducer_.apply(now, std::move(event));
  } catch (const std::exception& e) {
    log_.write(log::Level::kError, std::string("reducer: ") + e.what());
    return;
  }
  counters_.reducer_time.add(monotonic_now() - started_at);
  for (core::SideEffect& effect : effects) {
    try {
      run_effect(effect);
    } catch (const std::exception& e) {  // a failed effect must not stop the others
      log_.write(log::Level::kError, std::string("effect: ") + e.what());
    }
  }
}

void Controller::run_effect(core::SideEffect& effect) {
  std::visit(
      [this](auto& e) {
        using E = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<E, core::SendCall>) {
          if (e.identity.empty()) return engines_.send(std::move(e));
          if (promises() != nullptr) return promises()->send_when_promised(std::move(e), monotonic_now());
          send_after_intent(std::move(e));
        } else if constexpr (std::is_same_v<E, core::DropCall>) {
          if (!drop_waiting_call(e.call, core::ConnectionEnd::kDroppedUnsent)) engines_.drop(e.call);
        } else if constexpr (std::is_same_v<E, core::WithdrawCall>) {
          if (!drop_waiting_call(e.call, core::ConnectionEnd::kWithdrawn)) engines_.withdraw(e.call);
        } else if constexpr (std::is_same_v<E, core::CloseConnection>) {
          engines_.close_idle_connection(e.attempt);
        } else if constexpr (std::is_same_v<E, core::ReleaseKey>) {
          if (promises() != nullptr) promises()->release_key(std::move(e));
        } else if constexpr (std::is_same_v<E, core::LogText>) {
          log_.write(e.level, log::Component::kCore, e.text);
        } else {
          client_listener_.answer(e);
        }
      },
      effect);
}

TimeUs Controller::time_to_wait(TimeUs now) const {
  if (!events_.empty()) return 0;
  TimeUs due = std::min(now + kMaxWait, change_log_.next_due());
  if (!client_listener_.empty()) due = std::min(due, client_listener_.next_sweep_at());
  if (reload_retry_at_) due = std::min(due, *reload_retry_at_);
  if (shutdown_) due = std::min(due, next_shutdown_step(now));
  if (const auto timer = reducer_.next_due()) due = std::min(due, *timer);
  if (const auto call = engines_.next_due()) due = std::min(due, *call);
  if (fleet_) due = std::min(due, now + fleet_->wait(monotonic_now()));
  return std::max<TimeUs>(due - now, 0);
}

void Controller::on_signal(int signal) {
  if (signal == SIGUSR1) return print_counters();
  if (signal == SIGHUP) return reload();
  begin_shutdown();
}

// The earliest time at which a signal that is read now can have been sent. The time of a signal that came
// while the program started or was stalled is not known.
TimeUs Controller::earliest_signal_time() const {
  const bool first_turn = counters_.turns <= 1;
  return first_turn ? created_at_ : monotonic_now() - stall_tracker_.turn_lateness();
}

void Controller::begin_shutdown() {
  if (shutdown_) return;
  log_.write(log::Level::kInfo, "asked to stop: still serving requests that arrive");
  shutdown_ = shutdown_schedule(settings_.classes, earliest_signal_time());
  apply(monotonic_now(), core::ShutdownBegun{shutdown_->answer_by});
  reactor_.skip_next_wait();
}

TimeUs Controller::next_shutdown_step(TimeUs now) const {
  if (now < shutdown_->close_from) return shutdown_->close_from;
  if (listening_) return now + kAcceptInterval;
  return now < shutdown_->answer_by ? shutdown_->answer_by : std::max(now, shutdown_->end_by);
}

void Controller::open_admin(const std::string& path) {
  admin_ = std::make_unique<AdminSocket>(context_, path,
                                         [this](const std::string& line) { return run_admin_command(line); });
}

std::string Controller::run_admin_command(const std::string& line) {
  std::string why;
  const auto command = admin::parse_admin_command(line, why);
  if (!command) return "error: " + why + "\n";
  const TimeUs now = monotonic_now();
  if (command->kind == admin::AdminCommand::Kind::kFleetStatus)
    return fleet_ ? fleet_->status(monotonic_now()) : "error: this controller belongs to no fleet\n";
  if (command->kind == admin::AdminCommand::Kind::kLevelSet) {
    if (!reducer_.levels().has_level(command->level)) return "error: no level of that name\n";
    post(core::LevelOverridden{command->level, now + command->hold});
    log_.write(log::Level::kWarn, log::Component::kLimits, "level set by hand",
               {{"level", command->level}, {"seconds", command->hold / 1'000'000}});
    return "set\n";
  }
  std::string out = reducer_.levels().status(now) + reloader_.states().status(now);
  const auto count = [&out](const char* name, std::uint64_t value) {
    out += std::string(name) + " " + std::to_string(value) + "\n";
  };
  count("taken", counters_.accepted_queries);
  count("served", counters_.served);
  count("refused", counters_.refused);
  count("shed", counters_.refusals[static_cast<std::size_t>(Reason::kShed)]);
  count("failed", counters_.failed);
  count("open", counters_.open_queries.now);
  return out;
}

// Stops the process when nothing is open and nothing can still arrive, and at the end of the schedule in any
// case. Guards against being killed, by which requests that were read would get no answer.
void Controller::stop_if_done(TimeUs now) {
  if (!shutdown_ || now < shutdown_->close_from) return;
  client_listener_.begin_shutdown(*shutdown_);
  if (listening_) {
    const TimeUs accept_until = std::min(shutdown_->asked_at + kAcceptTimeLimit, shutdown_->answer_by);
    listening_ = !client_listener_.stop_listening(now >= accept_until);
    return;
  }
  const bool nothing_open = events_.empty() && reducer_.queries() == 0 && client_listener_.empty();
  if (!nothing_open && now < shutdown_->answer_by) return;
  // Returns the budget shares before the process ends, so that others need not wait for the end of its lease.
  if (fleet_) fleet_->leave(monotonic_now());
  const bool fleet_left = !fleet_ || fleet_->left(monotonic_now());
  if ((!nothing_open || !fleet_left) && now < shutdown_->end_by) return;
  log_.write(log::Level::kInfo,
             nothing_open ? "nothing is open any more: stopping" : "shutdown time is over: stopping");
  client_listener_.close_all();
  engines_.close_all();
  change_log_.close();
  if (fleet_) fleet_->close_all();
  if (intents_) intents_->close();
  admin_.reset();
  ticker_.close();
  reactor_.stop();
}

// Descriptors of connections, plus those that are always open.
void Controller::count_descriptors() {
  // Standard streams, listener, epoll, signals, ticker.
  constexpr std::uint64_t kFixedDescriptors = 7;
  counters_.descriptors.set(counters_.clients.now + client_listener_.lingering() +
                            counters_.engine_connections.now + kFixedDescriptors + change_log_.connections() +
                            (fleet_ ? fleet_->connections() : 0));
}

void Controller::print_counters() {
  std::ostream& out = log_.stream();
  const service_level::ServiceLevel& levels = reducer_.levels();
  for (const auto& [level, time] : levels.time_by_level())
    out << "counter level." << level << ".time_ms " << time / 1000 << '\n';
  if (levels.recorder() != nullptr) {
    out << "counter level.changes " << levels.change_count() << " now " << levels.general_level() << '\n';
    levels.recorder()->write(out, "signals ");
  }
  reloader_.states().print_counters(out);
  metrics::print(counters_, core::counter_names(), out);
}

}  // namespace orchidgw::net
