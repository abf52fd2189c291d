// Case 8: the controller stands still for 1.8 s while the change log tells that an executor drains.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kEngines = 8, kStalls = 7, kClients = 2, kBurst = 32;
constexpr std::int64_t kStallMs = 1800, kEveryMs = 3000, kDrainAfter = 200, kDrainGrace = 1000, kSlack = 50;

std::int64_t unix_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = begin_case(argc, argv);
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::string> members;
  for (int i = 0; i < kEngines + kStalls; ++i) {  // the last ones come in place of those that drain
    engines.push_back(std::make_unique<Engine>("e-" + std::to_string(i)));
    engines.back()->start();
    if (i < kEngines) members.push_back(member_json(engines.back()->name(), engines.back()->address(), "in_service"));
  }
  ChangeLog log;
  log.start();
  log.add(true, members);
  Controller controller(folder);
  running_controller() = &controller;
  controller.write_config({}, log.address(), log.all());
  controller.start();

  std::vector<std::unique_ptr<Client>> clients;
  std::vector<int> last(kClients, 0);
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>());
    if (!clients.back()->connect(controller.port())) could_not_run("a client can't connect");
  }
  const auto accepted = [&] {
    int sum = 0;
    for (const auto& engine : engines) sum += engine->accepted();
    return sum;
  };
  std::vector<std::int64_t> told_at(kEngines, 0);
  int served = 0, answered = 0;
  sleep_ms(1000);
  for (int stall = 0; stall < kStalls; ++stall) {
    const std::int64_t begun = now_ms();
    std::vector<std::string> bursts(kClients);
    for (int i = 0; i < kClients; ++i)
      for (int n = 0; n < kBurst; ++n) {
        const std::string statement = "select * from sales_" + std::to_string(n + kBurst * i) + ".orders /* ms=20 rows=1 */";
        bursts[static_cast<std::size_t>(i)] += invoke_frame(++last[static_cast<std::size_t>(i)],
                                                            fields_of("lookup", new_reference(), 4000, 20), statement);
      }
    const int before = accepted();
    for (int i = 0; i < kClients; ++i) clients[static_cast<std::size_t>(i)]->write(bursts[static_cast<std::size_t>(i)]);
    note(std::to_string(kClients * kBurst) + " lookups are sent");
    while (accepted() == before && now_ms() < begun + 1000) {
    }
    if (trouble()) controller.signal(SIGSTOP);
    const std::int64_t stopped_at = now_ms();
    if (trouble()) note("the controller stands still");
    sleep_until_ms(stopped_at + kDrainAfter);
    const auto& leaving = engines[static_cast<std::size_t>(stall)];
    const auto& coming = engines[static_cast<std::size_t>(kEngines + stall)];
    log.add(false, {member_json(leaving->name(), leaving->address(), "terminating"),
                    member_json(coming->name(), coming->address(), "in_service", unix_ms())});
    told_at[static_cast<std::size_t>(stall)] = now_ms();
    note("the change log tells that " + leaving->name() + " drains");
    sleep_until_ms(stopped_at + kStallMs);
    if (trouble()) controller.signal(SIGCONT), note("the controller goes on");
    sleep_until_ms(begun + kEveryMs);
  }
  sleep_ms(2000);
  for (int i = 0; i < kClients; ++i)
    for (int sequence = 1; sequence <= last[static_cast<std::size_t>(i)]; ++sequence)
      if (const auto answer = clients[static_cast<std::size_t>(i)]->answer_to(sequence)) {
        ++answered;
        served += answer->kind == Answer::Kind::kServed;
      }
  int late = 0;
  for (int i = 0; i < kStalls; ++i)
    for (const Start& start : engines[static_cast<std::size_t>(i)]->starts()) {
      const std::int64_t after = start.at - told_at[static_cast<std::size_t>(i)];
      if (after <= kDrainGrace + kSlack) continue;
      ++late;
      note(start.engine + " was sent " + start.reference + " " + std::to_string(after) +
           " ms after the change log told that it drains");
    }
  note(std::to_string(late) + " starts at draining executors after the grace; " + std::to_string(answered) +
       " answered, " + std::to_string(served) + " of them served");
  if (served == 0) could_not_run("nothing was served");
  finish(late > 0 ? kBroken : kHeld);
}
