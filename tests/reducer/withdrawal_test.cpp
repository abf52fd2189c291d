// Attempts whose first byte has not been sent when their engine drains or is gone, or their client
// disconnects.
#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

using Kind = CallAnswer::Kind;

class Withdrawal : public ReducerTest {
 protected:
  void set_engine_state(int number, EngineState state) {
    EnginesChanged change;
    change.engines.push_back(engine(number, state));
    apply(std::move(change));
  }

  static int engine_number(const EngineId& id) { return id.back() - '0'; }
};

// Guards against a query that reaches an engine long after its drain was announced, because its connection
// was slow to come up.
TEST_F(Withdrawal, AStartIsTakenBackWhenItsEngineDrains) {
  for (const EngineState state : {EngineState::kDraining, EngineState::kGone}) {
    calls.clear();
    withdrawn.clear();
    answers.clear();
    start_reducer();
    request(1, "once");
    const SendCall first = last_call();
    set_engine_state(engine_number(first.engine), state);
    ASSERT_EQ(withdrawn, std::vector<CallId>{first.call});
    // It never ran: even a query of this class may go to another engine.
    end_call(first.call, ConnectionEnd::kWithdrawn);
    ASSERT_EQ(last_call().kind, CallKind::kStart);
    EXPECT_NE(last_call().engine, first.engine);
    answer(last_call().call, Kind::kServed, "x\n", 1);
    EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
  }
}

TEST_F(Withdrawal, AStartIsLeftAloneWhenAnotherEngineDrains) {
  start_reducer();
  request(1);
  set_engine_state(1 - engine_number(last_call().engine), EngineState::kDraining);
  EXPECT_TRUE(withdrawn.empty());
}

TEST_F(Withdrawal, WhatRunsIsLeftAloneWhenItsEngineDrains) {
  start_reducer();
  request(1);
  answer(last_call().call, Kind::kPending);
  ASSERT_EQ(last_call().kind, CallKind::kPoll);
  set_engine_state(engine_number(last_call().engine), EngineState::kDraining);
  EXPECT_TRUE(withdrawn.empty());
  answer(last_call().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
}

// Guards against an engine that is taken for faulty because a call to it was withdrawn.
TEST_F(Withdrawal, AWithdrawnStartIsNotCountedAgainstItsEngine) {
  start_reducer(1);
  request(1);
  const SendCall first = last_call();
  apply(ClientClosed{kClient});
  end_call(first.call, ConnectionEnd::kWithdrawn);
  request(2);
  EXPECT_EQ(last_call().kind, CallKind::kStart);
  EXPECT_NE(last_call().call, first.call);
  EXPECT_EQ(outcome_count(OutcomeKind::kConnectFailed), 0U);
}

// Guards against engines that are all taken for faulty while this process is short of descriptors.
TEST_F(Withdrawal, ALackOfDescriptorsIsNotCountedAgainstEngines) {
  start_reducer(2);
  request(1, "once");
  end_call(last_call().call, ConnectionEnd::kNoDescriptor);
  ASSERT_EQ(last_call().kind, CallKind::kStart);
  end_call(last_call().call, ConnectionEnd::kNoDescriptor);
  const auto calls_before = calls.size();
  request(2, "once");  // a class that must not run twice tries no suspect engine while others are there
  EXPECT_GT(calls.size(), calls_before);
  EXPECT_EQ(outcome_count(OutcomeKind::kConnectFailed), 0U);
}

// Guards against starting a query whose client has disconnected or aborted it, where running queries cannot
// be cancelled.
TEST_F(Withdrawal, AStartIsTakenBackWhenItsClientLeavesThoughNothingCanBeCancelled) {
  for (const bool closes : {true, false}) {
    settings.limits.cancel = false;
    withdrawn.clear();
    start_reducer();
    request(1);
    const SendCall first = last_call();
    const auto calls_before = calls.size();
    if (closes) {
      apply(ClientClosed{kClient});
    } else {
      apply(RequestAborted{kClient, 1});
    }
    ASSERT_EQ(withdrawn, std::vector<CallId>{first.call});
    end_call(first.call, ConnectionEnd::kWithdrawn);
    EXPECT_EQ(calls.size(), calls_before);
    EXPECT_EQ(reducer->queries(), 0U);
  }
}

// Guards against a duplicate of the last answer that is read as the answer to the call that cancels the
// query: the attempt was taken for ended and another one began, while the engine still ran the first.
TEST_F(Withdrawal, GivingUpGoesOverAConnectionOfItsOwn) {
  start_reducer();
  request(1);
  const SendCall first = last_call();
  apply(RequestAborted{kClient, 1});
  ASSERT_EQ(dropped, std::vector<CallId>{first.call});
  closed.clear();
  answer(first.call, Kind::kPending);  // was on its way when the call was dropped: the connection stays open
  ASSERT_EQ(last_call().kind, CallKind::kCancel);
  EXPECT_EQ(closed, std::vector<AttemptId>{first.attempt});
}

}  // namespace
}  // namespace orchidgw::core
