// What it costs that a key is promised before it is sent: latency of keyed and of safe queries, and how many
// a second, with it off, on the own disk, and on 1, 3 and 5 keepers. A measurement, no test: `make
// keys-rate`.
#include <algorithm>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <numeric>

#include "fleet_harness.h"

namespace {

using namespace orchidgw::integration;

struct Played {
  std::vector<double> ms;
  long refused = 0;
  double seconds = 0;

  void print(const char* what, int clients) {
    std::sort(ms.begin(), ms.end());
    const auto at = [this](double q) {
      return ms[static_cast<std::size_t>(q * static_cast<double>(ms.size() - 1))];
    };
    std::cout << "| " << what << " | " << clients << " | " << std::fixed << std::setprecision(2) << at(0.5)
              << " | " << at(0.99) << " | " << at(0.999) << " | " << std::setprecision(0)
              << static_cast<double>(ms.size()) / seconds << " | " << refused << " |" << std::endl;
  }
};

Played play(FleetHarness& fleet, int clients, bool keyed) {
  constexpr double kSeconds = 4;
  static std::atomic<long> next{0};
  std::vector<Played> each(static_cast<std::size_t>(clients));
  std::vector<std::thread> threads;
  const std::string address = fleet.address(4);
  for (Played& mine : each)
    threads.emplace_back([&] {
      FrontClient client(address);
      const std::int64_t from = boot_us();
      for (std::int32_t tag = 1; static_cast<double>(boot_us() - from) < kSeconds * 1e6; ++tag) {
        const std::int64_t asked = boot_us();
        if (keyed) {
          fleet.ask_once(client, tag, std::to_string(2'000'000'000'000'000 + ++next));
        } else {
          client.invoke(tag);
        }
        if (client.receive().kind == FrontAnswer::Kind::kServed) {
          mine.ms.push_back(static_cast<double>(boot_us() - asked) / 1e3);
        } else {
          ++mine.refused;
        }
      }
    });
  for (auto& thread : threads) thread.join();
  Played out;
  out.seconds = kSeconds;
  for (const Played& one : each) {
    out.ms.insert(out.ms.end(), one.ms.begin(), one.ms.end());
    out.refused += one.refused;
  }
  return out;
}

void rates(const char* what, int keepers, bool keys, bool intents) {
  FleetShape shape;
  shape.controllers = 5;
  shape.keepers = keepers;
  shape.relays = false;
  shape.rate = 100'000;
  shape.concurrency = 1'000;
  shape.keys_rest_ms = keys ? 2'000 : 0;
  shape.intents = intents;
  FleetHarness fleet(shape);
  fleet.start_all();
  fleet.wait_line(4, "stage full");
  for (const int clients : {1, 8, 32, 64}) {
    play(fleet, clients, true).print((std::string(what) + ", keyed").c_str(), clients);
    play(fleet, clients, false).print((std::string(what) + ", safe").c_str(), clients);
  }
}

}  // namespace

int main() {
  std::cout << "| kept | clients | median ms | p99 ms | p99.9 ms | a second | not served "
               "|\n|---|---|---|---|---|---|---|\n";
  rates("nowhere", 3, false, false);
  rates("own disk", 3, false, true);
  rates("1 keeper", 1, true, false);
  rates("3 keepers", 3, true, false);
  rates("5 keepers", 5, true, false);
}
