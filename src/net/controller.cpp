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
// Of the memory, one part in so many is for (docs/architecture.md adds them up):
constexpr std::int64_t kPoolPart = 4;         // buffers; what was begun may take half as much again
constexpr std::int64_t kStatementsPart = 16;  // statements of open queries, and as much for their copies
constexpr std::int64_t kFramesPart = 16;      // frames that are not whole
constexpr std::int64_t kChangesPart = 64;     // an answer of the change log; reading takes ten times that
constexpr std::size_t kClientsPart = 3;       // of the descriptors: clients hold a third at the most
constexpr std::size_t kDescriptorsKept = 32;  // listener, change log, signals, poll, standard ones
constexpr TimeUs kWaitMost = 1'000'000;
constexpr TimeUs kReloadAgainAfter = 200'000;
constexpr TimeUs kAcceptEvery = 10'000;
constexpr TimeUs kAcceptedBy = 2'000'000;  // who waits in the system's line till then for a place is given up

std::size_t bytes_for(const config::ControllerConfig& config, std::int64_t part) {
  return static_cast<std::size_t>(config.memory_mb * kBytesPerMb / part);
}

std::size_t clients_for(const config::ControllerConfig& config) {
  return static_cast<std::size_t>(config.sockets) / kClientsPart + 1;
}

FrontLimits front_for(const config::ControllerConfig& config) {
  FrontLimits limits;
  limits.clients = clients_for(config);
  limits.frame_bytes = bytes_for(config, kFramesPart);
  return limits;
}

EngineClientLimits engines_for(const config::ControllerConfig& config, std::size_t fleet) {
  const auto all = static_cast<std::size_t>(config.sockets);
  const std::size_t taken = clients_for(config) + std::min(kDescriptorsKept, all / 4) + fleet;
  EngineClientLimits limits;
  limits.connections = std::max<std::size_t>(all - std::min(taken, all - 1), 1);
  limits.connect_timeout = config.connect_timeout;
  return limits;
}

// Of connections to other controllers: a keeper hears all members, each member each keeper.
std::size_t descriptors_for(const std::optional<fleet::FleetConfig>& fleet, const std::string& name) {
  if (!fleet) return 0;
  const std::size_t keepers = fleet->keepers.size();
  if (fleet->keeper_named(name) == nullptr) return keepers + 1;
  return static_cast<std::size_t>(fleet->largest) + 2 * keepers + 4;
}

}  // namespace

Controller::Controller(const configuration::Configuration& configuration, Descriptor listener,
                       log::Logger& log, Reload reload)
    : Controller(configuration.controller,
                 descriptors_for(configuration.fleet, configuration.controller.name), std::move(listener),
                 log, std::move(reload)) {
  log_.choose(configuration.log);
  reducer_.set_trace(log.on(log::Level::kDebug, log::Component::kCore));
  if (configuration.limits) put_limits_in_force(configuration.limits, configuration.levels);
}

Controller::Controller(const config::ControllerConfig& config, std::size_t fleet_descriptors,
                       Descriptor listener, log::Logger& log, Reload reload)
    : log_(log),
      reload_(std::move(reload)),
      settings_(config.settings),
      buffers_most_(std::max<std::size_t>(bytes_for(config, kPoolPart) / kBufferBytes, 1)),
      pool_(buffers_most_, counters_),
      statement_bytes_most_(bytes_for(config, kStatementsPart)),
      reactor_([this] { return turn(); }),
      context_{reactor_,
               pool_,
               counters_,
               log,
               [this](core::Event event) { post(std::move(event)); },
               [this] { return crowded(); },
               [this](core::CallId call) { return reducer_.start_denied(monotonic_now(), call); },
               {}},
      reducer_(config.settings, config.seed, counters_),
      engines_(context_, engines_for(config, fleet_descriptors)),
      change_log_(
          context_, config.change_log, config.known,
          {bytes_for(config, kChangesPart), config.connect_timeout, config.settings.rules, config.seed}),
      front_door_(context_, listener.release(), front_for(config), reducer_),
      signals_(reactor_, [this](int signal) { on_signal(signal); }),
      ticker_(reactor_),
      created_at_(monotonic_now()) {}

