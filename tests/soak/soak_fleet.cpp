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

// Sanitized processes are slower by several times: so many hold real time on eight cores.
#ifdef __SANITIZE_ADDRESS__
constexpr int kControllers = 8;
#else
constexpr int kControllers = 24;
#endif
constexpr int kEngines = 8;
constexpr milliseconds kLongestDeadline{3000};  // of the classes below
constexpr std::chrono::seconds kReadyWithin{10};
constexpr int kSignalsOfSeries = 4;
constexpr milliseconds kSignalEvery{60};

std::string settings_of(std::size_t self) {
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
    places_.push_back(std::make_unique<Place>());
    places_.back()->faults->set_seed(seed * 100 + static_cast<unsigned>(i));
    begin(i);
  }
}

void SoakFleet::note(const std::string& line) {
  const std::lock_guard lock(mutex_);
  problems_.push_back(line);
}

std::vector<std::string> SoakFleet::problems() const {
  const std::lock_guard lock(mutex_);
  return problems_;
}

std::string SoakFleet::lines_to_tell() const {
  const std::lock_guard lock(mutex_);
  return lines_to_tell_;
}

std::string SoakFleet::address_of(Place& place) {
  const std::lock_guard lock(place.mutex);
  return place.process->address();
}

// --- Controllers ---

void SoakFleet::begin(std::size_t i) {
  Place& place = *places_[i];
  ControllerOptions options;
  options.name = "n" + std::to_string(i);
  options.settings = settings_of(i);
  options.change_log = change_log_.address();
  options.environment = place.faults->environment();
  if (const char* program = std::getenv("ORCHIDGW_SOAK_PROGRAM")) options.program = program;
  {
    const std::lock_guard lock(engines_mutex_);
    for (const auto& [id, member] : members_) options.members.push_back(member);
  }
  const Instant asked = Clock::now();
  auto process = started(options);
  if (Clock::now() - asked > kReadyWithin) note("start: " + options.name + " was not ready within 10 s");
  const std::lock_guard lock(place.mutex);
  place.process = std::move(process);
  place.record = std::make_shared<ProcessRecord>(options.name + "#" + std::to_string(++started_processes_));
}

std::shared_ptr<ControllerProcess> SoakFleet::started(const ControllerOptions& options) {
  while (true) {
    try {
      return std::make_shared<ControllerProcess>(options);
    } catch (const std::runtime_error& e) {
      note("start: " + std::string(e.what()));
    }
  }
}

void SoakFleet::kill_and_begin(std::size_t i) {
  Place& place = *places_[i];
  const std::lock_guard one_at_a_time(place.fault);
  place.record->killed();
  place.process->signal(SIGKILL);
  const int code = place.process->wait_exit();
  if (code != 128 + SIGKILL)
    note("crash: " + place.record->name() + " had ended with " + std::to_string(code));
  place.process->join_reader();
  look_for_violations(place.process->log(), place.record->name());
  begin(i);
}

void SoakFleet::restart(std::size_t i, bool with_series, milliseconds new_one_after) {
  Place& place = *places_[i];
  const std::lock_guard one_at_a_time(place.fault);
  const std::shared_ptr<ControllerProcess> process = place.process;
  const std::shared_ptr<ProcessRecord> record = place.record;
  std::thread ending([this, process, record, with_series] {
    if (with_series) process->signal(SIGHUP);
    std::thread series([process, with_series] {
      for (int n = 0; with_series && n < kSignalsOfSeries; ++n) {
        std::this_thread::sleep_for(kSignalEvery);
        process->signal(n % 2 == 0 ? SIGTERM : SIGHUP);
      }
    });
    stop(*process, *record);
    series.join();
  });
  std::this_thread::sleep_for(new_one_after);
  begin(i);
  const std::lock_guard lock(mutex_);
  stopping_.push_back(std::move(ending));
}

void SoakFleet::stop_all() {
  std::vector<std::thread> stopping;
  {
    const std::lock_guard lock(mutex_);
    stopping.swap(stopping_);
  }
  for (auto& place : places_) {
    place->faults->clear_rates();
    stopping.emplace_back([this, &place] { stop(*place->process, *place->record); });
  }
  for (auto& thread : stopping) thread.join();
}

