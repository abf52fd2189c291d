// Measures on real processes over loopback how fast leases are divided anew when controllers stop or start,
// what the fleet costs, and how much of the total limit is served with a configured number of controllers and
// with leases. Not a test; run by `make fleet-sizes`.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <sstream>

#include "fleet_harness.h"

namespace {

using namespace orchidgw::integration;

struct Samples {
  std::vector<double> values;
  void print(const char* what) {
    std::sort(values.begin(), values.end());
    std::cout << "| " << what << " | " << std::fixed << std::setprecision(2) << values[values.size() / 2]
              << " | " << values.back() << " |" << std::endl;
  }
};

double seconds_since(std::int64_t from) { return static_cast<double>(boot_time_us() - from) / 1e6; }

std::vector<int> all_but(int n, int without = -1) {
  std::vector<int> out(static_cast<std::size_t>(n));
  std::iota(out.begin(), out.end(), 0);
  std::erase(out, without);
  return out;
}

void measure_size(int controllers, int rounds) {
  FleetShape shape;
  shape.controllers = controllers;
  shape.keepers = 3;
  shape.max_controllers = controllers + 1;
  shape.term_ms = 3'000;
  shape.rate = 100 * controllers;
  shape.concurrency = 20 * controllers;
  shape.use_relays = controllers <= 20;
  FleetHarness fleet(shape);
  fleet.start_all();
  if (!fleet.wait_fully_leased(all_but(controllers))) std::cout << "never fully leased\n";
  Samples part, join, kill, pause, cut, cpu, sent, bytes;
  const int last = controllers - 1;
  for (int round = 0; round < rounds; ++round) {
    std::int64_t from = boot_time_us();
    fleet.kill(last);
    fleet.wait_fully_leased(all_but(controllers, last));
    kill.values.push_back(seconds_since(from));
    from = boot_time_us();
    fleet.start(last);
    fleet.wait_line(last, "leased component=fleet");
    part.values.push_back(seconds_since(from));
    fleet.wait_fully_leased(all_but(controllers));
    join.values.push_back(seconds_since(from));
    from = boot_time_us();
    fleet.pause(last);
    fleet.wait_fully_leased(all_but(controllers, last));
    pause.values.push_back(seconds_since(from));
    fleet.resume(last);
    fleet.wait_fully_leased(all_but(controllers));
    if (!shape.use_relays) continue;
    from = boot_time_us();
    fleet.set_link_fault(last, Relay::Fault::kReset);
    fleet.wait_fully_leased(all_but(controllers, last));
    cut.values.push_back(seconds_since(from));
    fleet.set_link_fault(last, Relay::Fault::kNone);
    fleet.wait_fully_leased(all_but(controllers));
  }
  // Ten seconds without queries: all cost is that of the fleet protocol and the event loop.
  std::map<int, std::map<std::string, long>> before;
  std::map<int, double> cpu_before;
  for (const int i : all_but(controllers))
    before[i] = fleet.at(i).counters(), cpu_before[i] = cpu_seconds(fleet.at(i).pid());
  const std::int64_t from = boot_time_us();
  std::this_thread::sleep_for(std::chrono::seconds(10));
  const double passed = seconds_since(from);
  for (const int i : all_but(controllers)) {
    cpu.values.push_back((cpu_seconds(fleet.at(i).pid()) - cpu_before[i]) / passed * 1e3);
    const auto now = fleet.at(i).counters();
    sent.values.push_back(static_cast<double>(now.at("fleet.sent") - before[i].at("fleet.sent")) / passed);
    bytes.values.push_back(static_cast<double>(now.at("bytes.fleet_out") - before[i].at("bytes.fleet_out")) /
                           passed);
  }
  const Audit audit = fleet.audit();
  std::cout << "\n"
            << controllers << " processes, 3 of them keepers, term 3 s, " << rounds << " rounds; sum "
            << (audit.violation.empty() ? "held" : audit.violation) << " at " << audit.moments
            << " moments\n\n| | median | worst |\n| --- | --- | --- |\n";
  part.print("from a start to its first part, s");
  join.print("from a start to a full division, s");
  kill.print("from a kill to a full division, s");
  pause.print("from a pause to a full division, s");
  if (!cut.values.empty()) cut.print("from a cut to a full division, s");
  sent.print("messages sent a second (worst: the leading keeper)");
  bytes.print("bytes sent a second (worst: the leading keeper)");
  cpu.print("CPU, ms a second (worst: the leading keeper)");
}

// Five controllers, the first with five times the clients of the others; two are killed, one of them is
// restarted.
void compare_admission(bool leased) {
  FleetShape shape;
  shape.controllers = 5;
  shape.keepers = 3;
  shape.max_controllers = 5;
  shape.rate = 300;
  shape.concurrency = 60;
  shape.use_fleet = leased;
  FleetHarness fleet(shape);
  fleet.start_all();
  if (leased) fleet.wait_fully_leased(all_but(5));
  const std::int64_t from = boot_time_us();
  const long before = fleet.admitted();
  fleet.start_traffic(5);
  const auto phase = std::chrono::seconds(10);
  std::this_thread::sleep_for(phase);
  fleet.kill(3);
  fleet.kill(4);
  std::this_thread::sleep_for(phase);
  fleet.start(3);
  std::this_thread::sleep_for(phase);
  const double passed = seconds_since(from);
  const long admitted = fleet.admitted() - before;
  const FleetHarness::Counts counts = fleet.stop_traffic();
  std::cout << "| " << (leased ? "leases" : "told count") << " | " << counts.asked << " | " << counts.served
            << " | " << std::fixed << std::setprecision(2)
            << static_cast<double>(admitted) / (shape.rate * passed) << " |" << std::endl;
}

// All processes are killed at one instant and restarted: measures when each has a lease and when it is in
// full service, and, with up to five controllers, what the engines admit in each second from the restart on.
void measure_power_loss(int controllers, int ramp_ms, int rounds) {
  FleetShape shape;
  shape.controllers = controllers;
  shape.keepers = 3;
  shape.max_controllers = controllers + 1;
  shape.term_ms = 3'000;
  shape.ramp_ms = ramp_ms;
  shape.rate = 60 * controllers;
  shape.concurrency = 20 * controllers;
  shape.use_relays = false;
  FleetHarness fleet(shape);
  fleet.start_all();
  fleet.wait_fully_leased(all_but(controllers));
  if (controllers <= 5) fleet.start_traffic();
  Samples leased, full;
  std::vector<long> each_second;
  for (int round = 0; round < rounds; ++round) {
    fleet.kill_all();
    const std::int64_t from = boot_time_us();
    fleet.start_all();
    const long before = fleet.admitted();
    std::thread counts([&] {
      each_second.assign(1, before);
      for (int s = 1; controllers <= 5 && s <= 14; ++s) {
        std::this_thread::sleep_for(std::chrono::microseconds(from + s * 1'000'000 - boot_time_us()));
        each_second.push_back(fleet.admitted());
      }
    });
    for (const int i : all_but(controllers)) fleet.wait_line(i, "leased component=fleet");
    leased.values.push_back(seconds_since(from));
    for (const int i : all_but(controllers)) fleet.wait_line(i, "stage full");
    full.values.push_back(seconds_since(from));
    counts.join();
  }
  fleet.stop_traffic();
  const Audit audit = fleet.audit();
  std::cout << "\n"
            << controllers << " processes after a power loss, term 3 s, ramp " << ramp_ms << " ms, " << rounds
            << " rounds; sum " << (audit.violation.empty() ? "held" : audit.violation)
            << "\n\n| | median | worst |\n| --- | --- | --- |\n";
  leased.print("until the last has a lease, s");
  full.print("until the last is in full service, s");
  std::cout << "admitted in each second of the last round:";
  for (std::size_t s = 1; s < each_second.size(); ++s)
    std::cout << ' ' << each_second[s] - each_second[s - 1];
  std::cout << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "all";
  if (what == "all" || what == "worth") {
    std::cout << "| by | asked | served | of the whole's rate |\n| --- | --- | --- | --- |\n";
    compare_admission(false);
    compare_admission(true);
  }
  if (what == "all" || what == "power") {
    measure_power_loss(5, 0, 3);
    measure_power_loss(5, 6'000, 3);
    measure_power_loss(50, 6'000, 2);
  }
  for (const int n : {5, 20, 100})
    if (what == "all" || what == std::to_string(n)) measure_size(n, n > 5 ? 2 : 5);
}
