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
constexpr int kCrowd = 400;  // idle clients: more than there are places
constexpr unsigned kPauseMs = 150;

}  // namespace

SoakFaults::SoakFaults(SoakFleet& fleet, unsigned seed, bool crowds) : fleet_(fleet), random_(seed) {
  kinds_ = {{6, [this] { step_wall_clock(); }},
            {4, [this] { fail_calls(); }},
            {3, [this] { stand_still(); }},
            {2, [this] { fleet_.kill_and_begin(any_place()); }},
            {2, [this] { restart_one(); }},
            {5, [this] { spoil_engine(); }},
            {1, [this] { fleet_.crash_one(random_, any_time(100, 600)); }},
            {1, [this] { fleet_.replace_one(random_, any_time(500, 1000)); }},
            {1, [this] { fleet_.fail_change_log(any_time(300, 1200)); }},
            {2, [this] { reload_one(); }},
            {crowds ? 2 : 0, [this] { crowd(); }}};
  for (const Kind& kind : kinds_) weights_ += kind.weight;
}

void SoakFaults::run(Instant end, std::atomic<int>& made) {
  while (Clock::now() < end) {
    draw().make();
    ++made;
    std::this_thread::sleep_for(any_time(0, kPauseMs));
  }
}

const SoakFaults::Kind& SoakFaults::draw() {
  int drawn = static_cast<int>(random_() % static_cast<unsigned>(weights_));
  for (const Kind& kind : kinds_) {
    drawn -= kind.weight;
    if (drawn < 0) return kind;
  }
  return kinds_.front();
}

milliseconds SoakFaults::any_time(unsigned least_ms, unsigned spread_ms) {
  return milliseconds(least_ms + random_() % spread_ms);
}

void SoakFaults::step_wall_clock() {
  constexpr std::int64_t kStepsMs[] = {-kHourMs, -3000, -700, -100, 100, 700, 3000, kHourMs};
  Place& place = fleet_.place(any_place());
  const auto steps = 1 + random_() % 3;
  for (unsigned i = 0; i < steps; ++i) {
    const bool back_to_right = random_() % 4 == 0;
    place.faults->set_wall_clock(back_to_right ? 0 : kStepsMs[random_() % std::size(kStepsMs)] * kUsPerMs);
    std::this_thread::sleep_for(any_time(0, 200));
  }
}

void SoakFaults::fail_calls() {
  Place& place = fleet_.place(any_place());
  const auto fault = static_cast<CallFault>(random_() % faults::kCallFaults);
  const bool of_a_stream = fault == CallFault::kReceiveFails;
  const std::uint32_t rate =
      (of_a_stream ? 10'000 : 50'000) + static_cast<std::uint32_t>(random_() % 200'000);
  place.faults->set_rate(fault, rate);
  std::this_thread::sleep_for(any_time(200, 1500));
  place.faults->set_rate(fault, 0);
}

void SoakFaults::stand_still() {
  Place& place = fleet_.place(any_place());
  const std::lock_guard one_at_a_time(place.fault);
  const Instant from = Clock::now();
  place.process->signal(SIGSTOP);
  std::this_thread::sleep_for(any_time(30, 400));
  place.process->signal(SIGCONT);
  place.record->stood_still({from, Clock::now()});
}

void SoakFaults::reload_one() {
  Place& place = fleet_.place(any_place());
  const std::lock_guard one_at_a_time(place.fault);
  place.process->signal(SIGHUP);
}

// Idle clients take all places of a controller; who comes meanwhile gets the place of one.
void SoakFaults::crowd() {
  const std::string address = fleet_.address_of(fleet_.place(any_place()));
  std::vector<std::unique_ptr<FrontClient>> idle;
  try {
    for (int i = 0; i < kCrowd; ++i) idle.push_back(std::make_unique<FrontClient>(address));
  } catch (const apache::thrift::TException&) {
    return;  // the controller ends
  }
  std::this_thread::sleep_for(any_time(200, 1000));
}

void SoakFaults::restart_one() {
  const std::size_t place = any_place();
  const bool with_series = random_() % 2 == 0;
  fleet_.restart(place, with_series, any_time(200, 100));
}

void SoakFaults::spoil_engine() {
  const auto engine = fleet_.any_engine(random_);
  engine->set(static_cast<EngineFault>(1 + random_() % 5));
  std::this_thread::sleep_for(any_time(100, 2500));
  engine->set(EngineFault::kNone);
}

}  // namespace orchidgw::soak