// SIGKILL comes at the earliest moment that the operators' page allows.
void SoakFleet::stop(ControllerProcess& process, ProcessRecord& record) {
  record.asked_to_stop();
  const integration::Shutdown shutdown = integration::shut_down(process, kLongestDeadline);
  if (shutdown.exit_code == 128 + SIGKILL) {
    note("stop: " + record.name() + " had not ended by the kill");
  } else if (shutdown.exit_code != 0) {
    note("crash: " + record.name() + " ended with " + std::to_string(shutdown.exit_code));
  }
  const std::string log = process.log();
  const bool over_a_request = log.find("counter violations.answer_owed") != std::string::npos;
  if (shutdown.exit_code == 0 && !over_a_request) record.closed_over_nothing();
  look_for_violations(log, record.name());
}

void SoakFleet::look_for_violations(const std::string& log, const std::string& name) {
  std::istringstream in(log);
  for (std::string line; std::getline(in, line);) {
    const bool violation = line.starts_with("counter violations.") ||
                           line.find("not done, as it is not allowed") != std::string::npos ||
                           line.find("client closed with requests unanswered") != std::string::npos;
    const bool overdue = line.starts_with("counter queries.overdue") && !line.ends_with(" 0");
    const bool made_room = line.starts_with("counter client_ends.made_room");
    if (violation || line.find("ERROR: AddressSanitizer") != std::string::npos ||
        line.find("runtime error") != std::string::npos)
      note("violation: " + name + " " + line);
    if (overdue || made_room) {
      const std::lock_guard lock(mutex_);
      lines_to_tell_ += name + " " + line + "; ";
    }
  }
}

// --- Engines ---

void SoakFleet::set_member(const std::string& id, const std::string& member) {
  const std::lock_guard lock(engines_mutex_);
  if (member.empty()) {
    members_.erase(id);
  } else {
    members_[id] = member;
  }
}

void SoakFleet::tell_start(const std::string& id, const std::string& member) {
  set_member(id, member);
  change_log_.tell(member);
  audit_.begins_cold(id);
}

void SoakFleet::add_engine(unsigned seed) {
  const std::string id = "s-" + std::to_string(++made_engines_);
  auto engine = std::make_shared<SoakEngine>(id, audit_, seed * 31 + static_cast<unsigned>(made_engines_));
  const bool late = started_processes_ > 0;
  const std::string member = integration::member(id, engine->address(), "in_service", late ? unix_ms() : 0);
  if (late) {
    tell_start(id, member);
  } else {
    set_member(id, member);
  }
  const std::lock_guard lock(engines_mutex_);
  engines_.push_back(std::move(engine));
}

std::shared_ptr<SoakEngine> SoakFleet::any_engine(std::mt19937& random) {
  const std::lock_guard lock(engines_mutex_);
  return engines_[random() % engines_.size()];
}

void SoakFleet::crash_one(std::mt19937& random, milliseconds gone_for) {
  const std::lock_guard one_at_a_time(engine_ends_);
  const std::shared_ptr<SoakEngine> engine = any_engine(random);
  engine->crash();
  std::this_thread::sleep_for(gone_for);
  const std::string member = integration::member(engine->id(), engine->address(), "in_service", unix_ms());
  engine->restart();
  tell_start(engine->id(), member);
}

void SoakFleet::replace_one(std::mt19937& random, milliseconds drains_for) {
  const std::lock_guard one_at_a_time(engine_ends_);
  const std::shared_ptr<SoakEngine> engine = any_engine(random);
  {
    const std::lock_guard lock(engines_mutex_);
    std::erase(engines_, engine);
    retired_.push_back(engine);
  }
  const std::string draining = integration::member(engine->id(), engine->address(), "terminating");
  set_member(engine->id(), draining);
  change_log_.tell(draining);
  audit_.drains(engine->id());
  add_engine(static_cast<unsigned>(random()));
  std::this_thread::sleep_for(drains_for);
  set_member(engine->id(), "");
  change_log_.tell(integration::member(engine->id(), engine->address(), "terminated"));
}

void SoakFleet::fail_change_log(milliseconds down_for) {
  const Instant from = Clock::now();
  change_log_.set_down(true);
  std::this_thread::sleep_for(down_for);
  change_log_.set_down(false);
  audit_.change_log_was_down({from, Clock::now()});
}

}  // namespace orchidgw::soak
