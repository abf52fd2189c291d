// A shutdown while clients go on using their open connections, as the operators' terms have it.
//
// What happened (issue 46, A 1): one controller, one engine, 8 clients with one request after the other on
// connections opened before SIGTERM. The controller never ended by itself: it closed a resting client alone,
// and a client that always has a request open never rests. SIGKILL found one request of each client read and
// unanswered (8 of 8 lost with a healthy engine, with one that hangs and with one that resets). Nothing in
// the program knew when the kill may come. Now the settings' longest deadline says it
// (`decision/shutdown_schedule.h`).
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

constexpr milliseconds kLoadBefore{300};
constexpr milliseconds kRequestsKeepComing{600};  // on open connections, by the operators' page
constexpr milliseconds kAnswerGrace{500};         // after a request's time: later is lost
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
    silent.way = HttpReply::Way::kSilent;
    return silent;
  }
  if (call.method == "DELETE") return reply(204);
  std::this_thread::sleep_for(kWork);
  HttpReply answer = fault == EngineFault::kFails ? reply(500) : served("a\tb\tc\n");
  if (fault == EngineFault::kResets) answer.way = HttpReply::Way::kReset;
  if (fault == EngineFault::kCutsAnswers) answer.way = HttpReply::Way::kCutBody;
  return answer;
}

class ShutdownFixture : public RunningFixture {
 protected:
  void start_with_deadline(milliseconds longest) {
    deadline = longest;
    options.settings = settings_with_deadline(longest);
    start();
  }

  void expect_own_end(const Shutdown& shutdown) const {
    EXPECT_EQ(shutdown.exit_code, 0) << "SIGKILL found it running\n" << controller->log();
    EXPECT_NE(controller->log().find(": stopping\n"), std::string::npos) << controller->log();
    EXPECT_LT(stop_by_log(controller->log()), earliest_kill(deadline));
    EXPECT_LT(shutdown.over_at - shutdown.asked_at, earliest_kill(deadline) + kLeakCheck);
    EXPECT_EQ(controller->log().find("counter violations."), std::string::npos) << controller->log();
  }

  milliseconds deadline{0};
};

class ShutdownUnderLoad : public ShutdownFixture,
                          public ::testing::WithParamInterface<std::tuple<EngineFault, int>> {};

