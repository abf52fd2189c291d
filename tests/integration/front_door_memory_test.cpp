// What is read of clients, and what is owed to them, while memory is short.
#include <set>
#include <vector>

#include "front_door_fixture.h"

namespace orchidgw::integration {
namespace {

class FrontDoorMemory : public FrontDoorTest {
 protected:
  static constexpr std::int32_t kManyCalls = 2000;  // more than a paused client may have held
  static constexpr std::size_t kLargeAnswerBytes = 16UL * 1024 * 1024;
  static constexpr int kSomeTurns = 50;

  static std::string calls_from(std::int32_t first) {
    std::string all;
    for (std::int32_t i = first; i < kManyCalls; ++i) all += invoke(i);
    return all;
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

// An abort lies behind more bytes than a paused client's calls may hold: it is not read until there is room,
// and an attempt for its request may begin meanwhile (issue 46, A 3). What is read while a client is paused
// is bounded on purpose (AClientThatLeavesBehindUnreadBytesIsSeen).
TEST_F(FrontDoorMemory, AnAbortBehindMoreThanAPausedClientMayHoldIsHeardInTime) {
  constexpr int kTurnsOfTenthSecond = 100;  // of a millisecond each
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  crowded = true;
  std::string many_calls;
  for (std::int32_t i = 3; i < 2000; ++i) many_calls += invoke(i);
  write(socket, many_calls + abort(2));
  ASSERT_TRUE(run_until([turns = 0]() mutable { return ++turns > kTurnsOfTenthSecond; }));
  EXPECT_EQ(count<core::RequestAborted>(), 1U);
}

// Memory is overdrawn by the answers of a client that reads nothing: it is closed with a request that has no
// answer (issue 46, A 3).
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
  EXPECT_EQ(counters.violations[static_cast<std::size_t>(Denial::kAnswerOwed)], 0U);
}

// What may not be held is refused; what is held is served later; each call arrives once.
TEST_F(FrontDoorMemory, CallsBeyondWhatAPausedClientMayHoldAreRefusedAndEachArrivesOnce) {
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  crowded = true;
  write(socket, calls_from(3));
  ASSERT_TRUE(run_some_turns());
  const std::size_t refused = arrivals().size() - 1;
  EXPECT_GT(refused, 0U);
  crowded = false;
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == kManyCalls - 2; }));
  std::set<core::RequestTag> tags;
  std::size_t with_reason = 0;
  for (const core::RequestArrived* request : arrivals()) {
    tags.insert(request->tag);
    if (request->refuse_as == Reason::kBacklog) ++with_reason;
  }
  EXPECT_EQ(tags.size(), arrivals().size());
  EXPECT_EQ(with_reason, refused);
}

// Nothing was taken, so nothing more is read while the client is paused: the abort of a call that is held is
// heard before that call is acted on.
TEST_F(FrontDoorMemory, AnAbortOfAHeldCallBehindUnreadBytesIsHeardBeforeTheCallIsTaken) {
  open(4);
  auto socket = client();
  crowded = true;
  write(socket, calls_from(2) + abort(5));
  ASSERT_TRUE(run_some_turns());
  ASSERT_EQ(count<core::RequestArrived>(), 0U);
  crowded = false;
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == kManyCalls - 3; }));
  for (const core::RequestArrived* request : arrivals()) EXPECT_NE(request->tag, 5);
  EXPECT_EQ(count<core::RequestAborted>(), 0U);
}

// The client is closed all the same once it owes nobody anything, so memory comes back.
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

// Calls that are held would keep a client that reads nothing from being closed for ever: they are refused.
TEST_F(FrontDoorMemory, HeldCallsOfAClientThatReadsNothingAreRefusedWhenMemoryIsShort) {
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 1; }));
  crowded = true;
  write(socket, invoke(3));
  ASSERT_TRUE(run_some_turns());
  answer_with_large_result(2);
  client_listener->between_turns(net::monotonic_now());
  ASSERT_EQ(arrivals().size(), 2U);
  EXPECT_EQ(arrivals().back()->refuse_as, Reason::kBacklog);
  answer_refused(3);
  client_listener->between_turns(net::monotonic_now());
  EXPECT_EQ(ends(core::ConnectionEnd::kSilent), 1U);
  EXPECT_EQ(counters.violations[static_cast<std::size_t>(Denial::kAnswerOwed)], 0U);
}

}  // namespace
}  // namespace orchidgw::integration
