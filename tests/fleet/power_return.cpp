// Measures the recovery after a power loss of all processes: time to each stage, at several sizes; and by
// half seconds, with and without the fleet's ramp, the queries that were sent and admitted and whether they
// would overload engines in slow start. Not a test; run by `make power-return`.
#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>

#include "fleet_harness.h"

namespace {

using namespace orchidgw::integration;

constexpr std::int64_t kWindow = 500'000;  // us

std::int64_t wall_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

FleetShape shape_of(int controllers, int ramp_ms) {
  FleetShape out;
  out.controllers = controllers;
  out.keepers = 3;
  out.max_controllers = controllers + 1;
  out.term_ms = 3'000;
  out.ramp_ms = ramp_ms;
  out.rate = 200;
  out.concurrency = 10 * controllers;
  out.use_relays = false;
  return out;
}

// When a process first logged each stage, in Unix ms as in its log.
std::map<std::string, std::int64_t> first_stage_times(const std::string& log) {
  std::map<std::string, std::int64_t> out;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    const auto at = line.find(": stage ");
    if (at == std::string::npos) continue;
    std::istringstream rest(line.substr(at + 8));
    std::string name;
    rest >> name;
    out.try_emplace(name, std::stoll(line));
  }
  return out;
}

void measure_stage_times(int controllers, int ramp_ms) {
  FleetHarness fleet(shape_of(controllers, ramp_ms));
  fleet.start_all();
  std::vector<int> all(static_cast<std::size_t>(controllers));
  std::iota(all.begin(), all.end(), 0);
  if (!fleet.wait_fully_leased(all)) std::cout << "never fully leased\n";
  fleet.kill_all();
  const std::int64_t power_loss_at = wall_ms();
  fleet.start_all();
  std::map<std::string, std::vector<std::int64_t>> seen;
  for (const int i : all) {
    if (!fleet.wait_line(i, "stage full")) std::cout << i << " never in full service\n";
    for (const auto& [name, at] : first_stage_times(fleet.at(i).log()))
      seen[name].push_back(at - power_loss_at);
  }
  for (const char* name : {"keepers", "log", "terms", "budgets", "ramp", "full"}) {
    auto& at = seen[name];
    if (at.empty()) continue;
    std::sort(at.begin(), at.end());
    std::cout << "| " << controllers << " | " << ramp_ms / 1'000 << " s | " << name << " | " << at.size()
              << " | " << std::fixed << std::setprecision(2) << static_cast<double>(at[at.size() / 2]) / 1e3
              << " | " << static_cast<double>(at.back()) / 1e3 << " |" << std::endl;
  }
}

// An engine in slow start may get a tenth of its full load in the first half second and a tenth more in each
// further one. It counts as overloaded if it gets more than N + 3 x sqrt(N) + 3 queries in one, N being what
// it may get; the bench uses the same measure.
void plot_admission(int ramp_ms) {
  constexpr int kControllers = 5;
  constexpr double kEngines = 2;
  const FleetShape shape = shape_of(kControllers, ramp_ms);
  FleetHarness fleet(shape);
  fleet.start_all();
  fleet.wait_fully_leased({0, 1, 2, 3, 4});
  fleet.kill_all();
  const std::int64_t power_loss_at = boot_time_us();
  fleet.start_traffic(4);
  fleet.start_all();
  for (int i = 0; i < kControllers; ++i) fleet.wait_line(i, "stage full");
  fleet.wait_served(4 * shape.rate);
  fleet.stop_traffic();
  const auto count = [power_loss_at](const std::vector<std::int64_t>& at, std::size_t w) {
    const std::int64_t from = power_loss_at + static_cast<std::int64_t>(w) * kWindow;
    return std::count_if(at.begin(), at.end(),
                         [&](std::int64_t t) { return t >= from && t < from + kWindow; });
  };
  const auto [asked, admitted] = fleet.event_times();
  int overloaded_windows = 0;
  const double warm =
      shape.rate / 2.0 / kEngines;  // queries that one engine takes in half a second at full capacity
  for (std::size_t w = 0; w < 28; ++w) {
    const auto in = count(admitted, w);
    const double allowed = warm * std::min(1.0, 0.1 * static_cast<double>(w + 1));
    const bool overloaded = static_cast<double>(in) / kEngines > allowed + 3 * std::sqrt(allowed) + 3;
    overloaded_windows += overloaded ? 1 : 0;
    std::cout << std::setw(5) << std::fixed << std::setprecision(1) << static_cast<double>(w) / 2
              << " s  asked " << std::setw(6) << count(asked, w) << "  admitted " << std::setw(4) << in
              << (overloaded ? " OVERLOADED " : "            ")
              << std::string(static_cast<std::size_t>(in / 4), '#') << '\n';
  }
  std::cout << "ramp " << ramp_ms / 1'000 << " s: " << overloaded_windows
            << " half seconds in which cold engines are overloaded" << std::endl;
}

}  // namespace

int main() {
  std::cout << "| controllers | ramp | stage | of them | median s | worst s |\n|---|---|---|---|---|---|\n";
  measure_stage_times(5, 0);
  measure_stage_times(5, 6'000);
  measure_stage_times(50, 0);
  measure_stage_times(50, 6'000);
  plot_admission(0);
  plot_admission(6'000);
}
