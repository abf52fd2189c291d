#include "soak_engine.h"

#include <thread>

#include "integration/running_fixture.h"

namespace orchidgw::soak {
namespace {

using integration::HttpCall;
using integration::HttpReply;
using integration::reply;

constexpr milliseconds kPollHold{250};
constexpr milliseconds kUnpolledQueryTimeout{2000};
constexpr milliseconds kCheckInterval{5};
constexpr double kFaultProbability = 0.4;  // that a call is affected, while a fault is on

HttpReply served_with(HttpReply::Behavior behavior) {
  HttpReply out = integration::served("a\tb\tc\n");
  out.behavior = behavior;
  return out;
}

HttpReply served_after(milliseconds duration) {
  HttpReply out = integration::served("a\tb\tc\n");
  out.headers["X-Cost-Ms"] = std::to_string(duration.count());
  return out;
}

HttpReply full_reply() { return reply(503, {{"Not-Begun", "1"}}); }

}  // namespace

SoakEngine::SoakEngine(std::string id, SoakAudit& audit, unsigned seed)
    : id_(std::move(id)), audit_(audit), random_(seed) {
  server_ = std::make_unique<integration::HttpStandIn>([this](const HttpCall& call) { return answer(call); });
  address_ = server_->address();
}

void SoakEngine::crash() {
  crashing_ = true;
  server_.reset();
  const std::lock_guard lock(mutex_);
  for (auto& [reference, query] : running_)
    audit_.record_attempt_end(reference, query.attempt, AttemptEnd::kCancelled);
  running_.clear();
  crashing_ = false;
}

void SoakEngine::restart() {
  server_ = std::make_unique<integration::HttpStandIn>([this](const HttpCall& call) { return answer(call); },
                                                       address_);
}

bool SoakEngine::draw(double probability) {
  const std::lock_guard lock(mutex_);
  return std::bernoulli_distribution(probability)(random_);
}

void SoakEngine::hang_while_faulty() {
  while (fault_ == EngineFault::kHangs && !crashing_) std::this_thread::sleep_for(kCheckInterval);
}

HttpReply SoakEngine::answer(const HttpCall& call) {
  const std::string id_in_path = call.path.size() > 6 ? call.path.substr(6, 16) : "";  // follows /v2/q/
  HttpReply out;
  if (call.method == "POST") {
    out = start(call);
  } else if (call.method == "DELETE") {
    out = cancel(id_in_path);
  } else if (call.method == "PUT") {
    out = reply(204);
  } else {
    out = poll(id_in_path);
  }
  hang_while_faulty();
  if (out.status == 200) record_answer(call.method == "POST" ? call.headers.at("Call-Id") : id_in_path);
  if (fault_ == EngineFault::kResets && draw(kFaultProbability))
    return served_with(HttpReply::Behavior::kReset);
  if (fault_ == EngineFault::kTruncatesAnswers && draw(kFaultProbability))
    return served_with(HttpReply::Behavior::kTruncatedBody);
  return out;
}

// Called when the answer with the query's result is about to be sent.
void SoakEngine::record_answer(const std::string& reference) {
  const std::lock_guard lock(mutex_);
  const auto it = running_.find(reference);
  if (it != running_.end()) audit_.record_attempt_end(reference, it->second.attempt, AttemptEnd::kAnswered);
}

HttpReply SoakEngine::start(const HttpCall& call) {
  const std::string reference = call.headers.at("Call-Id");
  const milliseconds timeout(std::stol(call.headers.at("Call-Ms")));
  const auto attempt = audit_.record_attempt(reference, id_, timeout);
  if (fault_ == EngineFault::kFull && draw(kFaultProbability)) {
    audit_.record_attempt_end(reference, attempt, AttemptEnd::kNotStarted);
    return full_reply();
  }
  {
    const std::lock_guard lock(mutex_);
    std::exponential_distribution<double> work(1.0 / static_cast<double>((kMeanWork - kMinWork).count()));
    const milliseconds duration = kMinWork + milliseconds(static_cast<long>(work(random_)));
    running_[reference] = {attempt, duration, Clock::now() + duration, Clock::now(), false};
  }
  if (fault_ == EngineFault::kFails && draw(kFaultProbability)) {
    audit_.record_attempt_end(reference, attempt, AttemptEnd::kAnswered);
    const std::lock_guard lock(mutex_);
    running_.erase(reference);
    return reply(500);
  }
  return poll(reference);
}

HttpReply SoakEngine::poll(const std::string& reference) {
  const Instant until = Clock::now() + kPollHold;
  while (!crashing_) {
    {
      const std::lock_guard lock(mutex_);
      const auto it = running_.find(reference);
      if (it == running_.end()) return reply(500);
      RunningQuery& query = it->second;
      if (!query.done && Clock::now() - query.last_polled > kUnpolledQueryTimeout) {
        running_.erase(it);
        return reply(500);
      }
      query.last_polled = Clock::now();
      audit_.record_poll(reference, query.attempt);
      if (Clock::now() >= query.done_at) {
        query.done = true;
        return served_after(query.duration);
      }
    }
    if (Clock::now() >= until) return reply(202);
    std::this_thread::sleep_for(kCheckInterval);
  }
  return served_with(HttpReply::Behavior::kReset);
}

HttpReply SoakEngine::cancel(const std::string& reference) {
  const std::lock_guard lock(mutex_);
  const auto it = running_.find(reference);
  if (it == running_.end()) return reply(204);
  audit_.record_attempt_end(reference, it->second.attempt, AttemptEnd::kCancelled);
  running_.erase(it);
  return reply(204);
}

}  // namespace orchidgw::soak
