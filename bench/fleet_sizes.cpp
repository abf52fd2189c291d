// Measures how fast leases are divided anew when controllers stop or start, at sizes that sockets don't
// reach: the program's own fleet code over libraft on a simulated network and clock (`make fleet-sizes`). The
// output marks the figures as simulated.
#include <ctime>
#include <iomanip>
#include <iostream>
#include <string>

#include "fleet_simulation.h"

namespace {

using orchidgw::TimeUs;
using orchidgw::fleet::fleet_shape;
using orchidgw::fleet::FleetSimulation;

constexpr TimeUs kSecond = 1'000'000;
constexpr TimeUs kTimeout = 60 * kSecond;

double cpu_seconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

// Runs until the live members hold all that can be leased, 60 s at most; returns the simulated seconds.
double run_until_fully_leased(FleetSimulation& fleet) {
  const TimeUs from = fleet.now();
  do {
    fleet.run(20'000, 10'000);
  } while (fleet.violation().empty() && !fleet.fully_leased() && fleet.now() < from + kTimeout);
  return static_cast<double>(fleet.now() - from) / 1e6;
}

struct Samples {
  std::vector<double> values;
  void print(const char* what) {
    std::sort(values.begin(), values.end());
    std::cout << "| " << what << " | " << std::fixed << std::setprecision(2) << values[values.size() / 2]
              << " | " << values.back() << " |\n";
  }
};

void measure(int members, int seeds) {
  Samples part, join, kill, pause, cut, power, messages, bytes, cpu;
  for (int seed = 1; seed <= seeds; ++seed) {
    FleetSimulation::Shape shape = fleet_shape(3, members);
    shape.terms.longest_key_hold = 0;  // no key holds, so the cost is that of the leases alone
    FleetSimulation fleet(shape, static_cast<std::uint64_t>(seed));
    fleet.kill_member(0);
    run_until_fully_leased(fleet);
    fleet.start_member(0);
    const TimeUs joined = fleet.now();
    while (fleet.violation().empty() && !fleet.holder(0).leased(fleet.now()) &&
           fleet.now() < joined + kTimeout)
      fleet.run(10'000, 10'000);
    part.values.push_back(static_cast<double>(fleet.now() - joined) / 1e6);
    join.values.push_back(part.values.back() + run_until_fully_leased(fleet));
    fleet.kill_member(1);
    kill.values.push_back(run_until_fully_leased(fleet));
    fleet.start_member(1);
    run_until_fully_leased(fleet);
    fleet.pause_member(2, 30 * kSecond);
    fleet.run(3 * kSecond, 10'000);
    pause.values.push_back(3 + run_until_fully_leased(fleet));
    fleet.run(30 * kSecond, 10'000);
    run_until_fully_leased(fleet);
    const std::size_t node = fleet.keepers() + 3;
    for (std::size_t k = 0; k < fleet.keepers(); ++k) fleet.cut(k, node, true), fleet.cut(node, k, true);
    fleet.run(3 * kSecond, 10'000);
    cut.values.push_back(3 + run_until_fully_leased(fleet));
    fleet.heal();
    run_until_fully_leased(fleet);
    fleet.power_off();
    for (std::size_t k = 0; k < fleet.keepers(); ++k) fleet.start_keeper(k);
    for (std::size_t m = 0; m < fleet.members(); ++m) fleet.start_member(m);
    power.values.push_back(run_until_fully_leased(fleet));
    const std::uint64_t messages_before = fleet.messages();
    const std::uint64_t bytes_before = fleet.bytes();
    const double cpu_before = cpu_seconds();
    fleet.run(10 * kSecond, 10'000);
    messages.values.push_back(static_cast<double>(fleet.messages() - messages_before) / 10 / members);
    bytes.values.push_back(static_cast<double>(fleet.bytes() - bytes_before) / 10 / members);
    cpu.values.push_back((cpu_seconds() - cpu_before) / 10 / members * 1e6);
    if (!fleet.violation().empty()) std::cout << "OVERDRAWN: " << fleet.violation() << '\n';
  }
  std::cout << "\n"
            << members << " controllers, 3 of them keepers, term 3 s, " << seeds
            << " seeds (simulated)\n\n| | median | worst |\n| --- | --- | --- |\n";
  part.print("from a join to its first part, s");
  join.print("from a join to a full division, s");
  kill.print("from a kill to a full division, s");
  pause.print("from a pause to a full division, s");
  cut.print("from a cut to a full division, s");
  power.print("from a power loss of all (back at once, no ramp) to a full division, s");
  messages.print("messages a second a controller");
  bytes.print("bytes a second a controller");
  cpu.print("CPU us a second a controller, keepers' within it");
  std::cout << std::flush;
}

// All lose power and are back within a second, with a ramp of 6 s; each controller that has a lease requests
// 2.5 keys a second on average (in one of 40 steps of 10 ms). Measures the time until the first keyed load is
// sent, all have a lease, and all that can be leased is leased.
void measure_power_loss(int members, int seeds) {
  Samples leased, divided, keyed;
  for (int seed = 1; seed <= seeds; ++seed) {
    FleetSimulation::Shape shape = fleet_shape(3, members);
    shape.terms.ramp = 6 * kSecond;
    FleetSimulation fleet(shape, static_cast<std::uint64_t>(seed));
    fleet.run(15 * kSecond, 10'000);
    fleet.power_off();
    const TimeUs power = fleet.now();
    for (std::size_t k = 0; k < fleet.keepers(); ++k) fleet.start_keeper(k);
    for (std::size_t m = 0; m < fleet.members(); ++m) {
      fleet.start_member(m);
      if (m % 30 == 29) fleet.run(kSecond * 30 / members, 10'000);
    }
    const auto since = [&] { return static_cast<double>(fleet.now() - power) / 1e6; };
    const auto all_leased = [&] {
      for (std::size_t m = 0; m < fleet.members(); ++m)
        if (!fleet.holder(m).leased(fleet.now())) return false;
      return true;
    };
    const std::uint64_t sent = fleet.keys_sent();
    double first_key = 0;
    while (!all_leased() && fleet.now() < power + kTimeout) {
      fleet.run(10'000, 10'000);
      if (first_key == 0 && fleet.keys_sent() > sent) first_key = since();
    }
    leased.values.push_back(since());
    keyed.values.push_back(first_key > 0 ? first_key : since());
    run_until_fully_leased(fleet);
    divided.values.push_back(since());
    if (!fleet.violation().empty()) std::cout << "BROKEN: " << fleet.violation() << '\n';
  }
  std::cout << "\n"
            << members << " controllers after a power loss, ramp 6 s, term 3 s, " << seeds
            << " seeds (simulated)\n\n| | median | worst |\n| --- | --- | --- |\n";
  keyed.print("first keyed load sent, s");
  leased.print("all have a lease, s");
  divided.print("the whole is divided, s");
  std::cout << std::flush;
}

// What each event costs in a fleet: reading the clock and comparing it with the end of the lease.
void measure_lease_check() {
  constexpr int kTimes = 5'000'000;
  orchidgw::budget::LeaseHolder holder({"c0", 1}, fleet_shape(1, 5).terms);
  const double before = cpu_seconds();
  int leased = 0;
  for (int i = 0; i < kTimes; ++i) {
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    leased += holder.leased(static_cast<TimeUs>(at.tv_sec) * kSecond + at.tv_nsec / 1000) ? 1 : 0;
  }
  std::cout << "\na lease check before a send: " << (cpu_seconds() - before) / kTimes * 1e9 << " ns ("
            << leased << ")\n";
}

}  // namespace

// fleet_sizes [MEMBERS [SEEDS]]: with MEMBERS alone it measures only the recovery after a power loss.
int main(int argc, char** argv) {
  if (argc == 2) {
    measure_power_loss(std::stoi(argv[1]), 5);
    return 0;
  }
  measure_lease_check();
  if (argc > 2) {
    measure(std::stoi(argv[1]), std::stoi(argv[2]));
    return 0;
  }
  measure(300, 9);
  measure_power_loss(300, 5);
  measure(2'000, 1);
}
