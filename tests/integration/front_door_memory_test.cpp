// What is read from clients, and which answers they get, while memory is short.
#include <set>
#include <vector>

#include "front_client.h"
#include "front_door_fixture.h"

namespace orchidgw::integration {
namespace {

class FrontDoorMemory : public FrontDoorTest {
 protected:
  static constexpr std::int32_t kManyCalls = 2000;  // more than are held for a paused client
  static constexpr std::size_t kLargeAnswerBytes = 16UL * 1024 * 1024;
  static constexpr int kSomeTurns = 50;

  static std::string calls_from(std::int32_t first) {
    std::string all;
    for (std::int32_t i = first; i < kManyCalls; ++i) all += invoke(i);
    return all;
  }
  // The frame of a valid request, its length field included.
  static std::string invoke_of_size(std::int32_t sequence, std::size_t bytes) {
    using namespace apache::thrift::protocol;
    const auto with_statement = [&](std::size_t statement_bytes) {
      return frame([&](TBinaryProtocol& out) {
        out.writeMessageBegin("invoke", T_CALL, sequence);
        out.writeFieldBegin("fields", T_MAP, 1);
        out.writeMapBegin(T_STRING, T_STRING, 3);
        for (const char* text : {"service", "lookup", "ref", "00000000000000aa", "allow", "1000"})
          out.writeString(std::string(text));
        out.writeMapEnd();
        out.writeFieldBegin("body", T_STRING, 2);
        out.writeBinary(std::string(statement_bytes, 'x'));
        out.writeFieldStop();
      });
    };
    return with_statement(bytes - with_statement(0).size());
  }
  void answer_with_large_result(core::RequestTag tag) {
    core::AnswerServed served;
    served.client = std::get<core::RequestArrived>(events.front()).client;
    served.tag = tag;
    net::BufferChain rows(pool);
    rows.append(std::string(kLargeAnswerBytes, 'x'));
    served.pages.push_back(std::make_unique<net::ChainPayload>(std::move(rows)));
    client_listener->answer(served);
  }
  void answer_refused(core::RequestTag tag) {
    core::AnswerRefused refused;
    refused.client = std::get<core::RequestArrived>(events.front()).client;
    refused.tag = tag;
    client_listener->answer(refused);
  }
  bool run_some_turns() {
    return run_until([turns = 0]() mutable { return ++turns > kSomeTurns; });
  }
  std::vector<const core::RequestArrived*> arrivals() const {
    std::vector<const core::RequestArrived*> all;
    for (const core::Event& event : events)
      if (const auto* request = std::get_if<core::RequestArrived>(&event)) all.push_back(request);
    return all;
  }
};

// Guards against an abort that is not read until the pause ends, because more calls than are held lie before
// it: an attempt for its request may start meanwhile (issue 46, A 3). What is read from a paused client is
// bounded on purpose (AClientThatLeavesBehindUnreadBytesIsSeen).
TEST_F(FrontDoorMemory, AnAbortBehindMoreThanAPausedClientMayHoldIsHeardInTime) {
  constexpr int kTurnsOfTenthSecond = 100;  // of a millisecond each
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  under_memory_pressure = true;
  std::string many_calls;
  for (std::int32_t i = 3; i < 2000; ++i) many_calls += invoke(i);
  write(socket, many_calls + abort(2));
  ASSERT_TRUE(run_until([turns = 0]() mutable { return ++turns > kTurnsOfTenthSecond; }));
  EXPECT_EQ(count<core::RequestAborted>(), 1U);
}

// Guards against closing a client with an unanswered request, because the answers that it does not read
// exceed the memory limit (issue 46, A 3).
TEST_F(FrontDoorMemory, AClientIsNotClosedOverARequestBecauseMemoryIsShort) {
  constexpr std::size_t kMoreThanSocketBuffersHold = 16UL * 1024 * 1024;
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  write(socket, invoke(3));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 2; }));
  core::AnswerServed answer;
  answer.client = std::get<core::RequestArrived>(events.back()).client;
  answer.tag = 2;
  net::BufferChain rows(pool);
  rows.append(std::string(kMoreThanSocketBuffersHold, 'x'));
  answer.pages.push_back(std::make_unique<net::ChainPayload>(std::move(rows)));
  client_listener->answer(answer);
  ASSERT_TRUE(pool.over_limit());
  client_listener->between_turns(net::monotonic_now());
  EXPECT_EQ(counters.violations[static_cast<std::size_t>(Denial::kAnswerPending)], 0U);
}

