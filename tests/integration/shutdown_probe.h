// Clients that go on using their open connections while a controller shuts down, and the SIGKILL that ends
// the controller at the earliest moment that the operators' terms allow.
#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "controller_process.h"
#include "front_client.h"

namespace orchidgw::integration {

using ProbeClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// JSON of the module's settings: the classes `lookup` (may be repeated), `load` (keyed) and `once` (must not
// run twice), each with that deadline.
std::string settings_with_deadline(milliseconds deadline);

// One request of a client, from its last byte written to its whole answer.
struct ProbedRequest {
  ProbeClock::time_point sent_at;
  FrontAnswer::Kind answer = FrontAnswer::Kind::kClosed;
  ProbeClock::time_point answered_at;
};

// Sends one request after the other on one connection until it reads the end of it.
class ProbeClient {
 public:
  ProbeClient(const std::string& address, std::string query_class, milliseconds allow);
  ~ProbeClient();

  void join();  // the connection has ended
  const std::vector<ProbedRequest>& requests() const { return requests_; }

 private:
  void run();
  bool ask(std::int32_t sequence);

  FrontClient client_;
  std::string query_class_;
  milliseconds allow_;
  std::vector<ProbedRequest> requests_;
  std::thread thread_;
};

// How a shutdown came out.
struct Shutdown {
  ProbeClock::time_point asked_at;
  ProbeClock::time_point over_at;
  int exit_code = -1;  // 128 + SIGKILL: it had not ended by itself
};

// The earliest SIGKILL after SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s.
milliseconds earliest_kill(milliseconds longest_deadline);

// A sanitized process looks for leaks once the program has ended: that took 50 to 75 ms where 20 to 25 ms
// pass without, on an idle machine. SIGKILL comes so much later there; when the program itself ended is told
// by its log.
#ifdef __SANITIZE_ADDRESS__
inline constexpr bool kSanitized = true;
inline constexpr milliseconds kLeakCheck{2000};
#else
inline constexpr bool kSanitized = false;
inline constexpr milliseconds kLeakCheck{0};
#endif

// From the program's line that it was asked to stop to its last one, by the times in them.
milliseconds stop_by_log(const std::string& log);

// Sends SIGTERM, and SIGKILL at the earliest moment where the process has not ended by then.
Shutdown shut_down(ControllerProcess& controller, milliseconds longest_deadline);
// Likewise, where SIGTERM was sent at `asked_at`.
Shutdown wait_for_shutdown(ControllerProcess& controller, ProbeClock::time_point asked_at,
                           milliseconds longest_deadline);

}  // namespace orchidgw::integration
