// Measures what it costs to hold a key before its query is sent: latency and rate of keyed and of safe
// queries without holds, with intents on the local disk, and with 1, 3 and 5 keepers. Not a test; run by
// `make keys-rate`.
#include <algorithm>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <numeric>

#include "fleet_harness.h"

namespace {

using namespace orchidgw::integration;

struct Measurement {
  std::vector<double> ms;
  long refused = 0;
  double seconds = 0;

  void print(const char* label, int clients) {
    std::sort(ms.begin(), ms.end());
    const auto at = [this](double quantile) {
      return ms[static_cast<std::size_t>(quantile * static_cast<double>(ms.size() - 1))];
    };
    std::cout << "| " << label << " | " << clients << " | " << std::fixed << std::setprecision(2) << at(0.5)
              << " | " << at(0.99) << " | " << at(0.999) << " | " << std::setprecision(0)
              << static_cast<double>(ms.size()) / seconds << " | " << refused << " |" << std::endl;
  }
};

Measurement run_clients(FleetHarness& fleet, int clients, bool keyed) {
  constexpr double kSeconds = 4;
  static std::atomic<long> next{0};
  std::vector<Measurement> each(static_cast<std::size_t>(clients));
  std::vector<std::thread> threads;
  const std::string address = fleet.address(4);
  for (Measurement& mine : each)
    threads.emplace_back([&] {
      FrontClient client(address);
      const std::int64_t from = boot_time_us();
      for (std::int32_t tag = 1; static_cast<double>(boot_time_us() - from) < kSeconds * 1e6; ++tag) {
        const std::int64_t asked = boot_time_us();
        if (keyed) {
          fleet.send_once_request(client, tag, std::to_string(2'000'000'000'000'000 + ++next));
        } else {
          client.invoke(tag);
        }
        if (client.receive().kind == FrontAnswer::Kind::kServed) {
          mine.ms.push_back(static_cast<double>(boot_time_us() - asked) / 1e3);
        } else {
          ++mine.refused;
        }
      }
    });
  for (auto& thread : threads) thread.join();
  Measurement out;
  out.seconds = kSeconds;
  for (const Measurement& one : each) {
    out.ms.insert(out.ms.end(), one.ms.begin(), one.ms.end());
    out.refused += one.refused;
  }
  return out;
}

void measure_rates(const char* label, int keepers, bool keys, bool store_intents) {
  FleetShape shape;
  shape.controllers = 5;
  shape.keepers = keepers;
  shape.use_relays = false;
  shape.rate = 100'000;
  shape.concurrency = 1'000;
  shape.key_hold_ms = keys ? 2'000 : 0;
  shape.store_intents = store_intents;
  FleetHarness fleet(shape);
  fleet.start_all();
  fleet.wait_line(4, "stage full");
  for (const int clients : {1, 8, 32, 64}) {
    run_clients(fleet, clients, true).print((std::string(label) + ", keyed").c_str(), clients);
    run_clients(fleet, clients, false).print((std::string(label) + ", safe").c_str(), clients);
  }
}

}  // namespace

int main() {
  std::cout << "| kept | clients | median ms | p99 ms | p99.9 ms | a second | not served "
               "|\n|---|---|---|---|---|---|---|\n";
  measure_rates("nowhere", 3, false, false);
  measure_rates("own disk", 3, false, true);
  measure_rates("1 keeper", 1, true, false);
  measure_rates("3 keepers", 3, true, false);
  measure_rates("5 keepers", 5, true, false);
}