// Guards against running out of memory: who is not read keeps what he has to say. What was read in this turn
// counts too, lest all clients together pass the bound in one.
bool Controller::crowded() const {
  return pool_.low() || reducer_.held_bytes() + events_.statement_bytes() >= statement_bytes_most_;
}

void Controller::run() {
  if (intents_)
    log_.write(log::Level::kInfo, log::Component::kCore, "intents are kept",
               {{"found", static_cast<std::int64_t>(intents_->found())}});
  act(monotonic_now());
  reactor_.hurry();
  reactor_.run();
  print_counters();
}

void Controller::post(core::Event event) {
  reactor_.hurry();
  events_.push(std::move(event), monotonic_now());
}

// Acts on all that was read, then on what is due; says how long the loop may wait.
TimeUs Controller::turn() {
  const TimeUs now = monotonic_now();
  ++counters_.turns;
  watch_wall_clock(now);
  const bool reads_first = attention_.turn_begins(now);
  context_.lost = attention_.lost();
  if (reads_first) return read_first();
  try {
    context_.closed.clear();
    change_log_.check(now);
    engines_.check(now);
    if (admin_) admin_->check(now);
    if (fleet_) fleet_->check(monotonic_now());
    if (intents_) intents_->check();
    if (reload_again_at_ && now >= *reload_again_at_) reload();
    act(now);
    front_door_.between_turns(now);
    stop_if_done(now);
  } catch (const std::exception& e) {
    log_.write(log::Level::kError, std::string("turn: ") + e.what());
  }
  count_descriptors();
  log_.stream().flush();  // what nobody read so far
  const TimeUs end = monotonic_now();
  counters_.turn.add(end - now);
  const TimeUs wait = wait_from(end);
  attention_.loop_waits(wait);
  return wait;
}

void Controller::watch_wall_clock(TimeUs now) {
  constexpr TimeUs kUsPerMs = 1000;
  const TimeUs step = wall_clock_.step_since_last(wall_now(), now);
  if (step == 0) return;
  ++counters_.wall_clock_steps;
  log_.write(log::Level::kWarn, log::Component::kNet, "the wall clock was stepped",
             {{"ms", step / kUsPerMs}});
}

// Guards against acting on what was known before this process stood still: the poll calls a turn before what
// it found is read, and timers that came due meanwhile sent to engines whose drain lay unread; a watch whose
// answer lay unread was taken for silent.
TimeUs Controller::read_first() {
  ++counters_.late_turns;
  attention_.loop_waits(0);
  return 0;
}

// Timers fire once a turn: one that is set for at once must not hold up the requests.
void Controller::act(TimeUs now) {
  reducer_.set_buffers_used(static_cast<double>(counters_.buffers.now) / static_cast<double>(buffers_most_));
  act_on_news(now);
  if (fleet_) follow_fleet();
  const auto due = reducer_.next_due();
  if (due && *due <= now) apply(now, core::TimePassed{});
  act_on_news(now);
  while (auto request = events_.next_request()) {
    act_on(now, std::move(*request));
    act_on_news(now);
  }
}

// Effects may post again (a dropped call has ended): the order is looked at anew each time.
void Controller::act_on_news(TimeUs now) {
  while (auto news = events_.next_news()) act_on(now, std::move(*news));
}

void Controller::act_on(TimeUs now, PostedEvent posted) {
  counters_.reads.add(monotonic_now() - posted.at);
  if (fleet_) {
    follow_fleet();
    if (const auto* request = std::get_if<core::RequestArrived>(&posted.event)) note_demand(*request);
  }
  const bool list_changes = std::holds_alternative<core::EnginesChanged>(posted.event);
  apply(now, std::move(posted.event));
  if (fleet_ && list_changes) fleet_->engines(reducer_.cores());
}

// Guards against sends on a lease that ended while this process waited or was stopped: what may be used is
// looked at before each event, by the time of that moment.
void Controller::follow_fleet() {
  auto shares = fleet_->changed_shares(monotonic_now());
  if (shares) apply(monotonic_now(), core::FleetShared{std::move(shares->module), std::move(shares->limits)});
}

