// Closing a client's connection: a request that arrives at the same time is read, or the client can tell that
// it was not, and no answer that was sent is lost. The test runs the event loop.
#include "front_door_fixture.h"

namespace orchidgw::integration {
namespace {

using namespace std::chrono_literals;

// Guards against a request that is lost because it arrives as its idle connection is about to be closed.
TEST_F(FrontDoorTest, ARequestThatComesAsItsConnectionExpiresIsRead) {
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  client_listener->between_turns(net::monotonic_now() + 6 * kSecond);
  EXPECT_EQ(count<core::RequestArrived>(), 1U);
  EXPECT_EQ(ends(core::ConnectionEnd::kIdleExpired), 0U);
}

TEST_F(FrontDoorTest, ARequestThatComesAsANewcomersTimeIsUpIsRead) {
  open(4);
  auto socket = connect();
  run_until([this] { return counters.accepted_connections == 1; });
  write(socket, invoke(1));
  client_listener->between_turns(net::monotonic_now() + 3 * kSecond);
  EXPECT_EQ(count<core::RequestArrived>(), 1U);
  EXPECT_EQ(ends(core::ConnectionEnd::kSilent), 0U);
}

TEST_F(FrontDoorTest, ARequestThatComesAsAStopClosesItsRestingConnectionIsRead) {
  open(4);
  auto socket = client();
  const TimeUs now = net::monotonic_now();
  client_listener->begin_shutdown({now, now, now + 3 * kSecond, now + 4 * kSecond});
  ASSERT_TRUE(client_listener->stop_listening(false));
  write(socket, invoke(2));
  client_listener->between_turns(net::monotonic_now() + kSecond);
  EXPECT_EQ(count<core::RequestArrived>(), 1U);
  EXPECT_EQ(ends(core::ConnectionEnd::kShutDown), 0U);
}

TEST_F(FrontDoorTest, ARequestThatComesAsItsPlaceIsToBeGivenAwayIsRead) {
  open(1);
  auto socket = client();
  std::this_thread::sleep_for(150ms);  // only connections that were quiet for a while are evicted
  write(socket, invoke(2));
  auto newcomer = connect();
  client_listener->on_readable();
  EXPECT_EQ(count<core::RequestArrived>(), 1U);
  EXPECT_EQ(ends(core::ConnectionEnd::kEvicted), 0U);
}

// Guards against a close over unread bytes, after which the kernel sends a reset that discards answers; and
// against a request that is passed on although its answer can no longer be sent.
TEST_F(FrontDoorTest, WhatComesAfterTheCloseIsThrownAwayAndResetsNothing) {
  open(4);
  auto socket = client();
  client_listener->between_turns(net::monotonic_now() + 6 * kSecond);
  EXPECT_EQ(ends(core::ConnectionEnd::kIdleExpired), 1U);
  EXPECT_EQ(client_listener->lingering(), 1U);
  EXPECT_EQ(count<core::ClientClosed>(), 1U);
  write(socket, invoke(2));
  write(socket, invoke(3));
  run_until([this, turns = 0]() mutable { return ++turns > 20; });
  EXPECT_EQ(read(socket), 0);
  write(socket, invoke(4));  // a reset would show here
  EXPECT_EQ(read(socket), 0);
  EXPECT_EQ(count<core::RequestArrived>(), 0U);
  EXPECT_FALSE(client_listener->empty());
  socket.close();
  run_until([this] { return client_listener->empty(); });
}

// A client that is closed for repeated invalid requests still receives the answers sent before.
TEST_F(FrontDoorTest, AClientThatIsClosedOverUnreadBytesReadsItsAnswersAndTheEnd) {
  open(4);
  auto socket = connect();
  std::string nonsense = frame([](apache::thrift::protocol::TBinaryProtocol& out) {
    out.writeMessageBegin("nonsense", apache::thrift::protocol::T_CALL, 1);
    out.writeFieldStop();
  });
  std::string many_calls;
  for (int i = 0; i < 4000; ++i) many_calls += nonsense;  // far more than is read at once
  write(socket, many_calls);
  run_until([this] { return ends(core::ConnectionEnd::kLimitExceeded) == 1; });
  run_until([this, turns = 0]() mutable { return ++turns > 20; });
  int last = 1;
  int bytes = 0;
  while ((last = read(socket)) > 0) bytes += last;
  EXPECT_EQ(last, 0) << "reset";
  EXPECT_EQ(static_cast<std::uint64_t>(bytes), counters.client_bytes_out);
}

TEST_F(FrontDoorTest, LingeringIsBoundedInTimeAndNumber) {
  open(1);
  std::vector<Poco::Net::StreamSocket> sockets;
  for (int i = 0; i < 30; ++i) {
    sockets.push_back(client());
    client_listener->between_turns(net::monotonic_now() + 6 * kSecond + i * kSecond / 5);
    EXPECT_LE(client_listener->lingering(), 18U);
  }
  EXPECT_EQ(ends(core::ConnectionEnd::kIdleExpired), 30U);
  EXPECT_GT(client_listener->lingering(), 0U);
  client_listener->between_turns(net::monotonic_now() + 60 * kSecond);
  EXPECT_TRUE(client_listener->empty());
}

// Guards against attempts for a client that disconnected while nothing was read from it: its close comes
// after unread bytes.
TEST_F(FrontDoorTest, AClientThatLeavesBehindUnreadBytesIsSeen) {
  open(4);
  auto socket = client();
  under_memory_pressure = true;
  std::string many_calls;
  for (std::int32_t i = 2; i < 2000; ++i) many_calls += invoke(i);
  write(socket, many_calls);
  run_until([this] { return counters.reads_paused == 1; });
  run_until([this, turns = 0]() mutable { return ++turns > 20; });
  EXPECT_EQ(count<core::ClientClosed>(), 0U);
  EXPECT_LT(counters.client_bytes_in, many_calls.size() / 2);  // reading from a paused client is bounded
  socket.close();
  run_until([this] { return count<core::ClientClosed>() == 1; });
  EXPECT_EQ(count<core::RequestArrived>(), 0U);
}

// Guards against attempts for a request that was aborted while its client was paused.
TEST_F(FrontDoorTest, AbortsOfAPausedClientGoThroughAndItsCallsWaitInOrder) {
  open(4);
  auto socket = client();
  under_memory_pressure = true;
  for (std::int32_t i = 2; i <= 5; ++i) write(socket, invoke(i));
  write(socket, abort(3));  // its call is held: the abort is not passed on
  write(socket, abort(1));  // its call was acted on before
  ASSERT_TRUE(run_until([this] { return count<core::RequestAborted>() == 1; }));
  EXPECT_EQ(std::get<core::RequestAborted>(events.back()).tag, 1);
  EXPECT_EQ(count<core::RequestArrived>(), 0U);
  EXPECT_FALSE(client_listener->empty());
  under_memory_pressure = false;
  run_until([this] { return count<core::RequestArrived>() == 3; });
  std::vector<core::RequestTag> tags;
  for (const core::Event& event : events)
    if (const auto* request = std::get_if<core::RequestArrived>(&event)) tags.push_back(request->tag);
  EXPECT_EQ(tags, (std::vector<core::RequestTag>{2, 4, 5}));
  write(socket, invoke(6));
  run_until([this] { return count<core::RequestArrived>() == 4; });
}

// Guards against a shutdown that drops connections waiting to be accepted while memory is short.
TEST_F(FrontDoorTest, AStopListensUntilWhoWaitsHasAPlace) {
  open(4);
  under_memory_pressure = true;
  auto socket = connect();
  EXPECT_FALSE(client_listener->stop_listening(false));
  EXPECT_EQ(counters.accepted_connections, 0U);
  under_memory_pressure = false;
  EXPECT_TRUE(client_listener->stop_listening(false));
  EXPECT_EQ(counters.accepted_connections, 1U);
  write(socket, invoke(1));
  run_until([this] { return count<core::RequestArrived>() == 1; });
}

}  // namespace
}  // namespace orchidgw::integration
