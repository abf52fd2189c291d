// Races between two events, forced to happen every time: the `orchidgw` process is stopped or blocked at a
// point that the test observes. The rows of docs/crossings.md name these tests.
#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "front_client.h"
#include "running_fixture.h"

namespace orchidgw::integration {
namespace {

using Kind = FrontAnswer::Kind;

HttpReply refuse_as_full() { return reply(503, {{"Not-Begun", "1"}}); }

// The query runs until it is cancelled.
HttpReply run_until_cancelled(const HttpCall& call) {
  return call.method == "DELETE" ? reply(204) : reply(202);
}

class Crossing : public RunningFixture {
 protected:
  void expect_nothing_open() {
    EXPECT_TRUE(controller->wait_for_counter("queries.open", 0));
    EXPECT_TRUE(controller->wait_for_counter("calls.open", 0));
  }
};

// The process was stopped while a query that its only engine had refused waited in the module. Meanwhile the
// retry became due (after a second) and the change log's answer arrived with the engine's drain: the drain
// has to be read before the timer sends.
TEST_F(Crossing, ADrainToldInAStallIsKnownBeforeATimerSends) {
  for (int trial = 0; trial < 5; ++trial) {
    std::atomic<bool> told{false};
    HttpStandIn only([](const HttpCall&) { return refuse_as_full(); });
    HttpStandIn log([&](const HttpCall& call) {
      while (!told) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      HttpReply silent;
      silent.behavior = HttpReply::Behavior::kSilent;
      if (call.path.find("since=1&") == std::string::npos) return silent;
      return reply(200, {},
                   R"({"seq":2,"results":[{"seq":2,"fleet":{"members":[)" +
                       member_json("s-0", only.address(), "terminating") + "]}}]}");
    });
    options.members = {member_json("s-0", only.address())};
    options.change_log = log.address();
    start();
    FrontClient client(controller->address());
    const bool asked = log.wait_for("GET", "/changes");
    client.invoke(1);
    const bool held = controller->wait_for_counter("attempts.full", 1);
    controller->signal(SIGSTOP);
    told = true;
    const bool answered = log.wait_for_replies(static_cast<int>(log.calls().size()));
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    controller->signal(SIGCONT);
    const bool heard = controller->wait_for_counter("list.changes", 2);
    client.close();
    expect_nothing_open();
    const auto counters = controller->counters();
    controller.reset();
    ASSERT_TRUE(asked && held && answered && heard);
    // The process was so slow that the poll had timed out before the stop: try again.
    if (counters.count("change_log_ends.silent") > 0) continue;
    EXPECT_EQ(only.count("POST"), 1);
    EXPECT_GE(counters.at("loop.late_turns"), 1);
    return;
  }
  FAIL() << "each time the watch was taken for silent, with its answer unread";
}

TEST_F(Crossing, AClientThatLeftInAStallIsSentNothingFor) {
  HttpStandIn& only = add_engine([](const HttpCall&) { return refuse_as_full(); });
  start();
  for (const bool closes : {true, false}) {
    const int before = only.count("POST");
    FrontClient client(controller->address());
    client.invoke(1);
    ASSERT_TRUE(only.wait_for_replies(before + 1));
    ASSERT_TRUE(controller->wait_for_counter("attempts.full", before + 1));
    controller->signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    if (closes) {
      client.close();
    } else {
      client.abort(1);
    }
    controller->signal(SIGCONT);
    expect_nothing_open();
    EXPECT_EQ(only.count("POST"), before + 1);
  }
}

// Guards against an answer after its client's time: a request that came while the process stood still counted
// its time from when it was read (review/2). One client was connected before, the other connects meanwhile.
TEST_F(Crossing, ARequestThatCameInAStallIsAnsweredInItsClientsTime) {
  constexpr auto kAllow = std::chrono::milliseconds(3000), kStall = std::chrono::milliseconds(1500);
  constexpr auto kExcused = std::chrono::milliseconds(500);
  add_engine([](const HttpCall& call) { return call.method == "DELETE" ? reply(204) : reply(202); });
  start();
  FrontClient before(controller->address());
  before.ping(1);
  ASSERT_EQ(before.receive().kind, Kind::kPong);
  controller->signal(SIGSTOP);
  FrontClient meanwhile(controller->address());
  const auto sent_at = std::chrono::steady_clock::now();
  const std::map<std::string, std::string> fields{{"allow", std::to_string(kAllow.count())}};
  before.invoke(2, fields);
  meanwhile.invoke(2, fields);
  std::this_thread::sleep_for(kStall);
  controller->signal(SIGCONT);
  for (FrontClient* client : {&before, &meanwhile}) {
    EXPECT_NE(client->receive().kind, Kind::kClosed);
    EXPECT_LT(std::chrono::steady_clock::now() - sent_at, kAllow + kExcused);
  }
}

// The engine's machine accepts no connection: the backlog is full.
TEST_F(Crossing, ADrainToldWhileAConnectionComesUpTakesTheStartBack) {
  Poco::Net::ServerSocket slow;
  slow.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true);
  slow.listen(1);
  std::vector<Poco::Net::StreamSocket> filling(8);
  for (auto& socket : filling) socket.connectNB(slow.address());
  const std::string at = slow.address().toString();
  options.members.push_back(member_json("s-slow", at));
  options.connect_timeout_us = 30'000'000;
  start();
  FrontClient client(controller->address());
  client.invoke(1, {{"service", "once"}});
  ASSERT_TRUE(controller->wait_for_counter("connections.connected", 1));
  HttpStandIn next(serve_all);
  change_log.publish(member_json("s-slow", at, "terminating") + "," + member_json("s-next", next.address()));
  EXPECT_EQ(client.receive().kind, Kind::kServed);
  EXPECT_EQ(next.count("POST"), 1);
  const auto counters = controller->counters();
  EXPECT_EQ(counters.count("engine_ends.withdrawn"), 1U);  // not at the connect time-out
  EXPECT_EQ(counters.count("engine_ends.not_up_in_time"), 0U);
}

TEST_F(Crossing, AnEngineThatJoinsAndDrainsInOneAnswerIsSentNothing) {
  HttpStandIn brief(serve_all);
  HttpStandIn lasting(serve_all);
  // Both changes come in one answer, while queries wait for any engine at all.
  std::atomic<bool> told{false};
  HttpStandIn log([&](const HttpCall& call) {
    if (call.path.find("since=1&") == std::string::npos) return reply(200, {}, R"({"seq":3,"results":[]})");
    while (!told) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return reply(200, {},
                 R"({"seq":3,"results":[{"seq":2,"fleet":{"members":[)" +
                     member_json("s-a", brief.address()) + R"(]}},{"seq":3,"fleet":{"members":[)" +
                     member_json("s-a", brief.address(), "terminating") + "," +
                     member_json("s-b", lasting.address()) + "]}}]}");
  });
  options.change_log = log.address();
  start();
  std::vector<std::unique_ptr<FrontClient>> clients;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(std::make_unique<FrontClient>(controller->address()));
    clients.back()->invoke(1, {}, "select * from sales_" + std::to_string(i) + ".orders");
  }
  ASSERT_TRUE(controller->wait_for_counter("queries.open", 8));
  told = true;
  for (auto& client : clients) EXPECT_EQ(client->receive().kind, Kind::kServed);
  EXPECT_EQ(brief.count("POST"), 0);
}

