// Records what clients requested and what engines were sent in a soak, and finds the rules that were broken.
// All times are from the steady clock of the test's own process.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "integration/front_client.h"

namespace orchidgw::soak {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using std::chrono::milliseconds;

enum class Effect { kSafe, kKeyed, kUnsafe };

struct QueryClass {
  std::string name;
  Effect effect = Effect::kSafe;
  milliseconds deadline{0};
  milliseconds repeat_window{0};
};

// CPU time of a query on one core of an engine, which is also the cost that the engine reports for it.
constexpr milliseconds kMinWork{10};
constexpr milliseconds kMeanWork{90};

struct Interval {
  Instant from;
  Instant to;
};

// One process of a controller, from its start to its end; safe to use from several threads.
class ProcessRecord {
 public:
  explicit ProcessRecord(std::string name) : name_(std::move(name)) {}
  const std::string& name() const { return name_; }
  void record_kill();  // by SIGKILL: requests that it held need no answer
  void record_stop_request();
  // It exited with code 0 and did not count a connection that it closed with a request it had read but not
  // answered.
  void record_clean_close();
  void record_pause(Interval at);  // SIGSTOP to SIGCONT
  bool was_killed() const;
  // Whether a request may have been written just as its connection was closed in a shutdown, so that it was
  // never read.
  bool unread_at_shutdown(Instant written_at, Instant ended_at) const;
  Clock::duration paused_time(Instant from, Instant to) const;

 private:
  std::string name_;
  mutable std::mutex mutex_;
  bool killed_ = false;
  std::optional<Instant> stop_requested_at_;
  bool closed_cleanly_ = false;
  std::vector<Interval> pauses_;
};

enum class AttemptEnd { kInFlight, kAnswered, kNotStarted, kCancelled };

class SoakAudit {
 public:
  using RequestId = std::string;  // the request's reference
  using AttemptIndex = std::size_t;

  // Called by clients.
  void record_request(const RequestId& id, const QueryClass& query_class, milliseconds timeout,
                      std::shared_ptr<const ProcessRecord> process);
  void record_answer(const RequestId& id, integration::FrontAnswer::Kind kind);
  void record_abandoned(const RequestId& id);

  // Called by engines.
  AttemptIndex record_attempt(const RequestId& id, const std::string& engine, milliseconds engine_timeout);
  void record_poll(const RequestId& id, AttemptIndex attempt);
  void record_attempt_end(const RequestId& id, AttemptIndex attempt, AttemptEnd end);
  void record_drain(const std::string& engine);  // the change log has announced it
  void record_change_log_outage(Interval at);
  void record_machine_stall(Interval at);               // a thread of the test did not get a core
  void record_engine_start(const std::string& engine);  // the change log has announced its start

  // One line for each broken rule.
  std::vector<std::string> broken_rules() const;
  // One line if all requests together, and one for each class, had less than the minimum share served.
  std::vector<std::string> low_shares() const;
  std::string summary() const;

 private:
  struct Attempt {
    std::string engine;
    Instant at;
    milliseconds engine_timeout{0};
    Instant last_polled;
    Instant ended_at;
    AttemptEnd end = AttemptEnd::kInFlight;
  };
  struct Request {
    const QueryClass* query_class = nullptr;
    Instant sent_at;
    milliseconds timeout{0};
    std::shared_ptr<const ProcessRecord> process;
    std::optional<Instant> answered_at;
    integration::FrontAnswer::Kind kind = integration::FrontAnswer::Kind::kClosed;
    std::optional<Instant> abandoned_at;
    std::vector<Attempt> attempts;
  };

  struct Share {
    std::size_t asked = 0;
    std::size_t served = 0;
    double value() const { return asked > 0 ? static_cast<double>(served) / static_cast<double>(asked) : 1; }
  };

  // When the attempt ended, or when the engine has dropped it because nobody polled, whichever is first.
  static Instant attempt_end_time(const Attempt& attempt);
  // By class, without abandoned requests and those of killed processes, which need no answer.
  std::map<std::string, Share> shares() const;
  std::vector<Instant> attempt_times(const std::string& engine, Instant from) const;
  void check_slow_start(const std::string& engine, Instant announced_at, std::vector<std::string>& out) const;
  // Pauses of the request's process and stalls of the machine that overlap the time.
  Clock::duration stalled_time(const Request& request, Instant from, Instant to) const;
  void check_request(const RequestId& id, const Request& request, std::vector<std::string>& out) const;
  void check_answer(const Request& request, std::vector<std::string>& out) const;
  void check_attempt(const Request& request, const Attempt& attempt, std::vector<std::string>& out) const;
  static void check_second_attempt(const Request& request, const Attempt& earlier, const Attempt& later,
                                   std::vector<std::string>& out);

  mutable std::mutex mutex_;
  std::map<RequestId, Request> requests_;
  std::map<std::string, Instant> drain_announced_;
  std::vector<std::pair<std::string, Instant>> engine_starts_;  // engine, when its start was announced
  std::vector<Interval> change_log_outages_;
  std::vector<Interval> machine_stalls_;
};

}  // namespace orchidgw::soak
