// A measurement, not a test: requests per second and CPU time per request of one or more builds of the
// program on loopback, measured in turn within one run; the last build also with an operators' file of 1,000
// routes.
#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <vector>

#include "change_log_stand_in.h"
#include "controller_process.h"
#include "front_client.h"
#include "http_stand_in.h"

namespace {

using namespace orchidgw::integration;

constexpr int kClients = 4;
constexpr int kQueries = 2'000;  // per client
constexpr int kRounds = 3;

HttpReply serve(const HttpCall& call) {
  HttpReply result;
  result.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", "5"}, {"X-Needed-Mb", "4"}};
  if (call.method == "DELETE") result.status = 204;
  result.body = "a\tb\tc\n";
  return result;
}

std::string thousand_routes() {
  std::string text = "version: 1\nroutes:\n- name: lookups\n  match: {class: lookup}\n  timeout: 50s\n";
  for (int i = 0; i < 999; ++i)
    text +=
        "- {name: r" + std::to_string(i) + ", match: {class: lookup, table: t" + std::to_string(i) + "}}\n";
  return text + "...\n";
}

void measure(const std::string& program, const std::string& limits) {
  ChangeLogStandIn change_log;
  HttpStandIn engine(serve);
  ControllerOptions options;
  options.program = program;
  options.memory_mb = 1024;
  options.limits = limits;
  options.change_log = change_log.address();
  options.members = {member_json("s-0", engine.address())};
  ControllerProcess controller(options);
  const auto started_at = std::chrono::steady_clock::now();
  const double cpu_before = cpu_seconds(controller.pid());
  std::vector<std::thread> clients;
  for (int client_index = 0; client_index < kClients; ++client_index) {
    clients.emplace_back([&] {
      FrontClient client(controller.address());
      for (std::int32_t n = 1; n <= kQueries; ++n) {
        client.invoke(n);
        if (client.receive().kind != FrontAnswer::Kind::kServed) std::cout << "not served\n";
      }
    });
  }
  for (auto& client : clients) client.join();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started_at;
  constexpr double kAllQueries = kClients * kQueries;
  std::cout << program << (limits.empty() ? "" : " under 1,000 routes") << ": " << kAllQueries / took.count()
            << " requests/s, " << (cpu_seconds(controller.pid()) - cpu_before) / kAllQueries * 1e6
            << " us CPU a request\n";
}

}  // namespace

int main(int argc, char** argv) {
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 1; i < argc; ++i) measure(argv[i], "");
    if (argc > 1) measure(argv[argc - 1], thousand_routes());
  }
}
