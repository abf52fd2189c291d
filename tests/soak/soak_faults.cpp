#include "soak_faults.h"

#include <signal.h>
#include <thrift/Thrift.h>

#include <iterator>
#include <memory>
#include <thread>

#include "integration/front_client.h"

namespace orchidgw::soak {
namespace {

using faults::CallFault;
using integration::FrontClient;

constexpr std::int64_t kUsPerMs = 1000;
constexpr std::int64_t kHourMs = 3'600'000;
constexpr int kIdleClients = 400;  // more than a controller has client slots
constexpr unsigned kMaxPauseMs = 150;

}  // namespace

SoakFaults::SoakFaults(SoakFleet& fleet, unsigned seed, bool with_idle_clients)
    : fleet_(fleet), random_(seed) {
  kinds_ = {{6, [this] { step_wall_clock(); }},
            {4, [this] { fail_system_calls(); }},
            {3, [this] { pause_controller(); }},
            {2, [this] { fleet_.kill_and_restart(random_slot()); }},
            {2, [this] { restart_controller(); }},
            {5, [this] { inject_engine_fault(); }},
            {1, [this] { fleet_.crash_engine(random_, random_duration(100, 600)); }},
            {1, [this] { fleet_.replace_engine(random_, random_duration(500, 1000)); }},
            {1, [this] { fleet_.fail_change_log(random_duration(300, 1200)); }},
            {2, [this] { reload_controller(); }},
            {with_idle_clients ? 2 : 0, [this] { add_idle_clients(); }}};
  for (const FaultKind& kind : kinds_) total_weight_ += kind.weight;
}

void SoakFaults::run(Instant end, std::atomic<int>& fault_count) {
  while (Clock::now() < end) {
    draw().inject();
    ++fault_count;
    std::this_thread::sleep_for(random_duration(0, kMaxPauseMs));
  }
}

const SoakFaults::FaultKind& SoakFaults::draw() {
  int drawn = static_cast<int>(random_() % static_cast<unsigned>(total_weight_));
  for (const FaultKind& kind : kinds_) {
    drawn -= kind.weight;
    if (drawn < 0) return kind;
  }
  return kinds_.front();
}

milliseconds SoakFaults::random_duration(unsigned min_ms, unsigned range_ms) {
  return milliseconds(min_ms + random_() % range_ms);
}

void SoakFaults::step_wall_clock() {
  constexpr std::int64_t kStepsMs[] = {-kHourMs, -3000, -700, -100, 100, 700, 3000, kHourMs};
  ControllerSlot& slot = fleet_.slot(random_slot());
  const auto steps = 1 + random_() % 3;
  for (unsigned i = 0; i < steps; ++i) {
    const bool back_to_true_time = random_() % 4 == 0;
    slot.faults->set_wall_clock(back_to_true_time ? 0 : kStepsMs[random_() % std::size(kStepsMs)] * kUsPerMs);
    std::this_thread::sleep_for(random_duration(0, 200));
  }
}

void SoakFaults::fail_system_calls() {
  ControllerSlot& slot = fleet_.slot(random_slot());
  const auto fault = static_cast<CallFault>(random_() % faults::kCallFaultCount);
  const bool is_receive = fault == CallFault::kReceiveFails;
  const std::uint32_t rate = (is_receive ? 10'000 : 50'000) + static_cast<std::uint32_t>(random_() % 200'000);
  slot.faults->set_rate(fault, rate);
  std::this_thread::sleep_for(random_duration(200, 1500));
  slot.faults->set_rate(fault, 0);
}

void SoakFaults::pause_controller() {
  ControllerSlot& slot = fleet_.slot(random_slot());
  const std::lock_guard fault_lock(slot.fault_mutex);
  const Instant from = Clock::now();
  slot.process->signal(SIGSTOP);
  std::this_thread::sleep_for(random_duration(30, 400));
  slot.process->signal(SIGCONT);
  slot.record->record_pause({from, Clock::now()});
}

void SoakFaults::reload_controller() {
  ControllerSlot& slot = fleet_.slot(random_slot());
  const std::lock_guard fault_lock(slot.fault_mutex);
  slot.process->signal(SIGHUP);
}

// Idle clients take all client slots of a controller; a new client then evicts an idle one.
void SoakFaults::add_idle_clients() {
  const std::string address = fleet_.address_of(fleet_.slot(random_slot()));
  std::vector<std::unique_ptr<FrontClient>> idle;
  try {
    for (int i = 0; i < kIdleClients; ++i) idle.push_back(std::make_unique<FrontClient>(address));
  } catch (const apache::thrift::TException&) {
    return;  // the controller is shutting down
  }
  std::this_thread::sleep_for(random_duration(200, 1000));
}

void SoakFaults::restart_controller() {
  const std::size_t slot = random_slot();
  const bool with_more_signals = random_() % 2 == 0;
  fleet_.restart(slot, with_more_signals, random_duration(200, 100));
}

void SoakFaults::inject_engine_fault() {
  const auto engine = fleet_.random_engine(random_);
  engine->set_fault(static_cast<EngineFault>(1 + random_() % 5));
  std::this_thread::sleep_for(random_duration(100, 2500));
  engine->set_fault(EngineFault::kNone);
}

}  // namespace orchidgw::soak