// Statements fill their part of the memory, so reading from clients is paused. A close or an abort is still
// noticed.
TEST_F(Crossing, AClientThatGoesWhileItIsPausedIsSeen) {
  HttpStandIn& only = add_engine(run_until_cancelled);
  options.memory_mb = 16;  // of which a sixteenth is for statements
  start();
  std::vector<std::unique_ptr<FrontClient>> going;
  for (int i = 0; i < 2; ++i) {
    going.push_back(std::make_unique<FrontClient>(controller->address()));
    going.back()->invoke(1, {{"service", "once"}});
    ASSERT_TRUE(only.wait_for([&](const HttpCall& call) {
      const auto id = call.headers.find("Call-Id");
      return id != call.headers.end() && id->second == going.back()->reference_of(1);
    }));
  }
  const std::string statement = "select 1 -- " + std::string(60'000, 'x');
  std::vector<std::unique_ptr<FrontClient>> filling;
  for (int i = 0; i < 3; ++i) filling.push_back(std::make_unique<FrontClient>(controller->address()));
  // Guards against a client that connects after the memory is full: it is not accepted, hence never paused.
  ASSERT_TRUE(controller->wait_for_counter("connections.accepted", 5));
  for (auto& client : filling)
    for (int tag = 1; tag <= 30; ++tag) client->invoke(tag, {{"service", "once"}}, statement);
  ASSERT_TRUE(controller->wait_for_counter("loop.reads_paused", 3));
  const long paused = controller->counters().at("loop.reads_paused");
  for (auto& client : going) client->ping(2);  // not answered while reading is paused
  ASSERT_TRUE(controller->wait_for_counter("loop.reads_paused", paused + 2));
  going[0]->close();
  EXPECT_TRUE(only.wait_for("DELETE", going[0]->reference_of(1)));
  going[1]->abort(1);
  EXPECT_TRUE(only.wait_for("DELETE", going[1]->reference_of(1)));
}

// A request that was read is answered before its connection is closed for invalid bytes behind it.
TEST_F(Crossing, ARequestBesideBytesThatCanNotBeReadIsAnsweredBeforeTheClose) {
  HttpStandIn& only = add_engine([](const HttpCall& call) {
    std::this_thread::sleep_for(std::chrono::milliseconds(call.method == "GET" ? 300 : 0));
    return call.method == "POST" ? reply(202) : serve_all(call);
  });
  start();
  FrontClient in_pieces(controller->address());
  in_pieces.invoke(1);
  ASSERT_TRUE(only.wait_for("POST", "/v2/q"));
  in_pieces.send_raw("\xff\xff\xff\xff");  // a frame length above the maximum
  EXPECT_EQ(in_pieces.receive().kind, Kind::kServed);
  EXPECT_EQ(in_pieces.receive().kind, Kind::kClosed);
  const auto counters = controller->counters();
  EXPECT_EQ(counters.count("violations.answer_owed"), 0U);
  EXPECT_EQ(counters.at("client_ends.unreadable"), 1);
}

TEST_F(Crossing, ARequestBesideAFrameThatNeverEndsIsAnsweredBeforeTheClose) {
  add_engine([begun = std::chrono::steady_clock::now()](const HttpCall& call) {
    std::this_thread::sleep_for(std::chrono::milliseconds(call.method == "GET" ? 240 : 0));
    const bool over = std::chrono::steady_clock::now() - begun > std::chrono::milliseconds(2800);
    return over ? serve_all(call) : run_until_cancelled(call);
  });
  start();
  FrontClient client(controller->address());
  client.invoke(1, {{"effort", "2000.0"}});                 // long enough not to become overdue
  client.send_raw(std::string("\x00\x00\x10\x00half", 8));  // incomplete for 2 s: closed
  EXPECT_EQ(client.receive().kind, Kind::kServed);
  EXPECT_EQ(client.receive().kind, Kind::kClosed);
}

TEST_F(Crossing, AClientThatIsToBeClosedAndLeavesIsSeen) {
  HttpStandIn& only = add_engine(run_until_cancelled);
  start();
  FrontClient client(controller->address());
  client.invoke(1);
  ASSERT_TRUE(only.wait_for("POST", "/v2/q"));
  client.send_raw("\xff\xff\xff\xff");
  client.close();
  EXPECT_TRUE(only.wait_for("DELETE", client.reference_of(1)));
  expect_nothing_open();
}

TEST_F(Crossing, AChangeLogThatLostItsEventsIsListedAnew) {
  add_engine(serve_all);
  add_engine(serve_all);
  HttpStandIn log([&, n = std::make_shared<std::atomic<int>>(0)](const HttpCall& call) {
    if (call.path.find("since=0&") != std::string::npos)
      return reply(200, {},
                   R"({"seq":3,"results":[{"seq":3,"fleet":{"complete":true,"members":[)" +
                       member_json("s-0", engines[0]->address(), "terminating") + "," +
                       member_json("s-1", engines[1]->address()) + "]}}]}");
    if (call.path.find("since=3&") != std::string::npos) {
      HttpReply silent;
      silent.behavior = HttpReply::Behavior::kSilent;
      return silent;
    }
    if (n->fetch_add(1) == 0) return reply(200, {}, R"({"seq":9,"results":[]})");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));  // a long poll
    return reply(200, {}, R"({"seq":2,"results":[]})");
  });
  options.change_log = log.address();
  start();
  ASSERT_TRUE(log.wait_for("GET", "since=0&"));
  ASSERT_TRUE(controller->wait_for_counter("list.changes", 2));
  FrontClient client(controller->address());
  for (int i = 1; i <= 6; ++i) {
    client.invoke(i, {}, "select * from sales_" + std::to_string(i) + ".orders");
    EXPECT_EQ(client.receive().kind, Kind::kServed);
  }
  EXPECT_EQ(engines[0]->count("POST"), 0);
}

