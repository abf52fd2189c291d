#include "net/start_retry.h"

#include <Poco/Exception.h>
#include <signal.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>
#include <thread>

#include "base/system_call.h"
#include "base/time.h"
#include "net/clock.h"
#include "store/log_store.h"

namespace orchidgw::net {
namespace {

constexpr TimeUs kFirstPause = 10'000;
constexpr TimeUs kMaxPause = 500'000;
constexpr TimeUs kRetryTimeout = 8'000'000;    // a restarted process has to be ready within 10 s
constexpr TimeUs kSignalPollInterval = 5'000;  // during a pause

// A SIGTERM or SIGINT is pending.
bool stop_requested() {
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

// Waits for the pause; true, without waiting on, once a SIGTERM or SIGINT is pending.
bool stop_requested_within(TimeUs pause) {
  const TimeUs until = monotonic_now() + pause;
  while (!stop_requested()) {
    if (monotonic_now() >= until) return false;
    std::this_thread::sleep_for(std::chrono::microseconds(kSignalPollInterval));
  }
  return true;
}

std::string describe_failure(const std::exception& last, int tries) {
  return std::string(last.what()) + " (tried " + std::to_string(tries) + (tries == 1 ? " time)" : " times)");
}

// The system call that failed the try; nothing if it succeeded. Other exceptions are passed on.
std::optional<SystemCallError> try_start(const std::function<void()>& start) {
  try {
    start();
    return std::nullopt;
  } catch (const SystemCallError& e) {
    return e;
  } catch (const store::StoreUnavailable& e) {
    return e.cause();
  } catch (const Poco::Exception& e) {  // the reactor's own descriptors
    return SystemCallError(SystemCall::kEpoll, e.code(), "start");
  } catch (const std::system_error& e) {  // std::thread's
    return SystemCallError(SystemCall::kThread, e.code().value(), "start");
  }
}

}  // namespace

StartResult start_with_retries(const std::function<void()>& start) {
  const TimeUs started_at = monotonic_now();
  TimeUs pause = kFirstPause;
  for (int tries = 1;; ++tries) {
    if (stop_requested_within(0)) return StartResult::kStopRequested;
    const std::optional<SystemCallError> failure = try_start(start);
    if (!failure) return StartResult::kStarted;
    const bool out_of_time = monotonic_now() - started_at + pause > kRetryTimeout;
    if (!failure->is_transient() || out_of_time) throw std::runtime_error(describe_failure(*failure, tries));
    if (stop_requested_within(pause)) return StartResult::kStopRequested;
    pause = std::min(pause * 2, kMaxPause);
  }
}

}  // namespace orchidgw::net
