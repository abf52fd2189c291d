// During a migration, controllers with the old engine settings (grants, reported costs, no progress reports)
// and with the new ones (no grants, engines that admit every query and overcommit memory, progress reports)
// use the same engines: every query gets one final answer, none runs twice, and neither kind of controller
// starves the other.
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "change_log_stand_in.h"
#include "controller_process.h"
#include "front_client.h"
#include "http_stand_in.h"

namespace orchidgw::integration {
namespace {

constexpr int kClientsEach = 2;
constexpr int kQueriesEach = 25;

std::string settings_of(int self, bool old_settings) {
  const std::string domain =
      old_settings ? R"("domain":{"dop":[1,1],"sizeCores":[8],"kindMemoryMb":[16384],"bills":true,)"
                     R"("grantsCount":true,"lanesCount":true},)"
                   : R"("domain":{"dop":[1,1],"sizeCores":[8],"kindMemoryMb":[16384],"grantsCount":false,)"
                     R"("whenShort":"overcommit","progressPace":2000000,"lanesCount":true},)";
  return R"({"balancers":2,"me":)" + std::to_string(self) +
         R"(,"myZone":"z","classes":[)"
         R"({"name":"lookup","aim":30000000,"aimStretch":2,"deadline":60000000,"effect":"idempotent","value":1},)"
         R"({"name":"once","aim":30000000,"aimStretch":2,"deadline":60000000,"effect":"at_most_once","value":1}],)" +
         domain +
         R"("shapes":["std"],"policyLimits":{"maxAttempts":3,"cancel":true,"retryAfter":true,)"
         R"("maxRetryAfter":500000,"connectTimeout":250000,"connIdle":30000000},)"
         R"("rules":{"stopSendingWithin":1000000},"tenants":[{"name":"acme","portion":1,"quotaPerS":100}]})";
}

HttpReply serve(const HttpCall& call) {
  HttpReply result;
  result.status = call.method == "DELETE" ? 204 : 200;
  if (call.method != "DELETE") {
    result.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", "5"}, {"X-Needed-Mb", "4"}};
    result.body = "a\tb\tc\n";
  }
  return result;
}

TEST(MixedShapes, OldAndNewInstancesShareTheEnginesAndBothAreServed) {
  ChangeLogStandIn change_log;
  std::vector<std::unique_ptr<HttpStandIn>> engines;
  ControllerOptions options;
  options.change_log = change_log.address();
  for (int i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<HttpStandIn>(serve));
    options.members.push_back(member_json("s-" + std::to_string(i), engines.back()->address()));
  }
  options.settings = settings_of(0, true);
  ControllerProcess old_controller(options);
  options.settings = settings_of(1, false);
  ControllerProcess new_controller(options);

  std::mutex mutex;
  std::map<std::string, int> answers;  // final answers, by reference
  std::atomic<int> served_old{0}, served_new{0};
  std::vector<std::thread> clients;
  for (int client_index = 0; client_index < 2 * kClientsEach; ++client_index) {
    const bool to_old = client_index % 2 == 0;
    clients.emplace_back([&, to_old] {
      FrontClient client(to_old ? old_controller.address() : new_controller.address());
      for (int sequence = 1; sequence <= kQueriesEach; ++sequence) {
        client.invoke(sequence);
        const FrontAnswer answer = client.receive();
        const std::lock_guard lock(mutex);
        ++answers[client.reference_of(sequence)];
        if (answer.kind == FrontAnswer::Kind::kServed) ++(to_old ? served_old : served_new);
      }
    });
  }
  for (auto& client_thread : clients) client_thread.join();

  EXPECT_EQ(answers.size(), static_cast<size_t>(2 * kClientsEach * kQueriesEach));
  for (const auto& [reference, count] : answers) EXPECT_EQ(count, 1) << reference;  // rule 1
  std::map<std::string, int> posts;  // by reference, over all engines; rule 2: nothing ran twice
  for (const auto& one_engine : engines)
    for (const auto& call : one_engine->calls())
      if (call.method == "POST") ++posts[call.headers.at("Call-Id")];
  for (const auto& [reference, count] : posts) EXPECT_EQ(count, 1) << reference;
  EXPECT_EQ(served_old.load(), kClientsEach * kQueriesEach);  // neither kind starves
  EXPECT_EQ(served_new.load(), kClientsEach * kQueriesEach);
}

}  // namespace
}  // namespace orchidgw::integration
