// Case 7: discovery is down while a release replaces six in ten of 3,200 executors.
#include <sys/epoll.h>
#include <sys/resource.h>

#include "rig.h"

using namespace rig;

namespace {

constexpr int kExecutors = 3200, kReplaced = 1920;
constexpr std::int64_t kDownMs = 8000, kDrainGrace = 1000, kSlack = 50;

// Executors with an address each, accepted in one thread.
class Fleet {
 public:
  Fleet() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {}
  void add(const std::string& id) {
    const auto index = static_cast<int>(engines_.size());
    const std::string host =
        "127.20." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    inet_pton(AF_INET, host.c_str(), &at.sin_addr);
    socklen_t size = sizeof at;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 64) != 0)
      could_not_run("an executor can't listen");
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    addresses_.push_back(host + ":" + std::to_string(ntohs(at.sin_port)));
    engines_.push_back(std::make_unique<Engine>(id));
    listeners_.push_back(fd);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u32 = static_cast<std::uint32_t>(index);
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
  }
  void run() {
    std::thread([this] {
      epoll_event events[64];
      while (true) {
        const int n = ::epoll_wait(epoll_, events, 64, 1000);
        for (int i = 0; i < n; ++i) {
          const int index = static_cast<int>(events[i].data.u32);
          const int fd = ::accept4(listeners_[static_cast<std::size_t>(index)], nullptr, nullptr, SOCK_CLOEXEC);
          if (fd < 0) continue;
          std::thread([this, index, fd] {
            engines_[static_cast<std::size_t>(index)]->serve_connection(fd);
            ::close(fd);
          }).detach();
        }
      }
    }).detach();
  }
  Engine& engine(int index) { return *engines_[static_cast<std::size_t>(index)]; }
  std::string member(int index, const std::string& phase, std::int64_t up_since_ms = 0) {
    return member_json(engine(index).name(), addresses_[static_cast<std::size_t>(index)], phase, up_since_ms);
  }

 private:
  int epoll_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::string> addresses_;
  std::vector<int> listeners_;
};

std::int64_t unix_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = begin_case(argc, argv);
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  if (files.rlim_cur < kExecutors + kReplaced + 500) could_not_run("too few descriptors for 5,120 executors");
  Fleet fleet;
  std::vector<std::string> members;
  for (int i = 0; i < kExecutors + kReplaced; ++i) {
    char id[16];
    std::snprintf(id, sizeof id, "s-%08x", static_cast<unsigned>(i) * 2654435761U);
    fleet.add(id);
    if (i < kExecutors) members.push_back(fleet.member(i, "in_service"));
  }
  fleet.run();
  auto log = std::make_unique<ChangeLog>();
  log->start();
  log->add(true, members);
  Settings settings;
  settings.controllers = 300;
  settings.memory_mb = 32;
  Controller controller(folder);
  running_controller() = &controller;
  controller.write_config(settings, log->address(), log->all());
  controller.start();

  std::atomic<bool> stop{false};
  std::atomic<int> served{0}, other{0};
  std::thread traffic([&] {
    Client client;
    if (!client.connect(controller.port())) could_not_run("the client can't connect");
    for (int sequence = 1; !stop; ++sequence) {
      const std::string statement = "select * from sales_" + std::to_string(sequence % 20) + ".orders /* ms=20 rows=1 */";
      client.write(invoke_frame(sequence, fields_of("lookup", new_reference(), 4000, 20), statement));
      const auto answer = client.wait_for(sequence, now_ms() + 4500);
      ++(answer && answer->kind == Answer::Kind::kServed ? served : other);
      sleep_ms(20);
    }
  });
  sleep_ms(3000);
  // A release: within 7 s, in 28 steps, executors begin to drain, and others come in their place. Those that drain stay up.
  const std::int64_t begun = now_ms();
  if (trouble()) {
    log->set_down(true);
    note("discovery is down");
  }
  constexpr int kSteps = 28, kStep = (kReplaced + kSteps - 1) / kSteps;
  std::vector<std::int64_t> drained_at(kReplaced, 0);
  for (int step = 0; step < kSteps; ++step) {
    std::vector<std::string> draining, coming;
    for (int i = step * kStep; i < std::min(kReplaced, (step + 1) * kStep); ++i) {
      draining.push_back(fleet.member(i, "terminating"));
      coming.push_back(fleet.member(kExecutors + i, "in_service", unix_ms()));
      drained_at[static_cast<std::size_t>(i)] = now_ms();
    }
    log->add(false, draining);
    log->add(false, coming);
    sleep_until_ms(begun + (step + 1) * 250);
  }
  note(std::to_string(kReplaced) + " executors drain");
  sleep_until_ms(begun + kDownMs);
  if (trouble()) {
    log->set_down(false);
    note("discovery is back");
  }
  const std::int64_t told_at = now_ms() + 7000;  // what the log has to tell counts as told 7 s later at the latest
  const std::int64_t forbidden_from = told_at + kDrainGrace + kSlack;
  sleep_until_ms(forbidden_from + 5000);
  const double peak = controller.peak_mb();
  stop = true;
  traffic.join();
  int late = 0;
  for (int i = 0; i < kReplaced; ++i)
    for (const Start& start : fleet.engine(i).starts())
      if (start.at > forbidden_from && ++late <= 5)
        note(start.engine + ", which drains, was sent " + start.reference + " " +
             std::to_string(start.at - told_at) + " ms after the latest time at which that counts as told");
  note(std::to_string(late) + " starts at draining executors after the grace; " + std::to_string(served) + " served, " +
       std::to_string(other) + " not; " + std::to_string(log->polls()) + " calls at the change log, the longest answer " +
       std::to_string(log->longest()) + " bytes; peak of the controller's memory " + std::to_string(peak) + " MB");
  if (served == 0) could_not_run("nothing was served");
  finish(late > 0 ? kBroken : kHeld);
}