// Calls beyond the bound are refused, held calls are served later, and each call arrives once.
TEST_F(FrontDoorMemory, CallsBeyondWhatAPausedClientMayHoldAreRefusedAndEachArrivesOnce) {
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  under_memory_pressure = true;
  write(socket, calls_from(3));
  ASSERT_TRUE(run_some_turns());
  const std::size_t refused = arrivals().size() - 1;
  EXPECT_GT(refused, 0U);
  under_memory_pressure = false;
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == kManyCalls - 2; }));
  std::set<core::RequestTag> tags;
  std::size_t with_reason = 0;
  for (const core::RequestArrived* request : arrivals()) {
    tags.insert(request->tag);
    if (request->refusal_reason == Reason::kBacklog) ++with_reason;
  }
  EXPECT_EQ(tags.size(), arrivals().size());
  EXPECT_EQ(with_reason, refused);
}

// No call was accepted, so nothing more is read while the client is paused. The abort of a held call is still
// processed before that call.
TEST_F(FrontDoorMemory, AnAbortOfAHeldCallBehindUnreadBytesIsHeardBeforeTheCallIsTaken) {
  open(4);
  auto socket = client();
  under_memory_pressure = true;
  write(socket, calls_from(2) + abort(5));
  ASSERT_TRUE(run_some_turns());
  ASSERT_EQ(count<core::RequestArrived>(), 0U);
  under_memory_pressure = false;
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == kManyCalls - 3; }));
  for (const core::RequestArrived* request : arrivals()) EXPECT_NE(request->tag, 5);
  EXPECT_EQ(count<core::RequestAborted>(), 0U);
}

// Guards against counting a client's time from when its call is passed on: what was not read while memory was
// short arrived earlier (review/2).
TEST_F(FrontDoorMemory, ACallThatWasHeldOrNotReadCountsFromWhenItCanHaveArrived) {
  open(4);
  auto socket = client();
  under_memory_pressure = true;
  context.earliest_arrival = 10 * kSecond;
  write(socket, calls_from(2));
  ASSERT_TRUE(run_some_turns());
  ASSERT_EQ(count<core::RequestArrived>(), 0U);
  auto waiting = connect();  // is not accepted while memory is short
  write(waiting, invoke(1));
  ASSERT_TRUE(run_some_turns());
  under_memory_pressure = false;
  context.earliest_arrival = 20 * kSecond;
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == kManyCalls - 1; }));
  std::set<core::ClientId> clients;
  for (const core::RequestArrived* request : arrivals()) {
    EXPECT_EQ(request->arrived_at, 10 * kSecond);
    clients.insert(request->client);
  }
  EXPECT_EQ(clients.size(), 2U);
}

// Guards against a call that is held past its client's time, because memory stays short.
TEST_F(FrontDoorMemory, AHeldCallIsRefusedBeforeItsClientsTimeIsOver) {
  constexpr TimeUs kAllow = kSecond;
  open(4);
  FrontClient client(address.toString());
  ASSERT_TRUE(run_until([this] { return counters.accepted_connections == 1; }));
  under_memory_pressure = true;
  const TimeUs sent_at = net::monotonic_now();
  context.earliest_arrival = sent_at;
  client.invoke(2, {{"allow", std::to_string(kAllow / 1000)}});
  ASSERT_TRUE(run_some_turns());
  EXPECT_EQ(count<core::RequestArrived>(), 0U);
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  EXPECT_EQ(arrivals().back()->refusal_reason, Reason::kOutOfTime);
  EXPECT_LT(net::monotonic_now() - sent_at, kAllow);
}

// Guards against taking a request for late because its client, or the listener, was paused some time before.
TEST_F(FrontDoorMemory, ACallAfterAPauseDoesNotCountFromThePause) {
  open(4);
  auto socket = client();
  under_memory_pressure = true;
  context.earliest_arrival = 10 * kSecond;
  write(socket, invoke(2));
  auto waiting = connect();
  ASSERT_TRUE(run_some_turns());
  under_memory_pressure = false;
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  ASSERT_TRUE(run_until([this] { return counters.accepted_connections == 2; }));
  ASSERT_TRUE(run_some_turns());
  context.earliest_arrival = 20 * kSecond;
  write(socket, invoke(3));
  write(waiting, invoke(4));
  auto newcomer = connect();
  write(newcomer, invoke(5));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 4; }));
  for (const core::RequestArrived* request : arrivals())
    EXPECT_EQ(request->arrived_at, (request->tag == 2 ? 10 : 20) * kSecond) << request->tag;
}