void Controller::note_demand(const core::RequestArrived& request) {
  if (!request.request) return;
  TimeUs cost = request.request->cost_estimate;
  for (const ClassSettings& c : settings_.classes)
    if (cost <= 0 && c.name == request.request->class_name)
      cost = c.aim / 2;  // as the module takes it unlearned
  fleet_->taken(monotonic_now(), request.request->tenant, cost);
}

void Controller::join_fleet(const configuration::Configuration& configuration, int listener) {
  FleetSelf self;
  self.name = configuration.controller.name;
  self.incarnation =
      static_cast<std::uint64_t>(wall_now().unix_us);  // orders the starts of this name, nothing else
  self.seed = configuration.controller.seed ^ self.incarnation;
  self.listener = listener;
  const auto join = [&] {
    return std::make_unique<FleetMember>(
        context_, *configuration.fleet, self, settings_, configuration.limits.get(),
        [this] { return reducer_.limiter().fleet_use(monotonic_now()); },
        [this](core::StartCall call) { send_promised(std::move(call)); });
  };
  try {
    fleet_ = join();
  } catch (const store::StoreUnavailable&) {
    throw;  // the start is tried again: nothing is wrong with what is stored
  } catch (const store::StoreError& e) {
    if (!configuration.fleet->careful) throw;
    // It greets as no keeper: guards against another one on an empty disk that takes its word for "nobody
    // knows you", which a store that can't be read does not tell.
    log_.write(log::Level::kError, log::Component::kFleet,
               std::string("starts careful, as a member that keeps nothing: ") + e.what());
    self.keeps = false;
    self.listener = -1;
    fleet_ = join();
  }
  if (promises() != nullptr)
    reducer_.set_keys([this](const std::string& identity) { return verdict(identity); });
  fleet_->engines(reducer_.cores());
  follow_fleet();
}

void Controller::open_intents(const std::string& folder) {
  intents_ = std::make_unique<Intents>(context_, folder,
                                       [this](core::StartCall call) { engines_.start(std::move(call)); });
  reducer_.set_keys([this](const std::string& identity) { return verdict(identity); });
}

core::KeyVerdict Controller::verdict(const std::string& identity) const {
  const auto own = intents_ ? intents_->verdict(identity) : core::KeyVerdict::kNew;
  return own == core::KeyVerdict::kNew && promises() != nullptr ? fleet_->verdict(identity) : own;
}

// On the own disk last: what the fleet turned away is not rested for here.
void Controller::send_promised(core::StartCall call) {
  if (intents_) return intents_->hold(std::move(call));
  engines_.start(std::move(call));
}

// False: neither a promise nor an intent holds it.
bool Controller::drop_held(core::CallId call, core::ConnectionEnd as) {
  const bool held = (promises() != nullptr && promises()->drop(call)) || (intents_ && intents_->drop(call));
  if (held) post(core::CallEnded{call, as});
  return held;
}

void Controller::apply(TimeUs now, core::Event event) {
  std::vector<core::SideEffect> effects;
  const TimeUs begun = monotonic_now();
  try {
    effects = reducer_.apply(now, std::move(event));
  } catch (const std::exception& e) {
    log_.write(log::Level::kError, std::string("reducer: ") + e.what());
    return;
  }
  counters_.reducer.add(monotonic_now() - begun);
  for (core::SideEffect& effect : effects) {
    try {
      run_effect(effect);
    } catch (const std::exception& e) {  // one that fails must not take the others with it
      log_.write(log::Level::kError, std::string("effect: ") + e.what());
    }
  }
}

void Controller::run_effect(core::SideEffect& effect) {
  std::visit(
      [this](auto& e) {
        using E = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<E, core::StartCall>) {
          if (e.identity.empty()) return engines_.start(std::move(e));
          if (promises() != nullptr) return promises()->hold(std::move(e), monotonic_now());
          send_promised(std::move(e));
        } else if constexpr (std::is_same_v<E, core::DropCall>) {
          if (!drop_held(e.call, core::ConnectionEnd::kDroppedUnsent)) engines_.drop(e.call);
        } else if constexpr (std::is_same_v<E, core::WithdrawCall>) {
          if (!drop_held(e.call, core::ConnectionEnd::kWithdrawn)) engines_.withdraw(e.call);
        } else if constexpr (std::is_same_v<E, core::CloseConnection>) {
          engines_.close_connection_of(e.attempt);
        } else if constexpr (std::is_same_v<E, core::FreeKey>) {
          if (promises() != nullptr) promises()->free(std::move(e));
        } else if constexpr (std::is_same_v<E, core::LogText>) {
          log_.write(e.level, log::Component::kCore, e.text);
        } else {
          front_door_.answer(e);
        }
      },
      effect);
}