// Guards against noticing a silent watch only after the drain grace of a drain that it missed is over.
TEST_F(Crossing, AShortDrainGraceShortensTheWatch) {
  options.drain_grace_us = 300'000;
  start();
  EXPECT_TRUE(change_log.server().wait_for("GET", "timeout=150"));
}

// The configuration is a pipe, so that the program blocks in the middle of reading it.
TEST_F(Crossing, AReloadAskedForDuringTheStartIsDoneAfterIt) {
  std::string directory = (std::filesystem::temp_directory_path() / "orchidgw-test-XXXXXX").string();
  ASSERT_NE(mkdtemp(directory.data()), nullptr);
  const std::string path = directory + "/config.json";
  ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
  options.change_log = "127.0.0.1:2";
  const std::string before = make_config_json(options);
  std::string after = before;
  after.replace(after.find("127.0.0.1:2"), 11, "127.0.0.1:3");
  controller =
      std::make_unique<ControllerProcess>(std::map<std::string, std::string>{{"BALANCER_CONFIG", path}});
  std::ofstream pipe(path);  // returns once the program has opened it
  controller->signal(SIGHUP);
  std::ofstream(path + ".new") << after;
  std::filesystem::rename(path + ".new", path);
  pipe << before;
  pipe.close();
  EXPECT_TRUE(controller->wait_for_line("configuration read anew: the change log is at 127.0.0.1:3"));
  controller->signal(SIGTERM);
  EXPECT_EQ(controller->wait_exit(), 0);
  std::filesystem::remove_all(directory);
}

