// Guards against answers after the client's time, and engines that are told too long a time: a request that
// waited to be read, as in a stall of this process, counted its time from when it was processed (review/2).
#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

class ArrivalTime : public ReducerTest {
 protected:
  void request_that_waited(RequestTag tag, TimeUs waited, TimeUs budget) {
    RequestArrived event{kClient, tag, valid_request(tag, "once", budget), ""};
    event.arrived_at = now - waited;
    apply(std::move(event));
  }
};

TEST_F(ArrivalTime, TheFinalAnswerComesBeforeTheTimeThatIsLeftIsOver) {
  start_reducer();
  const TimeUs arrived_at = now - 1900 * kMs;
  request_that_waited(1, 1900 * kMs, 5 * kSecond);
  ASSERT_EQ(last_call().kind, CallKind::kStart);
  EXPECT_LE(last_call().stop_at, arrived_at + 5 * kSecond);  // what the engine is told
  answer(last_call().call, CallAnswer::Kind::kPending);
  run_until(arrived_at + 5 * kSecond + ProtocolBounds{}.final_answer_grace);
  EXPECT_EQ(answers[1].size(), 1U);
}

TEST_F(ArrivalTime, ARequestWhoseTimeMayBeOverIsRefusedAndNotStarted) {
  start_reducer();
  request_that_waited(1, 1900 * kMs, 1900 * kMs);
  EXPECT_TRUE(calls.empty());
  ASSERT_EQ(answers[1].size(), 1U);
  EXPECT_TRUE(answers[1][0].starts_with("refused")) << answers[1][0];
  EXPECT_EQ(counters.refusals[static_cast<std::size_t>(Reason::kOutOfTime)], 1U);
}

TEST_F(ArrivalTime, ARequestThatDidNotWaitHasAllItsTime) {
  start_reducer();
  request(1, "once", 5 * kSecond);
  EXPECT_EQ(last_call().stop_at, now + 5 * kSecond);
}

}  // namespace
}  // namespace orchidgw::core
