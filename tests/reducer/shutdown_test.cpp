// Requests during a planned shutdown: each has its final answer by the time that the schedule sets.
#include "decision/shutdown_schedule.h"
#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

using Kind = CallAnswer::Kind;

ShutdownSchedule schedule_for(TimeUs longest_deadline) {
  ClassSettings short_class;
  short_class.deadline = longest_deadline / 2;
  ClassSettings long_class;
  long_class.deadline = longest_deadline;
  return shutdown_schedule(std::vector{short_class, long_class}, 10 * kSecond);
}

TEST(ShutdownScheduleTest, FollowsFromTheLongestDeadlineWhichCountsAsThreeSecondsAtMost) {
  EXPECT_EQ(schedule_for(3 * kSecond).answer_by, 13'600 * kMs);
  EXPECT_EQ(schedule_for(10 * kSecond).answer_by, 13'600 * kMs);
  EXPECT_EQ(schedule_for(100 * kMs).answer_by, 10'700 * kMs);
}

TEST(ShutdownScheduleTest, ItsTimesFollowEachOtherAndEndBeforeTheKill) {
  for (const TimeUs longest : {TimeUs{0}, 20 * kMs, 100 * kMs, 500 * kMs, 3 * kSecond}) {
    const ShutdownSchedule schedule = schedule_for(longest);
    EXPECT_GT(schedule.close_from, schedule.asked_at);
    EXPECT_LE(schedule.close_from, schedule.answer_by);
    EXPECT_LT(schedule.answer_by, schedule.end_by);
    EXPECT_LT(schedule.end_by, 10 * kSecond + longest + 700 * kMs);
  }
}

class ShutdownReducer : public ReducerTest {
 protected:
  void shut_down_in(TimeUs delay) { apply(ShutdownBegun{now + delay}); }
};

TEST_F(ShutdownReducer, WhatIsOpenIsAnsweredByItsEnd) {
  start_reducer(1);
  request(1);
  request(2, "once");
  for (const SendCall& call : std::vector(calls)) answer(call.call, Kind::kPending);
  shut_down_in(kSecond);
  run_until(now + kSecond - 1);
  EXPECT_TRUE(answers.empty());
  run_until(now + 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"refused 500000"});
  EXPECT_EQ(answers[2], std::vector<std::string>{"failed the gateway shuts down"});
}

TEST_F(ShutdownReducer, AnAnswerBeforeItsEndIsTheOnlyOne) {
  start_reducer(1);
  request(1);
  shut_down_in(kSecond);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  run_until(now + 20 * kSecond);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
}

TEST_F(ShutdownReducer, ANewRequestHasTheTimeThatIsLeft) {
  start_reducer(1);
  shut_down_in(kSecond);
  request(1, "lookup", 5 * kSecond);
  ASSERT_EQ(last_call().kind, CallKind::kStart);
  EXPECT_LE(last_call().stop_at, now + kSecond);
  run_until(now + kSecond);
  EXPECT_EQ(answers[1], std::vector<std::string>{"refused 500000"});
}

TEST_F(ShutdownReducer, ARequestAfterItsEndOrOnADrainingConnectionIsRefusedAndNotStarted) {
  start_reducer(1);
  shut_down_in(kSecond);
  apply(RequestArrived{kClient, 1, valid_request(1), "", Reason::kShutDown});
  run_until(now + kSecond);
  request(2, "once");
  EXPECT_TRUE(calls.empty());
  EXPECT_EQ(answers[1], std::vector<std::string>{"refused 500000"});
  EXPECT_EQ(answers[2], std::vector<std::string>{"refused 500000"});
  EXPECT_EQ(counters.refusals[static_cast<std::size_t>(Reason::kShutDown)], 2U);
}

}  // namespace
}  // namespace orchidgw::core
