// A shutdown while clients go on using their open connections, as the operators' rules allow.
//
// The failure (issue 46, A 1): one controller, one engine, 8 clients that send one request after the other on
// connections opened before SIGTERM. The controller closed only idle clients, and a client that always has a
// request open is never idle, so the controller never ended by itself. SIGKILL found one request of each
// client read and unanswered (8 of 8 lost with a healthy engine, with one that hangs and with one that
// resets). The program did not know when SIGKILL may come; now it derives that time from the longest deadline
// in the settings (`decision/shutdown_schedule.h`).
#include <gtest/gtest.h>
#include <signal.h>
#include <thrift/Thrift.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <thread>

#include "running_fixture.h"
#include "shutdown_probe.h"

namespace orchidgw::integration {
namespace {

using Kind = FrontAnswer::Kind;

constexpr milliseconds kLoadTimeBeforeShutdown{300};
constexpr milliseconds kRequestsKeepComing{600};  // on open connections, as the operators' page says
constexpr milliseconds kAnswerGrace{500};         // after a request's deadline; a later answer is a lost one
const char* const kClasses[] = {"lookup", "load", "once"};

enum class EngineFault { kNone, kHangs, kResets, kFails, kCutsAnswers };

const char* name_of(EngineFault fault) {
  constexpr const char* kNames[] = {"Healthy", "Hangs", "Resets", "Fails", "CutsAnswers"};
  return kNames[static_cast<std::size_t>(fault)];
}

HttpReply answer_with(EngineFault fault, const HttpCall& call) {
  constexpr milliseconds kWork{10};
  if (fault == EngineFault::kHangs) {
    HttpReply silent;
    silent.behavior = HttpReply::Behavior::kSilent;
    return silent;
  }
  if (call.method == "DELETE") return reply(204);
  std::this_thread::sleep_for(kWork);
  HttpReply answer = fault == EngineFault::kFails ? reply(500) : served("a\tb\tc\n");
  if (fault == EngineFault::kResets) answer.behavior = HttpReply::Behavior::kReset;
  if (fault == EngineFault::kCutsAnswers) answer.behavior = HttpReply::Behavior::kTruncatedBody;
  return answer;
}

class ShutdownFixture : public RunningFixture {
 protected:
  void start_with_deadline(milliseconds longest) {
    deadline = longest;
    options.settings = settings_with_deadline(longest);
    start();
  }

  void expect_ended_by_itself(const Shutdown& shutdown) const {
    EXPECT_EQ(shutdown.exit_code, 0) << "SIGKILL found it running\n" << controller->log();
    EXPECT_NE(controller->log().find(": stopping\n"), std::string::npos) << controller->log();
    EXPECT_LT(stop_duration_in_log(controller->log()), earliest_kill(deadline));
    EXPECT_LT(shutdown.ended_at - shutdown.sigterm_at, earliest_kill(deadline) + kLeakCheck);
    EXPECT_EQ(controller->log().find("counter violations."), std::string::npos) << controller->log();
  }

