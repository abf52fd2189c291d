// One executor is cut off while it runs an order-load, which ends there all the same. The client is refused and
// tries again, within the 12 s for which executors drop a repeat. The controller holds that try.
#include "../stand_ins/sites.h"
#include "../stand_ins/stand_in.h"

using namespace review;

namespace {

constexpr double kWindowMs = 12'000;  // all query nodes drop a repeat for 12 s
constexpr double kCutAtMs = 3000, kCutMs = 6000;  // the page: 6 s, a fifth of the executors
constexpr double kFirstLoadMs = 4000, kLoadMs = 6300;
constexpr int kEngines = 6;

int play(const std::string& root, const std::string& folder, Record& record) {
  auto* const change_log = new ChangeLog("127.0.0.1", record);
  auto* const repeats = new Repeats(kWindowMs);
  std::vector<Engine*> engines;
  std::vector<std::string> members;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(new Engine("engine-" + std::to_string(i + 1), "127.0.0." + std::to_string(11 + i), record,
                                 [](const std::string&, const std::string& statement) {
                                   return statement.find("first") != std::string::npos ? kFirstLoadMs : kLoadMs;
                                 }));
    engines.back()->share_repeats(repeats);
    engines.back()->set_cost([](const std::string&) { return 6000.0; });
    members.push_back(member(engines.back()->id(), engines.back()->address(), "in_service", "dc-vasteras",
                             "std-8core"));
  }
  change_log->add(members, true, "the whole list, 6 engines in service");
  const Address listen{"127.0.0.2", free_port("127.0.0.2")};
  Controller controller(root, folder, "controller-0", listen,
                        config_text("controller-0", listen, change_log->address(), change_log->since(0),
                                    order_warehouse(3, 0), 192, 1024),
                        record);
  if (!controller.wait_ready(10'000)) return kCannotRun;
  sleep_ms(1500);

  Client client("client", listen, record);
  const std::string key = "5c0f6e1a2b3d4c59" + new_ref();
  const auto load = [&](const std::string& replay, const std::string& what, bool again) {
    std::map<std::string, std::string> fields{{"service", "order-load"}, {"ref", new_ref()},
                                              {"project", "leverans"},   {"allow", "18000"},
                                              {"replay", replay},        {"effort", "6000.0"},
                                              {"mem", "96"}};
    if (again) fields["dup"] = "1";
    return client.invoke(fields, "insert into orders_7.lines select a, b, c from staging." + what);
  };
  const double from = now_ms();
  const int first = load(key, "first", false);
  sleep_ms(200);
  Engine* home = nullptr;
  for (Engine* engine : engines)
    if (!engine->runs().empty()) home = engine;
  if (home == nullptr) return kCannotRun;
  for (int i = 0; i < 4; ++i) load("5c0f6e1a2b3d4c59" + new_ref(), "other", false), sleep_ms(10);
  sleep_until(from + kCutAtMs);
  if (with_trouble()) home->cut_off(true);
  std::thread back([&] {
    sleep_until(from + kCutAtMs + kCutMs);
    if (with_trouble()) home->cut_off(false);
  });
  // A client tries again after a refusal or a failure, while executors drop a repeat.
  Answer answer = client.wait_for(first, now_ms() + 19'000);
  for (int tries = 0; tries < 2 && answer.kind != "served" && answer.kind != "none"; ++tries) {
    sleep_ms(500);
    if (now_ms() > from + kWindowMs) break;
    answer = client.wait_for(load(key, "first", true), now_ms() + 19'000);
  }
  back.join();
  sleep_ms(kFirstLoadMs + 500);
  int ran = 0;
  for (Engine* engine : engines)
    for (const Run& run : engine->runs())
      if (run.key == key) {
        record.line("%s: %s under the key begun at %.0f ms: %s", engine->id().c_str(), run.id.c_str(),
                    run.begun_ms - from, run.dropped ? "dropped as a repeat" : run.ran_to_its_end() ? "ran to its end" : "did not run to its end");
        ran += run.ran_to_its_end();
      }
  record.line("the load ran to its end %d times", ran);
  return ran > 1 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