TEST_P(ShutdownUnderLoad, EveryRequestIsAnsweredAndItEndsBeforeTheKill) {
  constexpr int kClients = 8;
  const EngineFault fault = std::get<0>(GetParam());
  engine([fault](const HttpCall& call) { return answer_with(fault, call); });
  start_with_deadline(milliseconds(std::get<1>(GetParam())));
  std::vector<std::unique_ptr<ProbeClient>> clients;
  for (int i = 0; i < kClients; ++i)
    clients.push_back(std::make_unique<ProbeClient>(controller->address(), kClasses[i % 3], deadline));
  std::this_thread::sleep_for(kLoadBefore);
  const Shutdown shutdown = shut_down(*controller, deadline);
  expect_own_end(shutdown);
  for (const auto& client : clients) {
    client->join();
    for (const ProbedRequest& request : client->requests()) {
      const auto after = std::chrono::duration_cast<milliseconds>(request.sent_at - shutdown.asked_at);
      EXPECT_NE(request.answer, Kind::kClosed) << "lost: sent " << after.count() << " ms after SIGTERM";
      EXPECT_LT(request.answered_at - request.sent_at, deadline + kAnswerGrace);
      // The module refuses what a sanitized engine can't serve within 0.1 s (`queries.refused.decision`).
      const bool has_time = !kSanitized || deadline >= milliseconds(500);
      const bool served_for_sure = has_time && fault == EngineFault::kNone && after < kRequestsKeepComing;
      if (served_for_sure) {
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

// Requests that were read are answered; those behind the end of the reading are all the last ones.
TEST_F(Stopping, APipeliningClientGetsAnAnswerToAllThatWasRead) {
  constexpr int kOpenAtOnce = 8;
  engine([](const HttpCall& call) { return answer_with(EngineFault::kNone, call); });
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
      return;  // the controller has ended the connection
    }
  });
  std::this_thread::sleep_for(kLoadBefore);
  std::thread in_time([&] {
    std::this_thread::sleep_for(kRequestsKeepComing);
    sent_in_time = sent.load();
  });
  const Shutdown shutdown = shut_down(*controller, deadline);
  for (std::thread* thread : {&in_time, &writer, &reader}) thread->join();
  expect_own_end(shutdown);
  EXPECT_GE(answers, sent_in_time);
  const std::string log = controller->log();
  EXPECT_NE(log.find("counter queries.taken " + std::to_string(answers) + "\n"), std::string::npos)
      << answers << " answers\n"
      << log;
}

// Guards against a request whose first half came before SIGTERM and whose rest comes in time.
TEST_F(Stopping, HalfARequestIsWaitedForAsLongAsRequestsKeepComing) {
  engine(serve_all);
  start_with_deadline(milliseconds(500));
  FrontClient client(controller->address());
  const std::string whole = client.bytes_of_invoke(1, {{"allow", "400"}});
  client.raw(whole.substr(0, whole.size() / 2));
  std::thread rest([&] {
    std::this_thread::sleep_for(milliseconds(500));
    client.raw(whole.substr(whole.size() / 2));
    EXPECT_EQ(client.receive().kind, Kind::kServed);
  });
  const Shutdown shutdown = shut_down(*controller, deadline);
  rest.join();
  expect_own_end(shutdown);
}

TEST_F(Stopping, HalfARequestThatNeverGetsWholeHoldsNothingUp) {
  engine(serve_all);
  start_with_deadline(milliseconds(100));
  FrontClient client(controller->address());
  const std::string whole = client.bytes_of_invoke(1, {{"allow", "100"}});
  client.raw(whole.substr(0, whole.size() / 2));
  expect_own_end(shut_down(*controller, deadline));
}

// The largest results, of which the client reads nothing: its reading is paused, and answers stay unsent.
TEST_F(Stopping, AClientThatReadsNothingHoldsNothingUp) {
  constexpr int kRequests = 32;
  const std::string rows = std::string(5997, 'x') + "\t\t\n";
  engine([&](const HttpCall& call) {
    if (call.method == "POST") return served(rows, 8);
    return reply(200, {{"X-Page", call.path.substr(call.path.size() - 1)}}, rows);
  });
  start_with_deadline(milliseconds(500));
  FrontClient client(controller->address());
  for (int i = 1; i <= kRequests; ++i) client.invoke(i, {{"allow", "500"}});
  std::this_thread::sleep_for(kLoadBefore);
  expect_own_end(shut_down(*controller, deadline));
}

TEST_F(Stopping, SignalsInSeriesChangeNothing) {
  engine([](const HttpCall& call) { return answer_with(EngineFault::kNone, call); });
  start_with_deadline(milliseconds(500));
  ProbeClient client(controller->address(), "lookup", deadline);
  std::this_thread::sleep_for(kLoadBefore);
  const auto asked_at = ProbeClock::now();
  controller->signal(SIGHUP);
  controller->signal(SIGTERM);
  std::thread series([this] {
    for (int i = 0; i < 10; ++i) {
      std::this_thread::sleep_for(milliseconds(50));
      controller->signal(i % 2 == 0 ? SIGHUP : SIGTERM);
    }
  });
  const Shutdown shutdown = wait_for_shutdown(*controller, asked_at, deadline);
  series.join();
  client.join();
  expect_own_end(shutdown);
  for (const ProbedRequest& request : client.requests()) EXPECT_EQ(request.answer, Kind::kServed);
}

// Before the program holds its signals, SIGTERM ends it as any other; from then on it is a planned stop.
TEST_F(Stopping, ASignalDuringTheStartEndsItInTime) {
  engine(serve_all);
  deadline = milliseconds(100);
  options.settings = settings_with_deadline(deadline);
  options.change_log = change_log.address();
  const std::string path =
      (std::filesystem::temp_directory_path() / ("orchidgw-shutdown-" + std::to_string(::getpid()) + ".json"))
          .string();
  for (int delay = 0; delay < 40; delay += 2) {
    std::ofstream(path) << config_of(options);
    ControllerProcess starting({{"BALANCER_CONFIG", path}});
    std::this_thread::sleep_for(milliseconds(delay));
    const Shutdown shutdown = shut_down(starting, deadline);
    const bool before_it_held_signals = shutdown.exit_code == 128 + SIGTERM;
    EXPECT_TRUE(shutdown.exit_code == 0 || before_it_held_signals)
        << shutdown.exit_code << " at " << delay << " ms\n"
        << starting.log();
  }
  std::filesystem::remove(path);
}

// A process that stood still as the signal came does not know when: it counts from before.
TEST_F(Stopping, ASignalWhileTheProcessStandsStillCountsFromThen) {
  constexpr milliseconds kStill{400};
  engine([](const HttpCall& call) { return answer_with(EngineFault::kNone, call); });
  start_with_deadline(milliseconds(500));
  ProbeClient client(controller->address(), "lookup", deadline);
  std::this_thread::sleep_for(kLoadBefore);
  controller->signal(SIGSTOP);
  const auto asked_at = ProbeClock::now();
  controller->signal(SIGTERM);
  std::this_thread::sleep_for(kStill);
  controller->signal(SIGCONT);
  const Shutdown shutdown = wait_for_shutdown(*controller, asked_at, deadline);
  client.join();
  expect_own_end(shutdown);
  for (const ProbedRequest& request : client.requests()) EXPECT_NE(request.answer, Kind::kClosed);
}

// Idle clients have all places: who has one and asks is served, and who waits for one holds nothing up.
TEST_F(Stopping, AFullHouseHoldsNothingUp) {
  engine([](const HttpCall& call) { return answer_with(EngineFault::kNone, call); });
  options.sockets = 60;
  start_with_deadline(milliseconds(500));
  ProbeClient asks(controller->address(), "lookup", deadline);
  std::vector<std::unique_ptr<FrontClient>> idle;
  for (int i = 0; i < 40; ++i) idle.push_back(std::make_unique<FrontClient>(controller->address()));
  std::this_thread::sleep_for(kLoadBefore);
  const Shutdown shutdown = shut_down(*controller, deadline);
  asks.join();
  expect_own_end(shutdown);
  for (const ProbedRequest& request : asks.requests()) EXPECT_EQ(request.answer, Kind::kServed);
}

// An attempt that may have run is out at the end: its request fails, as a refusal would call another try
// harmless.
TEST_F(Stopping, WhatMayHaveRunFailsAndIsNotRefused) {
  engine([](const HttpCall& call) { return answer_with(EngineFault::kHangs, call); });
  start_with_deadline(milliseconds(10'000));
  FrontClient client(controller->address());
  client.invoke(1, {{"service", "once"}, {"allow", "10000"}});
  ASSERT_TRUE(engines[0]->wait_for("POST", "/v2/q"));
  std::thread reader([&] { EXPECT_EQ(client.receive().kind, Kind::kFailed); });
  const Shutdown shutdown = shut_down(*controller, deadline);
  reader.join();
  expect_own_end(shutdown);
}

}  // namespace
}  // namespace orchidgw::integration