  milliseconds deadline{0};
};

class ShutdownUnderLoad : public ShutdownFixture,
                          public ::testing::WithParamInterface<std::tuple<EngineFault, int>> {};

TEST_P(ShutdownUnderLoad, EveryRequestIsAnsweredAndItEndsBeforeTheKill) {
  constexpr int kClients = 8;
  const EngineFault fault = std::get<0>(GetParam());
  add_engine([fault](const HttpCall& call) { return answer_with(fault, call); });
  start_with_deadline(milliseconds(std::get<1>(GetParam())));
  std::vector<std::unique_ptr<ProbeClient>> clients;
  for (int i = 0; i < kClients; ++i)
    clients.push_back(std::make_unique<ProbeClient>(controller->address(), kClasses[i % 3], deadline));
  std::this_thread::sleep_for(kLoadTimeBeforeShutdown);
  const Shutdown shutdown = shut_down(*controller, deadline);
  expect_ended_by_itself(shutdown);
  for (const auto& client : clients) {
    client->join();
    for (const ProbedRequest& request : client->requests()) {
      const auto after = std::chrono::duration_cast<milliseconds>(request.sent_at - shutdown.sigterm_at);
      EXPECT_NE(request.answer, Kind::kClosed) << "lost: sent " << after.count() << " ms after SIGTERM";
      EXPECT_LT(request.answered_at - request.sent_at, deadline + kAnswerGrace);
      // A sanitized engine can't serve within 0.1 s, so the decision module refuses such requests
      // (`queries.refused.decision`).
      const bool has_time = !kSanitized || deadline >= milliseconds(500);
      const bool must_be_served = has_time && fault == EngineFault::kNone && after < kRequestsKeepComing;
      if (must_be_served) {
        EXPECT_EQ(request.answer, Kind::kServed) << "sent " << after.count() << " ms after SIGTERM";
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Faults, ShutdownUnderLoad,
                         ::testing::Combine(::testing::Values(EngineFault::kNone, EngineFault::kHangs,
                                                              EngineFault::kResets, EngineFault::kFails,
                                                              EngineFault::kCutsAnswers),
                                            ::testing::Values(100, 500, 3000, 10'000)),
                         [](const auto& tested) {
                           return std::string(name_of(std::get<0>(tested.param))) + "Deadline" +
                                  std::to_string(std::get<1>(tested.param)) + "Ms";
                         });

class Stopping : public ShutdownFixture {};

// Guards against an answer that is missing for a request which was read: only the requests after the last one
// that was read may go without.
TEST_F(Stopping, APipeliningClientGetsAnAnswerToAllThatWasRead) {
  constexpr int kOpenAtOnce = 8;
  add_engine([](const HttpCall& call) { return answer_with(EngineFault::kNone, call); });
  start_with_deadline(milliseconds(500));
  FrontClient client(controller->address());
  std::atomic<int> answers{0};
  std::atomic<int> sent{0};
  std::atomic<int> sent_in_time{0};
  std::atomic<bool> over{false};
  std::thread reader([&] {
    while (client.receive().kind != Kind::kClosed) ++answers;
    over = true;
  });
  std::thread writer([&] {
    try {
      while (!over) {
        if (sent - answers >= kOpenAtOnce) {
          std::this_thread::yield();
          continue;
        }
        client.invoke(sent + 1, {{"allow", "500"}, {"effort", "5.0"}});
        ++sent;
      }
    } catch (const apache::thrift::TException&) {
      return;  // the controller has closed the connection
    }
  });
  std::this_thread::sleep_for(kLoadTimeBeforeShutdown);
  std::thread in_time([&] {
    std::this_thread::sleep_for(kRequestsKeepComing);
    sent_in_time = sent.load();
  });
  const Shutdown shutdown = shut_down(*controller, deadline);
  for (std::thread* thread : {&in_time, &writer, &reader}) thread->join();
  expect_ended_by_itself(shutdown);
  EXPECT_GE(answers, sent_in_time);
  const std::string log = controller->log();
  EXPECT_NE(log.find("counter queries.taken " + std::to_string(answers) + "\n"), std::string::npos)
      << answers << " answers\n"
      << log;
}

// Guards against the loss of a request whose first half arrived before SIGTERM and whose rest arrives in
// time.
TEST_F(Stopping, HalfARequestIsWaitedForAsLongAsRequestsKeepComing) {
  add_engine(serve_all);
  start_with_deadline(milliseconds(500));
  FrontClient client(controller->address());
  const std::string request = client.encode_invoke(1, {{"allow", "400"}});
  client.send_raw(request.substr(0, request.size() / 2));
  std::thread rest([&] {
    std::this_thread::sleep_for(milliseconds(500));
    client.send_raw(request.substr(request.size() / 2));
    EXPECT_EQ(client.receive().kind, Kind::kServed);
  });
  const Shutdown shutdown = shut_down(*controller, deadline);
  rest.join();
  expect_ended_by_itself(shutdown);
}

TEST_F(Stopping, HalfARequestThatNeverGetsWholeHoldsNothingUp) {
  add_engine(serve_all);
  start_with_deadline(milliseconds(100));
  FrontClient client(controller->address());
  const std::string request = client.encode_invoke(1, {{"allow", "100"}});
  client.send_raw(request.substr(0, request.size() / 2));
  expect_ended_by_itself(shut_down(*controller, deadline));
}

// The client reads none of its answers, which have the largest results there may be: the controller stops
// reading from it, and answers stay unsent.
TEST_F(Stopping, AClientThatReadsNothingHoldsNothingUp) {
  constexpr int kRequests = 32;
  const std::string rows = std::string(5997, 'x') + "\t\t\n";
  add_engine([&](const HttpCall& call) {
    if (call.method == "POST") return served(rows, 8);
    return reply(200, {{"X-Page", call.path.substr(call.path.size() - 1)}}, rows);
  });
  start_with_deadline(milliseconds(500));
  FrontClient client(controller->address());
  for (int i = 1; i <= kRequests; ++i) client.invoke(i, {{"allow", "500"}});
  std::this_thread::sleep_for(kLoadTimeBeforeShutdown);
  expect_ended_by_itself(shut_down(*controller, deadline));
}

TEST_F(Stopping, SignalsInSeriesChangeNothing) {
  add_engine([](const HttpCall& call) { return answer_with(EngineFault::kNone, call); });
  start_with_deadline(milliseconds(500));
  ProbeClient client(controller->address(), "lookup", deadline);
  std::this_thread::sleep_for(kLoadTimeBeforeShutdown);
  const auto sigterm_at = ProbeClock::now();
  controller->signal(SIGHUP);
  controller->signal(SIGTERM);
  std::thread series([this] {
    for (int i = 0; i < 10; ++i) {
      std::this_thread::sleep_for(milliseconds(50));
      controller->signal(i % 2 == 0 ? SIGHUP : SIGTERM);
    }
  });
  const Shutdown shutdown = wait_for_shutdown(*controller, sigterm_at, deadline);
  series.join();
  client.join();
  expect_ended_by_itself(shutdown);
  for (const ProbedRequest& request : client.requests()) EXPECT_EQ(request.answer, Kind::kServed);
}

// Until the program has blocked its signals, SIGTERM kills it as it would any process; from then on it is a
// planned stop.
TEST_F(Stopping, ASignalDuringTheStartEndsItInTime) {
  add_engine(serve_all);
  deadline = milliseconds(100);
  options.settings = settings_with_deadline(deadline);
  options.change_log = change_log.address();
  const std::string path =
      (std::filesystem::temp_directory_path() / ("orchidgw-shutdown-" + std::to_string(::getpid()) + ".json"))
          .string();
  for (int delay = 0; delay < 40; delay += 2) {
    std::ofstream(path) << make_config_json(options);
    ControllerProcess starting({{"BALANCER_CONFIG", path}});
    std::this_thread::sleep_for(milliseconds(delay));
    const Shutdown shutdown = shut_down(starting, deadline);
    const bool killed_before_signals_were_blocked = shutdown.exit_code == 128 + SIGTERM;
    EXPECT_TRUE(shutdown.exit_code == 0 || killed_before_signals_were_blocked)
        << shutdown.exit_code << " at " << delay << " ms\n"
        << starting.log();
  }
  std::filesystem::remove(path);
}

// A process that was stopped (SIGSTOP) when SIGTERM came does not know when that was: it counts from a time
// before the stop.
TEST_F(Stopping, ASignalWhileTheProcessStandsStillCountsFromThen) {
  constexpr milliseconds kStoppedTime{400};
  add_engine([](const HttpCall& call) { return answer_with(EngineFault::kNone, call); });
  start_with_deadline(milliseconds(500));
  ProbeClient client(controller->address(), "lookup", deadline);
  std::this_thread::sleep_for(kLoadTimeBeforeShutdown);
  controller->signal(SIGSTOP);
  const auto sigterm_at = ProbeClock::now();
  controller->signal(SIGTERM);
  std::this_thread::sleep_for(kStoppedTime);
  controller->signal(SIGCONT);
  const Shutdown shutdown = wait_for_shutdown(*controller, sigterm_at, deadline);
  client.join();
  expect_ended_by_itself(shutdown);
  for (const ProbedRequest& request : client.requests()) EXPECT_NE(request.answer, Kind::kClosed);
}

// Idle clients take all places: a client that has a place and sends requests is served, and clients that wait
// for a place do not delay the stop.
TEST_F(Stopping, AFullHouseHoldsNothingUp) {
  add_engine([](const HttpCall& call) { return answer_with(EngineFault::kNone, call); });
  options.sockets = 60;
  start_with_deadline(milliseconds(500));
  ProbeClient active(controller->address(), "lookup", deadline);
  std::vector<std::unique_ptr<FrontClient>> idle;
  for (int i = 0; i < 40; ++i) idle.push_back(std::make_unique<FrontClient>(controller->address()));
  std::this_thread::sleep_for(kLoadTimeBeforeShutdown);
  const Shutdown shutdown = shut_down(*controller, deadline);
  active.join();
  expect_ended_by_itself(shutdown);
  for (const ProbedRequest& request : active.requests()) EXPECT_EQ(request.answer, Kind::kServed);
}

// An attempt that may have run is still in flight at the end: its request has to fail, because a refusal
// would say that a retry is harmless.
TEST_F(Stopping, WhatMayHaveRunFailsAndIsNotRefused) {
  add_engine([](const HttpCall& call) { return answer_with(EngineFault::kHangs, call); });
  start_with_deadline(milliseconds(10'000));
  FrontClient client(controller->address());
  client.invoke(1, {{"service", "once"}, {"allow", "10000"}});
  ASSERT_TRUE(engines[0]->wait_for("POST", "/v2/q"));
  std::thread reader([&] { EXPECT_EQ(client.receive().kind, Kind::kFailed); });
  const Shutdown shutdown = shut_down(*controller, deadline);
  reader.join();
  expect_ended_by_itself(shutdown);
}

}  // namespace
}  // namespace orchidgw::integration
