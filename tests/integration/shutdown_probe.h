// Clients that go on using their open connections while a controller shuts down, and the SIGKILL that ends
// the controller at the earliest time that the operators' rules allow.
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

// JSON of the decision module's settings with the classes `lookup` (idempotent), `load` (deduplicated by its
// key) and `once` (must not run twice), each with that deadline.
std::string settings_with_deadline(milliseconds deadline);

// One request of a client. kClosed: the connection ended without an answer.
struct ProbedRequest {
  ProbeClock::time_point sent_at;  // its last byte was written
  FrontAnswer::Kind answer = FrontAnswer::Kind::kClosed;
  ProbeClock::time_point answered_at;  // its whole answer was read
};

// Sends requests one after the other on one connection, in a thread of its own, until the connection ends.
class ProbeClient {
 public:
  ProbeClient(const std::string& address, std::string query_class, milliseconds allow);
  ~ProbeClient();

  void join();  // waits until the connection has ended
  const std::vector<ProbedRequest>& requests() const { return requests_; }  // valid after join()

 private:
  void run();
  bool send_request(std::int32_t sequence);  // and waits for its answer; false: the connection has ended

  FrontClient client_;
  std::string query_class_;
  milliseconds allow_;
  std::vector<ProbedRequest> requests_;
  std::thread thread_;
};

// Times and result of a shutdown.
struct Shutdown {
  ProbeClock::time_point sigterm_at;
  ProbeClock::time_point ended_at;
  int exit_code = -1;  // 128 + SIGKILL: the process had not ended by itself
};

// The shortest time from SIGTERM to SIGKILL: the longest deadline, but at most 3 s of it, plus 0.7 s.
milliseconds earliest_kill(milliseconds longest_deadline);

// A sanitized process checks for leaks after the program has ended: its end takes 50 to 75 ms, against 20 to
// 25 ms without the check, on an idle machine. SIGKILL comes later by kLeakCheck there; the log shows when
// the program itself ended.
#ifdef __SANITIZE_ADDRESS__
inline constexpr bool kSanitized = true;
inline constexpr milliseconds kLeakCheck{2000};
#else
inline constexpr bool kSanitized = false;
inline constexpr milliseconds kLeakCheck{0};
#endif

// Time between the program's log line that it was asked to stop and its last one, by their timestamps.
milliseconds stop_duration_in_log(const std::string& log);

// Sends SIGTERM, waits for the end of the process, and sends SIGKILL if it has not ended by the earliest time
// allowed.
Shutdown shut_down(ControllerProcess& controller, milliseconds longest_deadline);
// Likewise, for a SIGTERM that was sent at `sigterm_at`.
Shutdown wait_for_shutdown(ControllerProcess& controller, ProbeClock::time_point sigterm_at,
                           milliseconds longest_deadline);

}  // namespace orchidgw::integration
