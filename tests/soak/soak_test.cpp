// Runs a few dozen controllers under random overlapping faults and checks the rules (docs/faults.md): guards
// against lost answers, exceeded deadlines, duplicate runs and too many refusals when faults come together.
// The seed is the test's parameter; ORCHIDGW_SOAK_SEEDS=FIRST-LAST and ORCHIDGW_SOAK_SECONDS set other seeds
// and another length (`make soak`), ORCHIDGW_SOAK_PROGRAM another build of the program.
#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "soak_audit.h"
#include "soak_client.h"
#include "soak_faults.h"
#include "soak_fleet.h"

namespace orchidgw::soak {
namespace {

// Sanitized processes are several times slower.
#ifdef __SANITIZE_ADDRESS__
constexpr unsigned kFaultThreads = 4;
#else
constexpr unsigned kFaultThreads = 9;
#endif
constexpr std::size_t kClientsPerController = 2;
constexpr unsigned kIdleClientsOneIn = 3;  // one seed in so many has idle clients

// Records when the machine is stalled: if a thread that only sleeps wakes late, the other threads and
// processes had no core either, so the audit doesn't count that time. `mutants.sh` checks that this hides no
// faults.
void record_machine_stalls(SoakAudit& audit, Instant end) {
  constexpr milliseconds kPause{5};
  constexpr milliseconds kMinStall{20};
  constexpr milliseconds kAnswerTail{5000};
  while (Clock::now() < end + kAnswerTail) {
    const Instant from = Clock::now();
    std::this_thread::sleep_for(kPause);
    if (Clock::now() - from > kPause + kMinStall) audit.record_machine_stall({from, Clock::now()});
  }
}

// Runs clients and faults until `end`; returns the number of injected faults.
int run_soak(SoakAudit& audit, SoakFleet& fleet, unsigned seed, Instant end) {
  std::atomic<int> faults{0};
  std::vector<std::thread> threads;
  threads.emplace_back([&] { record_machine_stalls(audit, end); });
  for (unsigned i = 0; i < fleet.size() * kClientsPerController; ++i)
    threads.emplace_back(
        [&, i] { SoakClient(audit, fleet.slot(i % fleet.size()), seed * 1000 + i).run(end); });
  for (unsigned i = 0; i < kFaultThreads; ++i)
    threads.emplace_back(
        [&, i] { SoakFaults(fleet, seed * 7919 + i, seed % kIdleClientsOneIn == 0).run(end, faults); });
  for (auto& thread : threads) thread.join();
  return faults;
}

std::chrono::seconds run_duration() {
  const char* text = std::getenv("ORCHIDGW_SOAK_SECONDS");
  return std::chrono::seconds(text == nullptr ? 12 : std::atoi(text));
}

std::vector<unsigned> seeds() {
  const char* text = std::getenv("ORCHIDGW_SOAK_SEEDS");
  if (text == nullptr) return {1, 2, 3};
  char* end = nullptr;
  const auto first = static_cast<unsigned>(std::strtoul(text, &end, 10));
  const auto last = *end == '-' ? static_cast<unsigned>(std::strtoul(end + 1, nullptr, 10)) : first;
  std::vector<unsigned> out;
  for (unsigned seed = first; seed <= last; ++seed) out.push_back(seed);
  return out;
}

class Soak : public ::testing::TestWithParam<unsigned> {};

TEST_P(Soak, NoRuleIsBrokenUnderOverlappingFaults) {
  SoakAudit audit;
  SoakFleet fleet(audit, GetParam());
  const int faults = run_soak(audit, fleet, GetParam(), Clock::now() + run_duration());
  fleet.stop_all();
  std::cout << "seed " << GetParam() << ": " << audit.summary() << "; " << faults << " faults, "
            << fleet.started_processes() << " processes" << std::endl;
  if (!fleet.notable_counters().empty()) std::cout << fleet.notable_counters() << std::endl;
  for (const std::string& line : fleet.problems()) ADD_FAILURE() << line;
  for (const std::string& line : audit.broken_rules()) ADD_FAILURE() << line;
  for (const std::string& line : audit.low_shares()) ADD_FAILURE() << line;
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, ::testing::ValuesIn(seeds()));

}  // namespace
}  // namespace orchidgw::soak
