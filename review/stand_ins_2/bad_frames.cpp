// Case 6: bad clients with half requests on many connections, beside usual clients that send order loads.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kUsualClients = 4, kLoads = 6;
constexpr int kBadClients = 80;  // of 1,024 descriptors; clients hold a third (341) at most

std::string load_statement() {
  std::string out = "insert into orders_7.lines values /* ms=200 rows=1 */ ";
  for (int i = 0; out.size() < 12'000; ++i) out += "(" + std::to_string(i) + ", 'article', 12.50),";
  out.back() = ' ';
  return out;
}

struct Sent {
  int sequence = 0;
  std::string reference, class_name, bytes;
  std::int64_t written_at = 0, allow = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = begin_case(argc, argv);
  Engine first("e-1"), second("e-2");
  first.start(), second.start();
  ChangeLog log;
  log.start();
  log.add(true, {member_json("e-1", first.address(), "in_service"), member_json("e-2", second.address(), "in_service")});
  Settings settings;
  settings.memory_mb = 64;
  Controller controller(folder);
  running_controller() = &controller;
  controller.write_config(settings, log.address(), log.all());
  controller.start();

  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::vector<Sent>> sent(kUsualClients);
  const auto send = [&](int index, const std::string& class_name, const std::string& statement, int allow, int effort) {
    Sent one;
    one.sequence = static_cast<int>(sent[static_cast<std::size_t>(index)].size()) + 1;
    one.reference = new_reference();
    one.class_name = class_name;
    one.allow = allow;
    Fields fields = fields_of(class_name, one.reference, allow, effort);
    if (class_name == "order-load") fields["replay"] = one.reference + new_reference();
    one.bytes = invoke_frame(one.sequence, fields, statement);
    const bool written = clients[static_cast<std::size_t>(index)]->write(one.bytes);
    one.written_at = now_ms();
    note("client " + std::to_string(index) + " sends request " + std::to_string(one.sequence) + ", " + class_name +
         " " + one.reference + (written ? "" : ": the connection has ended"));
    if (written) sent[static_cast<std::size_t>(index)].push_back(one);
    return written;
  };

  for (int i = 0; i < kUsualClients; ++i) {
    clients.push_back(std::make_unique<Client>());
    if (!clients.back()->connect(controller.port())) could_not_run("a client can't connect");
    send(i, "report", "select * from sales_3.orders /* ms=5000 rows=5 */", 20'000, 10'000);
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> bad;
  for (int i = 0; trouble() && i < kBadClients; ++i)
    bad.emplace_back([&controller, &stop] {
      std::string half;  // a request of 60,000 bytes, of which 59,000 come
      put_u32(half, 60'000);
      put_u32(half, 0x80010001U);
      put_text(half, "invoke");
      half.resize(59'000, 'x');
      while (!stop) {
        const int fd = connect_to(controller.port());
        if (fd >= 0) {
          send_all(fd, half);
          char byte = 0;
          set_receive_timeout(fd, 1500);  // then it closes; sooner, if the controller does
          while (::recv(fd, &byte, 1, 0) > 0) {
          }
          ::close(fd);
        }
        sleep_ms(20);
      }
    });
  if (trouble()) note(std::to_string(kBadClients) + " bad clients send half a request each, and close after 1.5 s");
  sleep_ms(600);
  for (int load = 0; load < kLoads; ++load) {
    for (int i = 0; i < kUsualClients; ++i) send(i, "order-load", load_statement(), 15'000, 400);
    sleep_ms(500);
  }
  stop = true;
  for (std::thread& one : bad) one.join();
  if (trouble()) note("the bad clients have gone");

  int lost = 0, answered = 0;
  for (int i = 0; i < kUsualClients; ++i) {
    Client& client = *clients[static_cast<std::size_t>(i)];
    for (Sent& one : sent[static_cast<std::size_t>(i)]) {
      const std::string name = "client " + std::to_string(i) + ", request " + std::to_string(one.sequence) + " (" +
                               one.class_name + " " + one.reference + ")";
      if (const auto answer = client.wait_for(one.sequence, one.written_at + one.allow + 500)) {
        ++answered;
        note(name + ": " + rig::name_of(answer->kind) + " after " + std::to_string(answer->at - one.written_at) + " ms");
        continue;
      }
      const std::int64_t ended = client.ended_at();
      note(name + ": no answer; " +
           (ended > 0 ? "the controller ended the connection " + std::to_string(ended - one.written_at) +
                            " ms after the request's last byte"
                      : std::string("its time and 0.5 s are over")));
      if (ended > 0 && ended - one.written_at <= 50) {  // it crossed the close: goes again, once
        Client again;
        Fields fields = fields_of(one.class_name, new_reference(), 15'000, 400);
        fields["replay"] = new_reference() + new_reference();
        if (again.connect(controller.port()) && again.write(invoke_frame(1, fields, load_statement())))
          if (again.wait_for(1, now_ms() + 15'500)) continue;
      }
      ++lost;
    }
  }
  if (controller.ended()) note("the controller has ended by itself"), ++lost;
  note(std::to_string(answered) + " answered, " + std::to_string(lost) + " lost");
  finish(lost > 0 ? kBroken : kHeld);
}
