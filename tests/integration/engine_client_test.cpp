// Calls to engines while few connections may be open: cancels and polls go before new starts.
#include "net/engine_client.h"

#include <gtest/gtest.h>

#include <iostream>

#include "http_stand_in.h"
#include "net/clock.h"

namespace orchidgw::integration {
namespace {

class FewDescriptors : public ::testing::Test {
 protected:
  static HttpReply script(const HttpCall& call) {
    HttpReply reply;
    reply.status = 204;
    if (call.method != "DELETE") reply.behavior = HttpReply::Behavior::kSilent;
    if (call.body == "half") reply = half();
    return reply;
  }

  static HttpReply half() {
    HttpReply reply;
    reply.behavior = HttpReply::Behavior::kRaw;
    reply.body = "HTTP/1.1 200 OK\r\nX-Pages: 1\r\nContent-Length: 6\r\n\r\nx\t";
    return reply;
  }

  void start(core::CallId id, core::CallKind kind, const std::string& statement = "") {
    core::SendCall call;
    call.call = id;
    call.attempt = id;
    call.kind = kind;
    call.engine = "s-0";
    const std::string at = engine.address();
    const auto colon = at.rfind(':');
    call.address = {at.substr(0, colon), static_cast<std::uint16_t>(std::stoi(at.substr(colon + 1)))};
    call.reference = "00000000000000aa";
    call.statement = statement;
    call.stop_at = net::monotonic_now() + 60'000'000;
    call.answer_by = call.stop_at;
    client.send(std::move(call));
  }

  // Runs the event loop until `done` returns true, which is called once a turn.
  void run_until(std::function<bool()> done) {
    condition = std::move(done);
    reactor.skip_next_wait();
    reactor.run();
  }

  TimeUs turn() {
    client.check(net::monotonic_now());
    context.pending_destruction.clear();
    if (condition()) reactor.stop();
    return 1000;
  }

  HttpStandIn engine{script};
  std::function<bool()> condition;
  metrics::Counters counters;
  net::BufferPool pool{100, counters};
  net::Reactor reactor{[this] { return turn(); }};
  log::Logger log{std::cerr, log::Level::kError, "test"};
  std::vector<core::Event> events;
  net::Context context{reactor,
                       pool,
                       counters,
                       log,
                       [this](core::Event e) { events.push_back(std::move(e)); },
                       [] { return false; },
                       [](core::CallId) { return Denial::kNone; },
                       {}};
  // Eight connections, one of them not for starts.
  net::EngineClient client{context, {8, 20'000'000}};
};

TEST_F(FewDescriptors, GivingUpGoesBeforeNewSends) {
  for (core::CallId id = 1; id <= 9; ++id) start(id, core::CallKind::kStart);
  EXPECT_EQ(client.connections(), 7U);  // two starts wait
  start(10, core::CallKind::kPoll);     // uses the eighth
  EXPECT_EQ(client.connections(), 8U);
  start(11, core::CallKind::kPoll);
  start(12, core::CallKind::kCancel);
  EXPECT_EQ(counters.waiting_calls.now, 4U);
  run_until([this] { return engine.count("POST") == 7 && engine.count("GET") == 1; });
  client.drop(1);
  run_until([this] { return engine.count("DELETE") == 1; });
  EXPECT_EQ(engine.count("POST"), 7);
  EXPECT_EQ(engine.count("GET"), 1);
  // The cancel has made room for another connection: the waiting poll is sent before the starts.
  run_until([this] { return engine.count("GET") == 2; });
  EXPECT_EQ(engine.count("POST"), 7);
  client.close_all();
  EXPECT_EQ(client.connections(), 0U);
}

TEST_F(FewDescriptors, ACallThatFindsNoneInTimeEndsAsOneThatNeverRan) {
  for (core::CallId id = 1; id <= 8; ++id) start(id, core::CallKind::kStart);
  client.check(net::monotonic_now() + 21'000'000);
  std::map<core::CallId, core::ConnectionEnd> ends;
  for (const auto& event : events) {
    const auto& ended = std::get<core::CallEnded>(event);
    ends[ended.call] = ended.end;
  }
  ASSERT_EQ(ends.size(), 8U);
  EXPECT_EQ(ends.at(1), core::ConnectionEnd::kConnectTimeout);  // no turn ran that could complete its connect
  EXPECT_EQ(ends.at(8), core::ConnectionEnd::kNoDescriptor);
  client.close_all();
}

TEST_F(FewDescriptors, ARefusedConnectionEndsItsCall) {
  engine.stop();
  start(1, core::CallKind::kStart);
  run_until([this] { return !events.empty(); });
  EXPECT_EQ(std::get<core::CallEnded>(events.at(0)).end, core::ConnectionEnd::kRefused);
  EXPECT_EQ(client.connections(), 0U);
}

// Guards against waiting for the rest of an answer that stopped in the middle while its connection stays
// open: the call has a minute left.
TEST_F(FewDescriptors, AnAnswerThatStopsShortIsNotWaitedFor) {
  start(1, core::CallKind::kStart, "half");
  run_until([this] { return !events.empty(); });
  EXPECT_EQ(std::get<core::CallEnded>(events.at(0)).end, core::ConnectionEnd::kSilent);
}

// Guards against a process that was stopped and then takes every engine for silent, while their answers are
// unread.
TEST_F(FewDescriptors, TimeThatThisProcessLostIsNotTheEngines) {
  start(1, core::CallKind::kPoll);
  run_until([this] { return engine.count("GET") == 1; });
  context.stalled_time += 120'000'000;
  client.check(net::monotonic_now() + 100'000'000);
  EXPECT_TRUE(events.empty());
  client.check(net::monotonic_now() + 200'000'000);
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(std::get<core::CallEnded>(events[0]).end, core::ConnectionEnd::kSilent);
}

TEST_F(FewDescriptors, ADroppedCallThatWaitsWasNeverWritten) {
  for (core::CallId id = 1; id <= 8; ++id) start(id, core::CallKind::kStart);
  client.drop(8);
  ASSERT_EQ(events.size(), 1U);
  const auto& ended = std::get<core::CallEnded>(events[0]);
  EXPECT_EQ(ended.call, 8U);
  EXPECT_EQ(ended.end, core::ConnectionEnd::kDroppedUnsent);
  client.close_all();
}

TEST_F(FewDescriptors, AStartIsWithdrawnOnlyBeforeItsFirstByte) {
  for (core::CallId id = 1; id <= 8; ++id)
    start(id, core::CallKind::kStart);  // the last one waits for a connection
  client.withdraw(1);                   // its connect is not complete in this turn
  client.withdraw(8);
  ASSERT_EQ(events.size(), 2U);
  for (const core::Event& event : events)
    EXPECT_EQ(std::get<core::CallEnded>(event).end, core::ConnectionEnd::kWithdrawn);
  EXPECT_EQ(std::get<core::CallEnded>(events[0]).call, 1U);
  EXPECT_EQ(std::get<core::CallEnded>(events[1]).call, 8U);
  run_until([this] { return engine.count("POST") == 6; });
  client.withdraw(2);  // was sent: has no effect
  EXPECT_EQ(events.size(), 2U);
  EXPECT_EQ(client.connections(), 6U);
  EXPECT_EQ(engine.count("POST"), 6);
  client.close_all();
}

}  // namespace
}  // namespace orchidgw::integration
