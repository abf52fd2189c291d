// During the move, instances of the old shape (grants, told costs, no notes) and of the new (no grants,
// engines that let all in and page, notes of progress) stand before the same engines: every query gets one
// final answer, none runs twice, and neither kind starves the other.
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

std::string shape(int me, bool old_shape) {
  const std::string domain =
      old_shape ? R"("domain":{"dop":[1,1],"sizeCores":[8],"kindMemoryMb":[16384],"bills":true,)"
                  R"("grantsCount":true,"lanesCount":true},)"
                : R"("domain":{"dop":[1,1],"sizeCores":[8],"kindMemoryMb":[16384],"grantsCount":false,)"
                  R"("whenShort":"overcommit","progressPace":2000000,"lanesCount":true},)";
  return R"({"balancers":2,"me":)" + std::to_string(me) +
         R"(,"myZone":"z","classes":[)"
         R"({"name":"lookup","aim":30000000,"aimStretch":2,"deadline":60000000,"effect":"idempotent","value":1},)"
         R"({"name":"once","aim":30000000,"aimStretch":2,"deadline":60000000,"effect":"at_most_once","value":1}],)" +
         domain +
         R"("shapes":["std"],"policyLimits":{"maxAttempts":3,"cancel":true,"retryAfter":true,)"
         R"("maxRetryAfter":500000,"connectTimeout":250000,"connIdle":30000000},)"
         R"("rules":{"stopSendingWithin":1000000},"tenants":[{"name":"acme","portion":1,"quotaPerS":100}]})";
}

HttpReply serve(const HttpCall& call) {
  HttpReply r;
  r.status = call.method == "DELETE" ? 204 : 200;
  if (call.method != "DELETE") {
    r.headers = {{"X-Pages", "1"}, {"X-Cost-Ms", "5"}, {"X-Needed-Mb", "4"}};
    r.body = "a\tb\tc\n";
  }
  return r;
}

TEST(MixedShapes, OldAndNewInstancesShareTheEnginesAndBothAreServed) {
  ChangeLogStandIn change_log;
  std::vector<std::unique_ptr<HttpStandIn>> engines;
  ControllerOptions options;
  options.change_log = change_log.address();
  for (int i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<HttpStandIn>(serve));
    options.members.push_back(member("s-" + std::to_string(i), engines.back()->address()));
  }
  options.settings = shape(0, true);
  ControllerProcess old_one(options);
  options.settings = shape(1, false);
  ControllerProcess new_one(options);

  std::mutex mutex;
  std::map<std::string, int> answers;  // by reference: how many final answers
  std::atomic<int> served_old{0}, served_new{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 2 * kClientsEach; ++c) {
    const bool to_old = c % 2 == 0;
    clients.emplace_back([&, to_old] {
      FrontClient client(to_old ? old_one.address() : new_one.address());
      for (int q = 1; q <= kQueriesEach; ++q) {
        client.invoke(q);
        const FrontAnswer answer = client.receive();
        const std::lock_guard lock(mutex);
        ++answers[client.reference_of(q)];
        if (answer.kind == FrontAnswer::Kind::kServed) ++(to_old ? served_old : served_new);
      }
    });
  }
  for (auto& t : clients) t.join();

  EXPECT_EQ(answers.size(), static_cast<size_t>(2 * kClientsEach * kQueriesEach));
  for (const auto& [reference, count] : answers) EXPECT_EQ(count, 1) << reference;  // rule 1
  std::map<std::string, int> posts;  // by reference, over all engines: rule 2, nothing ran twice
  for (const auto& e : engines)
    for (const auto& call : e->calls())
      if (call.method == "POST") ++posts[call.headers.at("Call-Id")];
  for (const auto& [reference, count] : posts) EXPECT_EQ(count, 1) << reference;
  EXPECT_EQ(served_old.load(), kClientsEach * kQueriesEach);  // neither starves
  EXPECT_EQ(served_new.load(), kClientsEach * kQueriesEach);
}

}  // namespace
}  // namespace orchidgw::integration
