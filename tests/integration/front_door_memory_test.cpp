// What is read of clients, and what is owed to them, while memory is short.
#include "front_door_fixture.h"

namespace orchidgw::integration {
namespace {

class FrontDoorMemory : public FrontDoorTest {};

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
  std::string much;
  for (std::int32_t i = 3; i < 2000; ++i) much += invoke(i);
  write(socket, much + abort(2));
  ASSERT_TRUE(run_until([turns = 0]() mutable { return ++turns > kTurnsOfTenthSecond; }));
  EXPECT_EQ(count<core::RequestAborted>(), 1U);
}

// Memory is overdrawn by the answers of a client that reads nothing: it is closed with a request that has no
// answer (issue 46, A 3).
TEST_F(FrontDoorMemory, AClientIsNotClosedOverARequestBecauseMemoryIsShort) {
  constexpr std::size_t kMoreThanSocketsTake = 16UL * 1024 * 1024;
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  write(socket, invoke(3));
  ASSERT_TRUE(run_until([this] { return count<core::RequestArrived>() == 2; }));
  core::AnswerServed answer;
  answer.client = std::get<core::RequestArrived>(events.back()).client;
  answer.tag = 2;
  net::BufferChain rows(pool);
  rows.append(std::string(kMoreThanSocketsTake, 'x'));
  answer.pages.push_back(std::make_unique<net::ChainPayload>(std::move(rows)));
  door->answer(answer);
  ASSERT_TRUE(pool.overdrawn());
  door->between_turns(net::monotonic_now());
  EXPECT_EQ(counters.violations[static_cast<std::size_t>(Denial::kAnswerOwed)], 0U);
}

}  // namespace
}  // namespace orchidgw::integration
