#include "soak_fleet.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include "integration/shutdown_probe.h"

namespace orchidgw::soak {
namespace {

using integration::ControllerOptions;
using integration::ControllerProcess;

// Sanitized processes are several times slower; eight of them keep up with real time on eight cores.
#ifdef __SANITIZE_ADDRESS__
constexpr int kControllers = 8;
#else
constexpr int kControllers = 24;
#endif
constexpr int kEngines = 8;
constexpr milliseconds kMaxDeadline{3000};  // of the query classes below
constexpr std::chrono::seconds kMaxStartTime{10};
constexpr int kMoreSignals = 4;
constexpr milliseconds kMoreSignalsInterval{60};

std::string make_settings(std::size_t self) {
  return R"({"balancers":)" + std::to_string(kControllers) + R"(,"me":)" + std::to_string(self) +
         R"(,"myZone":"z","classes":[)"
         R"({"name":"lookup","aim":500000,"deadline":2000000,"effect":"idempotent","value":1},)"
         R"({"name":"load","aim":1500000,"deadline":3000000,"effect":"deduplicated","keyScope":"all",)"
         R"("repeatWindow":300000,"value":5},)"
         R"({"name":"once","aim":1500000,"deadline":2500000,"effect":"at_most_once","value":3}],)"
         R"("domain":{"dop":[1,1,1],"sizeCores":[8],"kindMemoryMb":[16384],"bills":true},"shapes":["std"],)"
         R"("policyLimits":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfter":500000,)"
         R"("connectTimeout":250000},"rules":{"stopSendingWithin":1000000,"coldFrom":0.3,"cold":5000000,)"
         R"("fallMultiple":1,"tipAfter":1000000},)"
         R"("tenants":[{"name":"acme","portion":1,"quotaPerS":400}]})";
}

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

const std::vector<QueryClass>& query_classes() {
  static const std::vector<QueryClass> classes = {
      {"lookup", Effect::kSafe, milliseconds(2000), milliseconds(0)},
      {"load", Effect::kKeyed, milliseconds(3000), milliseconds(300)},
      {"once", Effect::kUnsafe, milliseconds(2500), milliseconds(0)},
  };
  return classes;
}

SoakFleet::SoakFleet(SoakAudit& audit, unsigned seed) : audit_(audit) {
  for (int i = 0; i < kEngines; ++i) add_engine(seed);
  for (std::size_t i = 0; i < kControllers; ++i) {
    slots_.push_back(std::make_unique<ControllerSlot>());
    slots_.back()->faults->set_seed(seed * 100 + static_cast<unsigned>(i));
    start(i);
  }
}

void SoakFleet::report_problem(const std::string& line) {
  const std::lock_guard lock(mutex_);
  problems_.push_back(line);
}

std::vector<std::string> SoakFleet::problems() const {
  const std::lock_guard lock(mutex_);
  return problems_;
}

std::string SoakFleet::notable_counters() const {
  const std::lock_guard lock(mutex_);
  return notable_counters_;
}

std::string SoakFleet::address_of(ControllerSlot& slot) {
  const std::lock_guard lock(slot.mutex);
  return slot.process->address();
}

// --- Controllers ---

void SoakFleet::start(std::size_t i) {
  ControllerSlot& slot = *slots_[i];
  ControllerOptions options;
  options.name = "n" + std::to_string(i);
  options.settings = make_settings(i);
  options.change_log = change_log_.address();
  options.environment = slot.faults->environment();
  if (const char* program = std::getenv("ORCHIDGW_SOAK_PROGRAM")) options.program = program;
  {
    const std::lock_guard lock(engines_mutex_);
    for (const auto& [id, member_json] : members_) options.members.push_back(member_json);
  }
  const Instant requested_at = Clock::now();
  auto process = start_process(options);
  if (Clock::now() - requested_at > kMaxStartTime)
    report_problem("start: " + options.name + " was not ready within 10 s");
  const std::lock_guard lock(slot.mutex);
  slot.process = std::move(process);
  slot.record = std::make_shared<ProcessRecord>(options.name + "#" + std::to_string(++started_processes_));
}

std::shared_ptr<ControllerProcess> SoakFleet::start_process(const ControllerOptions& options) {
  while (true) {
    try {
      return std::make_shared<ControllerProcess>(options);
    } catch (const std::runtime_error& e) {
      report_problem("start: " + std::string(e.what()));
    }
  }
}

void SoakFleet::kill_and_restart(std::size_t i) {
  ControllerSlot& slot = *slots_[i];
  const std::lock_guard fault_lock(slot.fault_mutex);
  slot.record->record_kill();
  slot.process->signal(SIGKILL);
  const int code = slot.process->wait_exit();
  if (code != 128 + SIGKILL)
    report_problem("crash: " + slot.record->name() + " had ended with " + std::to_string(code));
  slot.process->join_log_reader();
  scan_log(slot.process->log(), slot.record->name());
  start(i);
}

void SoakFleet::restart(std::size_t i, bool with_more_signals, milliseconds replacement_delay) {
  ControllerSlot& slot = *slots_[i];
  const std::lock_guard fault_lock(slot.fault_mutex);
  const std::shared_ptr<ControllerProcess> process = slot.process;
  const std::shared_ptr<ProcessRecord> record = slot.record;
  std::thread ending([this, process, record, with_more_signals] {
    if (with_more_signals) process->signal(SIGHUP);
    std::thread more_signals([process, with_more_signals] {
      for (int n = 0; with_more_signals && n < kMoreSignals; ++n) {
        std::this_thread::sleep_for(kMoreSignalsInterval);
        process->signal(n % 2 == 0 ? SIGTERM : SIGHUP);
      }
    });
    stop(*process, *record);
    more_signals.join();
  });
  std::this_thread::sleep_for(replacement_delay);
  start(i);
  const std::lock_guard lock(mutex_);
  stopping_.push_back(std::move(ending));
}

void SoakFleet::stop_all() {
  std::vector<std::thread> stopping;
  {
    const std::lock_guard lock(mutex_);
    stopping.swap(stopping_);
  }
  for (auto& slot : slots_) {
    slot->faults->clear_rates();
    stopping.emplace_back([this, &slot] { stop(*slot->process, *slot->record); });
  }
  for (auto& thread : stopping) thread.join();
}

// Stops a process as operators do: SIGTERM, then SIGKILL at the earliest moment that the operators' page
// allows.
void SoakFleet::stop(ControllerProcess& process, ProcessRecord& record) {
  record.record_stop_request();
  const integration::Shutdown shutdown = integration::shut_down(process, kMaxDeadline);
  if (shutdown.exit_code == 128 + SIGKILL) {
    report_problem("stop: " + record.name() + " had not ended by the kill");
  } else if (shutdown.exit_code != 0) {
    report_problem("crash: " + record.name() + " ended with " + std::to_string(shutdown.exit_code));
  }
  const std::string log = process.log();
  const bool over_a_request = log.find("counter violations.answer_owed") != std::string::npos;
  if (shutdown.exit_code == 0 && !over_a_request) record.record_clean_close();
  scan_log(log, record.name());
}

void SoakFleet::scan_log(const std::string& log, const std::string& name) {
  std::istringstream in(log);
  for (std::string line; std::getline(in, line);) {
    const bool violation = line.starts_with("counter violations.") ||
                           line.find("not done, as it is not allowed") != std::string::npos ||
                           line.find("client closed with requests unanswered") != std::string::npos;
    const bool overdue = line.starts_with("counter queries.overdue") && !line.ends_with(" 0");
    const bool made_room = line.starts_with("counter client_ends.made_room");
    if (violation || line.find("ERROR: AddressSanitizer") != std::string::npos ||
        line.find("runtime error") != std::string::npos)
      report_problem("violation: " + name + " " + line);
    if (overdue || made_room) {
      const std::lock_guard lock(mutex_);
      notable_counters_ += name + " " + line + "; ";
    }
  }
}

// --- Engines ---

void SoakFleet::set_member(const std::string& id, const std::string& member_json) {
  const std::lock_guard lock(engines_mutex_);
  if (member_json.empty()) {
    members_.erase(id);
  } else {
    members_[id] = member_json;
  }
}

void SoakFleet::announce_start(const std::string& id, const std::string& member_json) {
  set_member(id, member_json);
  change_log_.publish(member_json);
  audit_.record_engine_start(id);
}

void SoakFleet::add_engine(unsigned seed) {
  const std::string id = "s-" + std::to_string(++created_engines_);
  auto engine = std::make_shared<SoakEngine>(id, audit_, seed * 31 + static_cast<unsigned>(created_engines_));
  const bool already_running = started_processes_ > 0;
  const std::string member_json =
      integration::member_json(id, engine->address(), "in_service", already_running ? unix_ms() : 0);
  if (already_running) {
    announce_start(id, member_json);
  } else {
    set_member(id, member_json);
  }
  const std::lock_guard lock(engines_mutex_);
  engines_.push_back(std::move(engine));
}

std::shared_ptr<SoakEngine> SoakFleet::random_engine(std::mt19937& random) {
  const std::lock_guard lock(engines_mutex_);
  return engines_[random() % engines_.size()];
}

void SoakFleet::crash_engine(std::mt19937& random, milliseconds outage) {
  const std::lock_guard fault_lock(engine_change_mutex_);
  const std::shared_ptr<SoakEngine> engine = random_engine(random);
  engine->crash();
  std::this_thread::sleep_for(outage);
  const std::string member_json =
      integration::member_json(engine->id(), engine->address(), "in_service", unix_ms());
  engine->restart();
  announce_start(engine->id(), member_json);
}

void SoakFleet::replace_engine(std::mt19937& random, milliseconds drain_duration) {
  const std::lock_guard fault_lock(engine_change_mutex_);
  const std::shared_ptr<SoakEngine> engine = random_engine(random);
  {
    const std::lock_guard lock(engines_mutex_);
    std::erase(engines_, engine);
    retired_.push_back(engine);
  }
  const std::string draining = integration::member_json(engine->id(), engine->address(), "terminating");
  set_member(engine->id(), draining);
  change_log_.publish(draining);
  audit_.record_drain(engine->id());
  add_engine(static_cast<unsigned>(random()));
  std::this_thread::sleep_for(drain_duration);
  set_member(engine->id(), "");
  change_log_.publish(integration::member_json(engine->id(), engine->address(), "terminated"));
}

void SoakFleet::fail_change_log(milliseconds outage) {
  const Instant from = Clock::now();
  change_log_.set_down(true);
  std::this_thread::sleep_for(outage);
  change_log_.set_down(false);
  audit_.record_change_log_outage({from, Clock::now()});
}

}  // namespace orchidgw::soak
