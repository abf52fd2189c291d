#include "soak_engine.h"

#include <thread>

#include "integration/running_fixture.h"

namespace orchidgw::soak {
namespace {

using integration::HttpCall;
using integration::HttpReply;
using integration::reply;

constexpr milliseconds kNewsHold{250};
constexpr milliseconds kForgottenAfter{2000};
constexpr milliseconds kLook{5};
constexpr double kFaultShare = 0.4;  // of calls, while a fault is on

HttpReply ended_as(HttpReply::Way way) {
  HttpReply out = integration::served("a\tb\tc\n");
  out.way = way;
  return out;
}

HttpReply served_after(milliseconds takes) {
  HttpReply out = integration::served("a\tb\tc\n");
  out.headers["X-Cost-Ms"] = std::to_string(takes.count());
  return out;
}

HttpReply full() { return reply(503, {{"Not-Begun", "1"}}); }

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
  for (auto& [reference, query] : running_) audit_.ended(reference, query.start, StartEnd::kGivenUp);
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

void SoakEngine::hang_while_told() {
  while (fault_ == EngineFault::kHangs && !crashing_) std::this_thread::sleep_for(kLook);
}

HttpReply SoakEngine::answer(const HttpCall& call) {
  const std::string id_in_path = call.path.size() > 6 ? call.path.substr(6, 16) : "";  // behind /v2/q/
  HttpReply out;
  if (call.method == "POST") {
    out = start(call);
  } else if (call.method == "DELETE") {
    out = give_up(id_in_path);
  } else if (call.method == "PUT") {
    out = reply(204);
  } else {
    out = news(id_in_path);
  }
  hang_while_told();
  if (out.status == 200) note_answered(call.method == "POST" ? call.headers.at("Call-Id") : id_in_path);
  if (fault_ == EngineFault::kResets && draw(kFaultShare)) return ended_as(HttpReply::Way::kReset);
  if (fault_ == EngineFault::kCutsAnswers && draw(kFaultShare)) return ended_as(HttpReply::Way::kCutBody);
  return out;
}

// Its end is being written now.
void SoakEngine::note_answered(const std::string& reference) {
  const std::lock_guard lock(mutex_);
  const auto it = running_.find(reference);
  if (it != running_.end()) audit_.ended(reference, it->second.start, StartEnd::kAnswered);
}

HttpReply SoakEngine::start(const HttpCall& call) {
  const std::string reference = call.headers.at("Call-Id");
  const milliseconds told(std::stol(call.headers.at("Call-Ms")));
  const auto number = audit_.started(reference, id_, told);
  if (fault_ == EngineFault::kFull && draw(kFaultShare)) {
    audit_.ended(reference, number, StartEnd::kNeverBegun);
    return full();
  }
  {
    const std::lock_guard lock(mutex_);
    std::exponential_distribution<double> work(1.0 / static_cast<double>((kMeanWork - kLeastWork).count()));
    const milliseconds takes = kLeastWork + milliseconds(static_cast<long>(work(random_)));
    running_[reference] = {number, takes, Clock::now() + takes, Clock::now(), false};
  }
  if (fault_ == EngineFault::kFails && draw(kFaultShare)) {
    audit_.ended(reference, number, StartEnd::kAnswered);
    const std::lock_guard lock(mutex_);
    running_.erase(reference);
    return reply(500);
  }
  return news(reference);
}

HttpReply SoakEngine::news(const std::string& reference) {
  const Instant until = Clock::now() + kNewsHold;
  while (!crashing_) {
    {
      const std::lock_guard lock(mutex_);
      const auto it = running_.find(reference);
      if (it == running_.end()) return reply(500);
      Running& query = it->second;
      if (!query.over && Clock::now() - query.last_asked > kForgottenAfter) {
        running_.erase(it);
        return reply(500);
      }
      query.last_asked = Clock::now();
      audit_.asked_for(reference, query.start);
      if (Clock::now() >= query.done_at) {
        query.over = true;
        return served_after(query.takes);
      }
    }
    if (Clock::now() >= until) return reply(202);
    std::this_thread::sleep_for(kLook);
  }
  return ended_as(HttpReply::Way::kReset);
}

HttpReply SoakEngine::give_up(const std::string& reference) {
  const std::lock_guard lock(mutex_);
  const auto it = running_.find(reference);
  if (it == running_.end()) return reply(204);
  audit_.ended(reference, it->second.start, StartEnd::kGivenUp);
  running_.erase(it);
  return reply(204);
}

}  // namespace orchidgw::soak