// The client is closed once all its requests are answered, which frees the memory.
TEST_F(FrontDoorMemory, AClientThatReadsNothingIsClosedOnceItsRequestsAreAnswered) {
  open(4);
  auto socket = client();
  write(socket, invoke(2) + invoke(3));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 2; }));
  answer_with_large_result(2);
  ASSERT_TRUE(pool.over_limit());
  client_listener->between_turns(net::monotonic_now());
  EXPECT_EQ(ends(core::ConnectionEnd::kSilent), 0U);
  answer_refused(3);
  client_listener->between_turns(net::monotonic_now());
  EXPECT_EQ(ends(core::ConnectionEnd::kSilent), 1U);
  EXPECT_FALSE(pool.over_limit());
}

// Guards against losing what a client with an open request writes, because others have filled the common
// bound on unfinished frames (review/6). The others' requests are failed if they arrive whole after all.
TEST_F(FrontDoorMemory, FramesOfOthersThatFillTheBoundDoNotCloseAClient) {
  constexpr std::size_t kFrameBound = 1'000'000;  // of the fixture
  constexpr std::size_t kFrameBytes = 60'000;
  constexpr std::size_t kSmallFrameBytes = 6'000;
  constexpr int kClientsOfEachSize = 40;  // a multiple of what the fixture's bound holds
  open(4 * kClientsOfEachSize);
  auto usual = client();
  write(usual, invoke(2));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  std::vector<Poco::Net::StreamSocket> others;
  for (const std::size_t bytes : {kFrameBytes, kSmallFrameBytes}) {
    const std::string whole = invoke_of_size(2, bytes);
    for (int i = 0; i < kClientsOfEachSize; ++i) {
      others.push_back(connect());
      write(others.back(), whole.substr(0, bytes - 1000));
    }
  }
  ASSERT_TRUE(run_until([&] { return counters.accepted_connections == others.size() + 1; }));
  ASSERT_TRUE(run_until([turns = 0]() mutable { return ++turns > 4 * kSomeTurns; }));  // the others halt
  const std::string large = invoke_of_size(3, 12'000);
  write(usual, large.substr(0, 7'000));
  ASSERT_TRUE(run_some_turns());
  write(usual, large.substr(7'000));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 2; }));
  EXPECT_TRUE(arrivals().back()->request.has_value());
  EXPECT_EQ(ends(core::ConnectionEnd::kLimitExceeded), 0U);
  EXPECT_GT(counters.frames_discarded, 0U);
  const std::string rest = invoke_of_size(2, kFrameBytes).substr(kFrameBytes - 1000);
  for (int i = 0; i < kClientsOfEachSize; ++i) write(others[static_cast<std::size_t>(i)], rest);
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 2 + kClientsOfEachSize; }));
  int discarded = 0;
  for (const core::RequestArrived* request : arrivals()) {
    if (!request->discarded) continue;
    ++discarded;
    EXPECT_EQ(request->tag, 2);
    EXPECT_FALSE(request->request.has_value());
  }
  EXPECT_GE(discarded, kClientsOfEachSize - static_cast<int>(kFrameBound / kFrameBytes));
}

// Guards against taking a frame for one that halted because this process did not read it, for a stall: its
// client would pay for what others left unfinished.
TEST_F(FrontDoorMemory, AFrameWhoseBytesWaitToBeReadHasNotHalted) {
  constexpr std::size_t kUsualFrameBytes = 56'000;
  constexpr std::size_t kOtherFrameBytes = 30'000;
  constexpr std::size_t kLateFrameBytes = 31'000;
  constexpr std::size_t kUsualClients = 5;
  constexpr std::size_t kOtherClients = 15;
  constexpr std::size_t kLateClients = 20;
  open(2 * (kUsualClients + kOtherClients + kLateClients));
  const auto begin_frames = [this](std::size_t clients, std::size_t bytes, std::size_t written) {
    std::vector<Poco::Net::StreamSocket> sockets;
    for (std::size_t i = 0; i < clients; ++i) {
      sockets.push_back(connect());
      write(sockets.back(), invoke_of_size(2, bytes).substr(0, written));
    }
    return sockets;
  };
  auto late = begin_frames(kLateClients, kLateFrameBytes, 100);
  auto usual = begin_frames(kUsualClients, kUsualFrameBytes, kUsualFrameBytes - 1000);
  auto others = begin_frames(kOtherClients, kOtherFrameBytes, kOtherFrameBytes - 1000);
  ASSERT_TRUE(run_until([turns = 0]() mutable { return ++turns > 4 * kSomeTurns; }));
  ASSERT_EQ(counters.frames_discarded, 0U);
  // The loop stands still while these are written.
  for (auto& socket : late)
    write(socket, invoke_of_size(2, kLateFrameBytes).substr(100, kLateFrameBytes - 1000));
  for (auto& socket : usual)
    write(socket, invoke_of_size(2, kUsualFrameBytes).substr(kUsualFrameBytes - 1000));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == kUsualClients; }));
  EXPECT_GT(counters.frames_discarded, 0U);
  for (const core::RequestArrived* request : arrivals()) EXPECT_TRUE(request->request.has_value());
}

