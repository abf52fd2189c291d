// A controller stands still for 1.9 s. Two settle-loads that came at the start of that time run longer than
// their client waits; so their final answer, whatever it is, is due when that time is up.
#include "../stand_ins/sites.h"
#include "../stand_ins/stand_in.h"

using namespace review;

namespace {

constexpr double kStallMs = 1900;    // the page: 1,500 to 2,000 ms
constexpr double kAllowMs = 16000;   // 80 in 100 of the class's 20 s, the least that a client waits
constexpr double kExcusedMs = 500;   // up to half a second after its time an answer only earns nothing
constexpr double kLoadMs = 19500;    // a load that takes longer than its client waits
constexpr double kLookupMs = 200;
constexpr int kRequests = 2;

int play(const std::string& root, const std::string& folder, Record& record) {
  auto* const change_log = new ChangeLog("127.0.0.1", record);
  std::vector<std::string> members;
  for (int i = 1; i <= 9; ++i) {
    const std::string id = "engine-" + std::to_string(i);
    const auto run_time = [](const std::string& kind, const std::string&) {
      return kind == "settle-load" ? kLoadMs : kLookupMs;
    };
    const auto* engine = new Engine(id, "127.0.0." + std::to_string(10 + i), record, run_time);
    members.push_back(member(id, engine->address(), "in_service",
                             i % 3 == 0 ? "hall-a" : i % 3 == 1 ? "hall-b" : "hall-c",
                             i % 2 == 0 ? "std-8" : "std-12"));
  }
  change_log->add(members, true, "the whole list, 9 engines in service");

  const Address listen{"127.0.0.2", free_port("127.0.0.2")};
  Controller controller(root, folder, "controller-0", listen,
                        config_text("controller-0", listen, change_log->address(), change_log->since(0),
                                    bris_north(3, 0), 192, 1024),
                        record);
  if (!controller.wait_ready(10'000)) return kCannotRun;
  sleep_ms(1500);

  Client client("client", listen, record);
  const auto send = [&](const char* service, double allow) {
    return client.invoke({{"service", service}, {"ref", new_ref()}, {"project", "reefpay"},
                          {"allow", std::to_string(static_cast<int>(allow))}},
                         "insert into wallets_7.balances select a, b, c from staging.batch");
  };
  for (int i = 0; i < 5; ++i)
    if (client.wait_for(send("lookup", 7000), now_ms() + 8000).kind != "served") return kCannotRun;

  const double stalled_at = now_ms();
  if (with_trouble()) controller.signal(SIGSTOP, "stands still (SIGSTOP)");
  sleep_ms(50);
  std::vector<int> requests;
  for (int i = 0; i < kRequests; ++i) requests.push_back(send("settle-load", kAllowMs));
  if (with_trouble()) {
    sleep_until(stalled_at + kStallMs);
    controller.signal(SIGCONT, "goes on (SIGCONT)");
  }
  bool held = true;
  for (const int request : requests) {
    const Answer answer = client.wait_for(request, now_ms() + kAllowMs + 5000);
    const double late = answer.at_ms - answer.sent_ms - kAllowMs;
    const bool answered = answer.kind != "none" && answer.kind != "closed";
    if (!answered) record.line("request %d: no answer", request);
    else record.line("request %d: final answer '%s' %.0f ms %s the end of its client's time", request,
                     answer.kind.c_str(), std::abs(late), late > 0 ? "AFTER" : "before");
    held = held && answered && late <= kExcusedMs;
  }
  if (!controller.alive()) record.line("the controller has ended");
  return held ? kHeld : kBroken;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
