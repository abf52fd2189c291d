#include "shutdown_probe.h"

#include <signal.h>
#include <thrift/Thrift.h>

#include <algorithm>
#include <future>
#include <sstream>
#include <utility>

namespace orchidgw::integration {

std::string settings_with_deadline(milliseconds deadline) {
  const std::string microseconds = std::to_string(deadline.count() * 1000);
  const auto query_class = [&](const std::string& name, const std::string& effect) {
    return R"({"name":")" + name + R"(","aim":)" + microseconds + R"(,"deadline":)" + microseconds +
           R"(,"effect":")" + effect + R"(","keyScope":"all","repeatWindow":1200000,"value":1})";
  };
  return R"({"balancers":1,"me":0,"myZone":"z","classes":[)" + query_class("lookup", "idempotent") + "," +
         query_class("load", "deduplicated") + "," + query_class("once", "at_most_once") +
         R"(],"domain":{"dop":[1,1,1],"sizeCores":[8],"kindMemoryMb":[16384],"bills":true},"shapes":["std"],)"
         R"("policyLimits":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfter":500000,)"
         R"("connectTimeout":250000},"rules":{"stopSendingWithin":1000000},)"
         R"("tenants":[{"name":"acme","portion":1,"quotaPerS":100000}]})";
}

ProbeClient::ProbeClient(const std::string& address, std::string query_class, milliseconds allow)
    : client_(address), query_class_(std::move(query_class)), allow_(allow) {
  thread_ = std::thread([this] { run(); });
}

ProbeClient::~ProbeClient() { join(); }

void ProbeClient::join() {
  if (thread_.joinable()) thread_.join();
}

void ProbeClient::run() {
  std::int32_t sequence = 0;
  while (!client_.ended_by_peer() && send_request(++sequence)) continue;
}

bool ProbeClient::send_request(std::int32_t sequence) {
  std::map<std::string, std::string> fields = {
      {"service", query_class_}, {"allow", std::to_string(allow_.count())}, {"effort", "5.0"}};
  if (query_class_ == "load") fields["replay"] = "5c0f6e1a2b3d4c59" + client_.reference_of(sequence);
  try {
    client_.invoke(sequence, fields);
  } catch (const apache::thrift::TException&) {
    return false;  // not written whole
  }
  ProbedRequest request;
  request.sent_at = ProbeClock::now();
  request.answer = client_.receive().kind;
  request.answered_at = ProbeClock::now();
  requests_.push_back(request);
  return request.answer != FrontAnswer::Kind::kClosed;
}

milliseconds earliest_kill(milliseconds longest_deadline) {
  constexpr milliseconds kMaxCountedDeadline{3000};
  constexpr milliseconds kRequestsKeepComing{700};
  return std::min(longest_deadline, kMaxCountedDeadline) + kRequestsKeepComing;
}

milliseconds stop_duration_in_log(const std::string& log) {
  std::istringstream lines(log);
  milliseconds asked_to_stop_at{0};
  milliseconds stopped_at{0};
  for (std::string line; std::getline(lines, line);) {
    if (line.find("asked to stop") != std::string::npos) asked_to_stop_at = milliseconds(std::stoll(line));
    if (line.ends_with(": stopping")) stopped_at = milliseconds(std::stoll(line));
  }
  return stopped_at - asked_to_stop_at;
}

Shutdown shut_down(ControllerProcess& controller, milliseconds longest_deadline) {
  const ProbeClock::time_point sigterm_at = ProbeClock::now();
  controller.signal(SIGTERM);
  return wait_for_shutdown(controller, sigterm_at, longest_deadline);
}

Shutdown wait_for_shutdown(ControllerProcess& controller, ProbeClock::time_point sigterm_at,
                           milliseconds longest_deadline) {
  Shutdown shutdown;
  shutdown.sigterm_at = sigterm_at;
  auto exit_code = std::async(std::launch::async, [&controller, &shutdown] {
    const int code = controller.wait_exit();
    shutdown.ended_at = ProbeClock::now();
    return code;
  });
  const auto kill_at = sigterm_at + earliest_kill(longest_deadline) + kLeakCheck;
  if (exit_code.wait_until(kill_at) == std::future_status::timeout) controller.signal(SIGKILL);
  shutdown.exit_code = exit_code.get();
  return shutdown;
}

}  // namespace orchidgw::integration