TimeUs Controller::wait_from(TimeUs now) const {
  if (!events_.empty()) return 0;
  TimeUs due = std::min(now + kWaitMost, change_log_.next_due());
  if (!front_door_.empty()) due = std::min(due, front_door_.next_sweep());
  if (reload_again_at_) due = std::min(due, *reload_again_at_);
  if (shutdown_) due = std::min(due, next_of_shutdown(now));
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

// The earliest moment in which a signal that is read now can have been sent: nothing tells it of one that
// came while the program started or stood still.
TimeUs Controller::signal_sent_at() const {
  const bool loop_has_just_begun = counters_.turns <= 1;
  return loop_has_just_begun ? created_at_ : monotonic_now() - attention_.late();
}

void Controller::begin_shutdown() {
  if (shutdown_) return;
  log_.write(log::Level::kInfo, "asked to stop: serving what still comes");
  shutdown_ = shutdown_schedule(settings_.classes, signal_sent_at());
  apply(monotonic_now(), core::ShutdownBegun{shutdown_->answer_by});
  reactor_.hurry();
}

TimeUs Controller::next_of_shutdown(TimeUs now) const {
  if (now < shutdown_->close_from) return shutdown_->close_from;
  if (listening_) return now + kAcceptEvery;
  return now < shutdown_->answer_by ? shutdown_->answer_by : std::max(now, shutdown_->end_by);
}

void Controller::open_admin(const std::string& path) {
  admin_ = std::make_unique<AdminSocket>(context_, path,
                                         [this](const std::string& line) { return answer_admin(line); });
}

std::string Controller::answer_admin(const std::string& line) {
  std::string why;
  const auto command = admin::parse_admin(line, why);
  if (!command) return "error: " + why + "\n";
  const TimeUs now = monotonic_now();
  if (command->kind == admin::AdminCommand::Kind::kFleetStatus)
    return fleet_ ? fleet_->status(monotonic_now()) : "error: this controller belongs to no fleet\n";
  if (command->kind == admin::AdminCommand::Kind::kLevelSet) {
    if (!reducer_.levels().has_level(command->level)) return "error: no level of that name\n";
    post(core::LevelSet{command->level, now + command->hold});
    log_.write(log::Level::kWarn, log::Component::kLimits, "level set by hand",
               {{"level", command->level}, {"seconds", command->hold / 1'000'000}});
    return "set\n";
  }
  std::string out = reducer_.levels().status(now);
  const auto count = [&out](const char* name, std::uint64_t value) {
    out += std::string(name) + " " + std::to_string(value) + "\n";
  };
  count("taken", counters_.taken);
  count("served", counters_.served);
  count("refused", counters_.refused);
  count("shed", counters_.refusals[static_cast<std::size_t>(Reason::kShed)]);
  count("failed", counters_.failed);
  count("open", counters_.open_queries.now);
  return out;
}

// Reads the configuration and the operators' file anew. What is wrong with either is said, a line each, and
// both old ones stay.
void Controller::reload() {
  ++counters_.reloads;
  reload_again_at_.reset();
  try {
    put_in_force(reload_(settings_));
  } catch (const SystemCallError& e) {
    ++counters_.reloads_failed;
    log_.write(log::Level::kError, log::Component::kConfig,
               std::string("configuration not taken over: ") + e.what());
    // Guards against a change log that has moved and is never followed: the files are good.
    if (e.may_pass()) reload_again_at_ = monotonic_now() + kReloadAgainAfter;
  } catch (const configuration::ConfigurationError& e) {
    ++counters_.reloads_failed;
    for (const std::string& line : e.lines())
      log_.write(log::Level::kError, log::Component::kConfig, "configuration not taken over: " + line);
  } catch (const std::exception& e) {
    ++counters_.reloads_failed;
    log_.write(log::Level::kError, log::Component::kConfig,
               std::string("configuration not taken over: ") + e.what());
  }
  reactor_.hurry();
}

// All of it between two events: no query meets a part of the old and a part of the new.
void Controller::put_in_force(const configuration::Configuration& fresh) {
  change_log_.move_to(fresh.controller.change_log, fresh.controller.known);
  log_.choose(fresh.log);
  reducer_.set_trace(log_.on(log::Level::kDebug, log::Component::kCore));
  const core::Address& at = fresh.controller.change_log;
  log_.write(log::Level::kInfo, log::Component::kConfig,
             "configuration read anew: the change log is at " + at.host + ":" + std::to_string(at.port));
  if (fleet_ && fresh.fleet) fleet_->put_in_force(*fresh.fleet, fresh.limits.get());
  if (fresh.limits) return put_limits_in_force(fresh.limits, fresh.levels);
  if (reducer_.limiter().in_force() == nullptr) return;
  put_limits_in_force(std::make_shared<const limits::LimitSet>(settings_, limits::LimitFile{}, 0), nullptr);
}

void Controller::put_limits_in_force(std::shared_ptr<const limits::LimitSet> set,
                                     std::shared_ptr<const service_level::LevelFile> levels) {
  const auto routes = static_cast<std::int64_t>(set->routes().size()) - 1;
  const auto count = static_cast<std::int64_t>(levels ? levels->levels.size() : 0);
  apply(monotonic_now(), core::LimitsChanged{std::move(set), std::move(levels)});
  log_.write(log::Level::kInfo, log::Component::kLimits, "limits in force",
             {{"routes", routes}, {"levels", count}});
}

// Ends when nothing is open and nothing can still arrive, and at the end of the schedule in any case: guards
// against the kill, which takes with it what was read and has no answer.
void Controller::stop_if_done(TimeUs now) {
  if (!shutdown_ || now < shutdown_->close_from) return;
  front_door_.begin_shutdown(*shutdown_);
  if (listening_) {
    const TimeUs give_up_at = std::min(shutdown_->asked_at + kAcceptedBy, shutdown_->answer_by);
    listening_ = !front_door_.stop_listening(now >= give_up_at);
    return;
  }
  const bool all_is_over = events_.empty() && reducer_.queries() == 0 && front_door_.empty();
  if (!all_is_over && now < shutdown_->answer_by) return;
  // Parts go back before the process does: others need not wait for the end of a lease.
  if (fleet_) fleet_->leave(monotonic_now());
  const bool left = !fleet_ || fleet_->left(monotonic_now());
  if ((!all_is_over || !left) && now < shutdown_->end_by) return;
  log_.write(log::Level::kInfo,
             all_is_over ? "nothing is open any more: stopping" : "the time is over: stopping");
  front_door_.close_all();
  engines_.close_all();
  change_log_.close();
  if (fleet_) fleet_->close_all();
  if (intents_) intents_->close();
  admin_.reset();
  ticker_.close();
  reactor_.stop();
}

// Those of connections, and what is always open.
void Controller::count_descriptors() {
  constexpr std::uint64_t kAlwaysOpen = 8;  // standard ones, listener, poll, signals, ticker, change log
  counters_.descriptors.set(counters_.clients.now + front_door_.lingering() +
                            counters_.engine_connections.now + kAlwaysOpen +
                            (fleet_ ? fleet_->connections() : 0));
}

void Controller::print_counters() {
  std::ostream& out = log_.stream();
  const service_level::ServiceLevel& levels = reducer_.levels();
  for (const auto& [level, time] : levels.time_in())
    out << "counter level." << level << ".time_ms " << time / 1000 << '\n';
  if (levels.recorder() != nullptr) {
    out << "counter level.changes " << levels.changes_made() << " now " << levels.general_level() << '\n';
    levels.recorder()->write(out, "signals ");
  }
  metrics::print(counters_, core::counter_names(), out);
}

}  // namespace orchidgw::net
