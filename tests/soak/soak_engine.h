// An engine of the soak: runs each query for a random time, drops queries that nobody polls, and misbehaves
// on demand.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "integration/http_stand_in.h"
#include "soak_audit.h"

namespace orchidgw::soak {

enum class EngineFault { kNone, kHangs, kResets, kFails, kFull, kTruncatesAnswers };

class SoakEngine {
 public:
  SoakEngine(std::string id, SoakAudit& audit, unsigned seed);

  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  void set_fault(EngineFault fault) { fault_ = fault; }
  void crash();    // resets its connections and loses its queries
  void restart();  // after a crash, at the same address

 private:
  struct RunningQuery {
    SoakAudit::AttemptIndex attempt = 0;
    milliseconds duration{0};
    Instant done_at;
    Instant last_polled;
    bool done = false;
  };

  integration::HttpReply answer(const integration::HttpCall& call);
  integration::HttpReply start(const integration::HttpCall& call);
  integration::HttpReply poll(const std::string& reference);
  integration::HttpReply cancel(const std::string& reference);
  void record_answer(const std::string& reference);
  void hang_while_faulty();
  bool draw(double probability);

  std::string id_;
  SoakAudit& audit_;
  std::string address_;
  std::atomic<EngineFault> fault_{EngineFault::kNone};
  std::atomic<bool> crashing_{false};
  std::mutex mutex_;
  std::mt19937 random_;
  std::map<std::string, RunningQuery> running_;
  std::unique_ptr<integration::HttpStandIn> server_;
};

}  // namespace orchidgw::soak