// Guards against clients that write slowly and fill the bound, at the cost of one that writes a larger frame
// at once: no frame has halted, and the largest was discarded (issue 62, a).
TEST_F(FrontDoorMemory, AFrameThatHasJustBegunIsKeptBesideSlowOnes) {
  constexpr std::size_t kSlowFrameBytes = 30'000;
  constexpr std::size_t kSlowClients = 40;  // more than the fixture's bound holds
  constexpr std::size_t kLargeFrameBytes = 60'000;
  constexpr std::size_t kPieces = 30;
  constexpr std::size_t kPieceBytes = kSlowFrameBytes / kPieces - 10;
  open(2 * kSlowClients);
  const std::string slow = invoke_of_size(2, kSlowFrameBytes);
  const std::string large = invoke_of_size(3, kLargeFrameBytes);
  auto usual = client();
  std::vector<Poco::Net::StreamSocket> others;
  for (std::size_t i = 0; i < kSlowClients; ++i) others.push_back(connect());
  for (std::size_t piece = 0; piece < kPieces; ++piece) {
    for (auto& socket : others) write(socket, slow.substr(piece * kPieceBytes, kPieceBytes));
    if (piece + 2 == kPieces) write(usual, large.substr(0, kLargeFrameBytes - 1000));
    ASSERT_TRUE(run_until([turns = 0]() mutable { return ++turns > kSomeTurns / 4; }));
  }
  write(usual, large.substr(kLargeFrameBytes - 1000));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  EXPECT_GT(counters.frames_discarded, 0U);
  EXPECT_TRUE(arrivals().front()->request.has_value());
}

// Guards against memory that fills with the calls of one turn, and against others that wait behind them: as
// much as had arrived was read at once (issue 62, b).
TEST_F(FrontDoorMemory, FewCallsOfAClientAreReadInATurn) {
  constexpr std::int32_t kCallsOfATurn = 64;  // twice what a client may have open
  open(4);
  auto socket = client();
  std::string all;
  for (std::int32_t i = 2; i < kManyCalls; ++i) all += i % 2 == 0 ? invoke(i) : abort(1'000'000 + i);
  write(socket, all);
  std::size_t most_in_a_turn = 0;
  ASSERT_TRUE(run_until([&, before = std::size_t{0}]() mutable {
    most_in_a_turn = std::max(most_in_a_turn, events.size() - before);
    before = events.size();
    return events.size() == kManyCalls - 2;
  }));
  EXPECT_LE(most_in_a_turn, kCallsOfATurn);
}

// Guards against a client that is closed for a slow frame although the rest of it waits to be read: it would
// never be, nor what the client writes behind it (issue 62, a).
TEST_F(FrontDoorMemory, AFrameWhoseRestWaitsToBeReadIsNotOverdue) {
  constexpr std::size_t kFrameBytes = 60'000;
  constexpr auto kStall = std::chrono::milliseconds(2300);  // longer than a frame may take
  open(4);
  auto socket = client();
  const std::string frame = invoke_of_size(2, kFrameBytes);
  write(socket, frame.substr(0, kFrameBytes / 2));
  ASSERT_TRUE(run_some_turns());
  write(socket, frame.substr(kFrameBytes / 2) + invoke_of_size(3, kFrameBytes));
  std::this_thread::sleep_for(kStall);  // the loop stands still
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 2; }));
  EXPECT_EQ(ends(core::ConnectionEnd::kSilent), 0U);
}

