// Case 9: the change log moves by SIGHUP while the operators' file of limits has a mistake.
#include "rig.h"

using namespace rig;

namespace {

constexpr std::int64_t kDrainGrace = 1000, kSlack = 50;  // the settings' stopSendingWithin; each limit's slack
constexpr std::int64_t kToldAfterHup = 4000;             // what the log has to tell counts as told then

void write_limits(const std::string& path, bool mistake) {
  std::ofstream out(path, std::ios::trunc);
  out << "version: 1\nroutes:\n  - name: lookups\n    match: {class: lookup}\n    "
      << (mistake ? "concurency" : "concurrency") << ": 40\n...\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = begin_case(argc, argv), limits = folder + "/limits.yaml";
  Engine first("e-1"), second("e-2"), third("e-3");
  first.start(), second.start(), third.start();
  const auto members = [&](const std::string& phase) {
    return std::vector<std::string>{member_json("e-1", first.address(), phase),
                                    member_json("e-2", second.address(), phase)};
  };
  ChangeLog before, after;  // the same log, at its old and at its new address
  before.start(), after.start();
  for (ChangeLog* log : {&before, &after}) {
    log->add(true, members("in_service"));
    log->add(false, {member_json("e-3", third.address(), "in_service")});
  }
  write_limits(limits, false);
  Settings settings;
  settings.extra = "\"operatorFile\":\"" + limits + "\",";
  Controller controller(folder);
  running_controller() = &controller;
  controller.write_config(settings, before.address(), before.all());
  controller.start();

  std::atomic<bool> stop{false};
  std::atomic<int> served{0}, unanswered{0};
  std::thread traffic([&] {
    Client client;
    if (!client.connect(controller.port())) could_not_run("the client can't connect");
    for (int sequence = 1; !stop; ++sequence) {
      const std::string statement = "select * from sales_" + std::to_string(sequence % 40) + ".orders /* ms=20 rows=1 */";
      client.write(invoke_frame(sequence, fields_of("lookup", new_reference(), 4000, 20), statement));
      const auto answer = client.wait_for(sequence, now_ms() + 4500);
      if (!answer) ++unanswered;
      if (answer && answer->kind == Answer::Kind::kServed) ++served;
      sleep_ms(20);
    }
  });
  sleep_ms(2000);
  if (trouble()) {
    write_limits(limits, true);
    note("the operators' file of limits has a mistake now: a field's name is misspelt");
  }
  sleep_ms(500);
  controller.write_config(settings, after.address(), after.all());
  controller.signal(SIGHUP);
  const std::int64_t hup_at = now_ms();
  note("SIGHUP: the change log is at its new address");
  before.server().stop_listening();
  sleep_ms(1500);
  before.server().end_connections();
  note("the old address has closed its open connections");
  sleep_until_ms(hup_at + 3000);
  after.add(false, members("terminating"));
  note("the change log tells that e-1 and e-2 drain");
  const std::int64_t told_at = hup_at + kToldAfterHup;
  const std::int64_t forbidden_from = told_at + kDrainGrace + kSlack;
  sleep_until_ms(forbidden_from + 6000);
  stop = true;
  traffic.join();

  int late = 0;
  for (Engine* engine : {&first, &second})
    for (const Start& start : engine->starts())
      if (start.at > forbidden_from && ++late <= 5)
        note(start.engine + " was sent " + start.reference + " " + std::to_string(start.at - told_at) +
             " ms after its drain counted as told");
  note(std::to_string(late) + " starts at draining engines after the grace; " + std::to_string(served) + " served, " +
       std::to_string(unanswered) + " without an answer; " + std::to_string(after.polls()) +
       " calls at the change log's new address");
  if (served == 0) could_not_run("nothing was served");
  finish(late > 0 ? kBroken : kHeld);
}
