// What clients asked and engines were sent in a soak, and which of the rules it broke. Times are of the
// monotonic clock of the test's own process.
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

// Of a query at an engine, which is what an engine bills for it: so much of a core.
constexpr milliseconds kLeastWork{10};
constexpr milliseconds kMeanWork{90};

struct Interval {
  Instant from;
  Instant to;
};

// One process of a controller, from its start to its end.
class ProcessRecord {
 public:
  explicit ProcessRecord(std::string name) : name_(std::move(name)) {}
  const std::string& name() const { return name_; }
  void killed();  // outright: what it held is nobody's duty any more
  void asked_to_stop();
  // It ended by itself and counted no close over a request that it had read.
  void closed_over_nothing();
  void stood_still(Interval at);  // stopped by a signal
  bool was_killed() const;
  // A request that was written as its connection ended in a shutdown, and was not read.
  bool left_unread(Instant written_at, Instant ended_at) const;
  Clock::duration stood_still_within(Instant from, Instant to) const;

 private:
  std::string name_;
  mutable std::mutex mutex_;
  bool killed_ = false;
  std::optional<Instant> asked_to_stop_;
  bool closed_over_nothing_ = false;
  std::vector<Interval> still_;
};

enum class StartEnd { kOut, kAnswered, kNeverBegun, kGivenUp };

class SoakAudit {
 public:
  using RequestId = std::string;  // its reference
  using StartNumber = std::size_t;

  // Clients.
  void asked(const RequestId& id, const QueryClass& query_class, milliseconds allow,
             std::shared_ptr<const ProcessRecord> process);
  void answered(const RequestId& id, integration::FrontAnswer::Kind kind);
  void left(const RequestId& id);

  // Engines.
  StartNumber started(const RequestId& id, const std::string& engine, milliseconds told_wait);
  void asked_for(const RequestId& id, StartNumber start);
  void ended(const RequestId& id, StartNumber start, StartEnd end);
  void drains(const std::string& engine);  // told in the change log
  void change_log_was_down(Interval at);
  void machine_stood_still(Interval at);        // this test's own threads got no core
  void begins_cold(const std::string& engine);  // its start has been told in the change log

  // All that was broken, a line each.
  std::vector<std::string> broken_rules() const;
  // Of all requests, and of each class, that got less served than a gateway has to.
  std::vector<std::string> low_shares() const;
  std::string summary() const;

 private:
  struct Start {
    std::string engine;
    Instant at;
    milliseconds told_wait{0};
    Instant last_asked;
    Instant ended_at;
    StartEnd end = StartEnd::kOut;
  };
  struct Request {
    const QueryClass* query_class = nullptr;
    Instant asked_at;
    milliseconds allow{0};
    std::shared_ptr<const ProcessRecord> process;
    std::optional<Instant> answered_at;
    integration::FrontAnswer::Kind kind = integration::FrontAnswer::Kind::kClosed;
    std::optional<Instant> left_at;
    std::vector<Start> starts;
  };

  struct Share {
    std::size_t asked = 0;
    std::size_t served = 0;
    double value() const { return asked > 0 ? static_cast<double>(served) / static_cast<double>(asked) : 1; }
  };

  static Instant over_at(const Start& start);
  // By class; those that left, and those of processes that were killed, are nobody's duty.
  std::map<std::string, Share> shares() const;
  std::vector<Instant> starts_at(const std::string& engine, Instant from) const;
  void judge_slow_start(const std::string& engine, Instant told, std::vector<std::string>& out) const;
  // Of the request's process or of the machine.
  Clock::duration stood_still(const Request& request, Instant from, Instant to) const;
  void judge(const RequestId& id, const Request& request, std::vector<std::string>& out) const;
  void judge_answer(const Request& request, std::vector<std::string>& out) const;
  void judge_start(const Request& request, const Start& start, std::vector<std::string>& out) const;
  static void judge_repeat(const Request& request, const Start& earlier, const Start& later,
                           std::vector<std::string>& out);

  mutable std::mutex mutex_;
  std::map<RequestId, Request> requests_;
  std::map<std::string, Instant> draining_;
  std::vector<std::pair<std::string, Instant>> cold_;  // engine, when its start was told
  std::vector<Interval> change_log_down_;
  std::vector<Interval> machine_still_;
};

}  // namespace orchidgw::soak