// Guards against turns that grow with the number of clients that write at full speed, so that timers and the
// others' requests wait (issue 62, b).
TEST_F(FrontDoorMemory, ManyClientsShareWhatIsReadInATurn) {
  constexpr std::size_t kClients = 200;
  constexpr std::size_t kCallsOfEach = 64;
  constexpr std::size_t kCallBytes = 600;  // more than is read at once at the end of a frame
  constexpr std::size_t kCallsOfATurn = 2048;
  open(kClients + 1);
  std::vector<Poco::Net::StreamSocket> sockets;
  for (std::size_t i = 0; i < kClients; ++i) sockets.push_back(client());
  std::string all;
  for (std::size_t i = 0; i < kCallsOfEach; ++i)
    all += invoke_of_size(static_cast<std::int32_t>(2 + i), kCallBytes);
  for (auto& socket : sockets) write(socket, all);
  std::size_t most_in_a_turn = 0;
  ASSERT_TRUE(run_until([&, before = std::size_t{0}]() mutable {
    const std::size_t arrived = count<core::RequestArrived>();
    // Of the first turn it is not known yet how many clients write.
    if (before > 0) most_in_a_turn = std::max(most_in_a_turn, arrived - before);
    before = arrived;
    return arrived == kClients * kCallsOfEach;
  }));
  EXPECT_LE(most_in_a_turn, kCallsOfATurn);
}

// Guards against turns of a fifth of a second, in which others wait, while some clients send pings at full
// speed: each pong was a write of its own (issue 62, b and c).
TEST_F(FrontDoorMemory, WhatIsAnsweredWhileAClientIsReadGoesOutInOneWrite) {
  constexpr std::int32_t kPings = 1000;
  constexpr std::uint64_t kPingsOfATurn = 32;
  open(4);
  auto socket = client();
  const std::uint64_t writes_before = counters.client_writes;
  const std::uint64_t bytes_before = counters.client_bytes_out;
  const std::uint64_t pong_bytes = thrift::pong(2, true).size();
  std::string all;
  for (std::int32_t i = 0; i < kPings; ++i) all += ping(2 + i);
  write(socket, all);
  ASSERT_TRUE(run_until([&] { return counters.client_bytes_out == bytes_before + kPings * pong_bytes; }));
  EXPECT_LE(counters.client_writes - writes_before, kPings / kPingsOfATurn + 1);
}

// Guards against attempts for a client that has closed its connection behind much that is not read yet (issue
// 62, c): its requests were passed on, and its end was read many turns later.
TEST_F(FrontDoorMemory, WhatAClientWroteBeforeItLeftIsNotPassedOn) {
  open(4);
  auto socket = client();
  std::string all = invoke(2);
  for (std::int32_t i = 3; i < kManyCalls; ++i) all += abort(i);
  write(socket, all);
  socket.close();
  ASSERT_TRUE(run_until([this] { return count<core::ClientClosed>() == 1; }));
  EXPECT_EQ(count<core::RequestArrived>(), 0U);
}

// Held calls would keep a client that reads nothing from ever being closed: they are refused.
TEST_F(FrontDoorMemory, HeldCallsOfAClientThatReadsNothingAreRefusedWhenMemoryIsShort) {
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  under_memory_pressure = true;
  write(socket, invoke(3));
  ASSERT_TRUE(run_some_turns());
  answer_with_large_result(2);
  client_listener->between_turns(net::monotonic_now());
  ASSERT_EQ(arrivals().size(), 2U);
  EXPECT_EQ(arrivals().back()->refusal_reason, Reason::kBacklog);
  answer_refused(3);
  client_listener->between_turns(net::monotonic_now());
  EXPECT_EQ(ends(core::ConnectionEnd::kSilent), 1U);
  EXPECT_EQ(counters.violations[static_cast<std::size_t>(Denial::kAnswerPending)], 0U);
}

}  // namespace
}  // namespace orchidgw::integration
