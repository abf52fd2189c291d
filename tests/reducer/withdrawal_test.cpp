// Starts that were chosen and whose first byte is not out yet, when their engine or their client leaves.
#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

using Kind = CallAnswer::Kind;

class Withdrawal : public ReducerTest {
 protected:
  void tell(int i, EngineState state) {
    EnginesChanged change;
    change.engines.push_back(engine(i, state));
    apply(std::move(change));
  }

  static int number_of(const EngineId& id) { return id.back() - '0'; }
};

// Guards against a first byte long after the drain was told: the connection was slow to come up.
TEST_F(Withdrawal, AStartIsTakenBackWhenItsEngineDrains) {
  for (const EngineState state : {EngineState::kDraining, EngineState::kGone}) {
    calls.clear();
    withdrawn.clear();
    answers.clear();
    begin();
    request(1, "once");
    const StartCall first = last();
    tell(number_of(first.engine), state);
    ASSERT_EQ(withdrawn, std::vector<CallId>{first.call});
    broke(first.call, ConnectionEnd::kWithdrawn);  // it never ran: even this class may go elsewhere
    ASSERT_EQ(last().kind, CallKind::kStart);
    EXPECT_NE(last().engine, first.engine);
    answer(last().call, Kind::kServed, "x\n", 1);
    EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
  }
}

TEST_F(Withdrawal, AStartIsLeftAloneWhenAnotherEngineDrains) {
  begin();
  request(1);
  tell(1 - number_of(last().engine), EngineState::kDraining);
  EXPECT_TRUE(withdrawn.empty());
}

TEST_F(Withdrawal, WhatRunsIsLeftAloneWhenItsEngineDrains) {
  begin();
  request(1);
  answer(last().call, Kind::kNotYet);
  ASSERT_EQ(last().kind, CallKind::kNews);
  tell(number_of(last().engine), EngineState::kDraining);
  EXPECT_TRUE(withdrawn.empty());
  answer(last().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
}

// Guards against an engine that is taken for out of order because a send to it was taken back.
TEST_F(Withdrawal, SaysNothingOfTheEngine) {
  begin(1);
  request(1);
  const StartCall first = last();
  apply(ClientClosed{kClient});
  broke(first.call, ConnectionEnd::kWithdrawn);
  request(2);
  EXPECT_EQ(last().kind, CallKind::kStart);
  EXPECT_NE(last().call, first.call);
  EXPECT_EQ(outcomes(OutcomeKind::kConnectFailed), 0U);
}

// Guards against engines that are all taken for out of order while this process is short of descriptors.
TEST_F(Withdrawal, NorDoesALackOfDescriptors) {
  begin(2);
  request(1, "once");
  broke(last().call, ConnectionEnd::kNoDescriptor);
  ASSERT_EQ(last().kind, CallKind::kStart);
  broke(last().call, ConnectionEnd::kNoDescriptor);
  const auto sent = calls.size();
  request(2, "once");  // no suspect engine is tried by a class that may not run twice, while others are there
  EXPECT_GT(calls.size(), sent);
  EXPECT_EQ(outcomes(OutcomeKind::kConnectFailed), 0U);
}

// Guards against an attempt for nobody where running ones can't be cancelled.
TEST_F(Withdrawal, AStartIsTakenBackWhenItsClientLeavesThoughNothingCanBeCancelled) {
  for (const bool closes : {true, false}) {
    settings.limits.cancel = false;
    withdrawn.clear();
    begin();
    request(1);
    const StartCall first = last();
    const auto sent = calls.size();
    if (closes) {
      apply(ClientClosed{kClient});
    } else {
      apply(RequestAborted{kClient, 1});
    }
    ASSERT_EQ(withdrawn, std::vector<CallId>{first.call});
    broke(first.call, ConnectionEnd::kWithdrawn);
    EXPECT_EQ(calls.size(), sent);
    EXPECT_EQ(reducer->queries(), 0U);
  }
}

// Guards against a second copy of the last answer that is taken for the answer to giving up: the attempt
// passed for over, and another one began, while its engine still ran it.
TEST_F(Withdrawal, GivingUpGoesOverAConnectionOfItsOwn) {
  begin();
  request(1);
  const StartCall first = last();
  apply(RequestAborted{kClient, 1});
  ASSERT_EQ(dropped, std::vector<CallId>{first.call});
  closed.clear();
  answer(first.call, Kind::kNotYet);  // it was on its way when the call was dropped: its connection stays
  ASSERT_EQ(last().kind, CallKind::kGiveUp);
  EXPECT_EQ(closed, std::vector<AttemptId>{first.attempt});
}

}  // namespace
}  // namespace orchidgw::core
