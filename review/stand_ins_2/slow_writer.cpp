// Case 10: a usual client writes one request slowly on a connection that has another request open.
#include "rig.h"

using namespace rig;

namespace {

constexpr std::int64_t kWritingMs = 2500, kPieceEveryMs = 100;

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = begin_case(argc, argv);
  Engine first("e-1"), second("e-2");
  first.start(), second.start();
  ChangeLog log;
  log.start();
  log.add(true, {member_json("e-1", first.address(), "in_service"), member_json("e-2", second.address(), "in_service")});
  Controller controller(folder);
  running_controller() = &controller;
  controller.write_config({}, log.address(), log.all());
  controller.start();

  Client client;
  if (!client.connect(controller.port())) could_not_run("the client can't connect");
  std::vector<std::int64_t> written(4, 0);
  const auto frame = [&](int sequence, const std::string& class_name, int allow, int ms) {
    const std::string reference = new_reference();
    const int effort = class_name == "lookup" ? ms : 2 * ms;  // reports and loads run on two threads
    Fields fields = fields_of(class_name, reference, allow, effort);
    if (class_name == "order-load") fields["replay"] = reference + new_reference();
    note("request " + std::to_string(sequence) + " is " + class_name + " " + reference);
    return invoke_frame(sequence, fields, "select * from sales_3.orders /* ms=" + std::to_string(ms) + " rows=3 */");
  };
  client.write(frame(1, "report", 20'000, 7000));
  written[1] = now_ms();
  note("request 1 is written");
  sleep_ms(300);
  const std::string load = frame(2, "order-load", 15'000, 500);
  if (trouble()) {
    const std::int64_t begun = now_ms();
    const auto pieces = static_cast<std::size_t>(kWritingMs / kPieceEveryMs);
    for (std::size_t piece = 0; piece < pieces; ++piece) {
      const std::size_t from = load.size() * piece / pieces, to = load.size() * (piece + 1) / pieces;
      if (!client.write(load.substr(from, to - from))) break;
      sleep_until_ms(begun + static_cast<std::int64_t>(piece + 1) * kPieceEveryMs);
    }
    note("request 2 is written, a piece every 100 ms, in " + std::to_string(now_ms() - begun) + " ms");
  } else {
    client.write(load);
    note("request 2 is written at once");
    sleep_ms(kWritingMs);
  }
  written[2] = now_ms();
  client.write(frame(3, "lookup", 4000, 100));
  written[3] = now_ms();
  note("request 3 is written");

  const std::vector<std::int64_t> allow{0, 20'000, 15'000, 4000};
  int lost = 0;
  for (int sequence = 1; sequence <= 3; ++sequence) {
    const auto at = static_cast<std::size_t>(sequence);
    if (const auto answer = client.wait_for(sequence, written[at] + allow[at] + 500)) {
      note("request " + std::to_string(sequence) + ": " + rig::name_of(answer->kind) + " after " +
           std::to_string(answer->at - written[at]) + " ms");
      continue;
    }
    ++lost;
    note("request " + std::to_string(sequence) + ": no answer; " +
         (client.ended_at() > 0 ? "the controller ended the connection " +
                                      std::to_string(client.ended_at() - written[at]) + " ms after its last byte"
                                : std::string("its time and 0.5 s are over")));
    // One that crossed a close within 50 ms would go again: none of these did.
    if (client.ended_at() > 0 && client.ended_at() - written[at] <= 50) --lost;
  }
  finish(lost > 0 ? kBroken : kHeld);
}