// Started with SIGHUP ignored, as `run` in deploy/balancer.toml does: a reload signal before the program's
// first instruction is lost, one while it serves takes effect.
TEST_F(Crossing, AReloadIsHeardWhereTheShellIgnoresItsSignal) {
  const auto before = ::signal(SIGHUP, SIG_IGN);
  start();
  ::signal(SIGHUP, before);
  ChangeLogStandIn next;
  options.change_log = next.address();
  controller->configure(options);
  controller->signal(SIGHUP);
  EXPECT_TRUE(next.server().wait_for("GET", "/changes"));
}

TEST_F(Crossing, IdleClientsFillTheirPlacesWhileDiscoveryIsDownAndItsReturnIsHeard) {
  add_engine(serve_all);
  add_engine(serve_all);
  options.change_log = free_address();
  options.sockets = 48;
  start();
  FrontClient early(controller->address());
  early.ping(1);
  EXPECT_TRUE(early.receive().good);  // ready by the configuration's engine list
  std::vector<std::unique_ptr<FrontClient>> idle;
  for (int i = 0; i < 60; ++i) idle.push_back(std::make_unique<FrontClient>(controller->address()));
  ASSERT_TRUE(controller->wait_for_counter("connections.accepted", 17));
  HttpStandIn log(
      [&](const HttpCall& call) {
        if (call.path.find("since=1&") == std::string::npos) {
          HttpReply silent;
          silent.behavior = HttpReply::Behavior::kSilent;
          return silent;
        }
        return reply(200, {},
                     R"({"seq":2,"results":[{"seq":2,"fleet":{"members":[)" +
                         member_json("s-0", engines[0]->address(), "terminating") + "]}}]}");
      },
      options.change_log);
  ASSERT_TRUE(controller->wait_for_counter("list.changes", 2));
  EXPECT_LE(count_descriptors(controller->pid()), 48U);
  for (auto& client : idle) client->close();
  for (int i = 1; i <= 6; ++i) {
    FrontClient client(controller->address());
    client.invoke(1, {}, "select * from sales_" + std::to_string(i) + ".orders");
    EXPECT_EQ(client.receive().kind, Kind::kServed);
  }
  EXPECT_EQ(engines[0]->count("POST"), 0);
}

}  // namespace
}  // namespace orchidgw::integration
