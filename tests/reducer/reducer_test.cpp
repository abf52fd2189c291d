// The course of queries and attempts: from the request to the one answer, through every way a call can go.
#include <algorithm>

#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

using Kind = CallAnswer::Kind;

TEST_F(ReducerTest, ServesAResultOfOnePage) {
  begin();
  request(1);
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(last().kind, CallKind::kStart);
  EXPECT_EQ(last().class_name, "lookup");
  EXPECT_EQ(last().statement, "select * from sales_3.orders");
  EXPECT_EQ(last().stop_at, now + 5 * kSecond);
  answer(last().call, Kind::kServed, "a\tb\tc\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served a\tb\tc\n"});
  EXPECT_EQ(reducer->queries(), 0U);
  EXPECT_EQ(reducer->open_requests(), 0U);
}

TEST_F(ReducerTest, AsksForNewsWithoutPauseUntilTheEnd) {
  begin();
  request(1);
  for (int i = 0; i < 3; ++i) {
    now += 250 * kMs;
    answer(last().call, Kind::kNotYet);
    EXPECT_EQ(last().kind, CallKind::kNews);
  }
  EXPECT_EQ(calls.size(), 4U);
  answer(last().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
}

TEST_F(ReducerTest, FetchesAllPagesInOrderBeforeItAnswers) {
  begin();
  request(1);
  answer(last().call, Kind::kServed, "0\n", 3);
  EXPECT_EQ(last().kind, CallKind::kPage);
  EXPECT_EQ(last().page, 1);
  answer(last().call, Kind::kPage, "1\n", 0, 1);
  EXPECT_EQ(last().page, 2);
  EXPECT_TRUE(answers.empty());
  answer(last().call, Kind::kPage, "2\n", 0, 2);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served 0\n1\n2\n"});
}

// Guards against pages that nobody will read filling the pool while their query waits.
TEST_F(ReducerTest, PagesOfAnAttemptThatIsGivenUpAreGivenBackAtOnce) {
  struct Counted final : Payload {
    explicit Counted(int& n) : alive(n) { ++alive; }
    ~Counted() override { --alive; }
    std::size_t size() const override { return 6; }
    int& alive;
  };
  int alive = 0;
  begin(1);
  request(1);
  CallAnswer a;
  a.kind = Kind::kServed;
  a.pages = 2;
  a.rows = std::make_unique<Counted>(alive);
  apply(CallAnswered{last().call, std::move(a)});
  EXPECT_EQ(alive, 1);
  run_until(now + 1 * kSecond);  // the page stays away: the module gives the attempt up and holds the query
  EXPECT_EQ(alive, 0);
  EXPECT_TRUE(answers.empty());
  EXPECT_EQ(reducer->queries(), 1U);
}

// Guards against a second copy of a page that is read as the next one.
TEST_F(ReducerTest, APageOfAnotherNumberIsAskedForAgainOnAnotherConnection) {
  begin();
  request(1, "once");
  answer(last().call, Kind::kServed, "0\n", 3);
  answer(last().call, Kind::kPage, "1\n", 0, 1);
  answer(last().call, Kind::kPage, "1\n", 0, 1);
  EXPECT_EQ(closed, std::vector<AttemptId>{last().attempt});
  EXPECT_EQ(last().kind, CallKind::kPage);
  EXPECT_EQ(last().page, 2);
  answer(last().call, Kind::kPage, "2\n", 0, 2);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served 0\n1\n2\n"});
}

TEST_F(ReducerTest, APageThatStaysAnotherOneIsAnError) {
  begin();
  request(1, "once");
  answer(last().call, Kind::kServed, "0\n", 3);
  for (int i = 0; i < 20 && answers.empty(); ++i) answer(last().call, Kind::kPage, "2\n", 0, 2);
  EXPECT_EQ(outcomes(OutcomeKind::kError), 1U);
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed "});
}

// Guards against spoilt answers that end a query which has run: its engine gives them again.
TEST_F(ReducerTest, ASpoiltAnswerIsAskedForAgain) {
  begin();
  request(1, "once");
  broke(last().call, ConnectionEnd::kUnreadable);
  EXPECT_EQ(last().kind, CallKind::kNews);
  broke(last().call, ConnectionEnd::kClosedMidAnswer);
  EXPECT_EQ(last().kind, CallKind::kNews);
  answer(last().call, Kind::kServed, "0\n", 2);
  broke(last().call, ConnectionEnd::kUnreadable);
  EXPECT_EQ(last().kind, CallKind::kPage);
  EXPECT_EQ(last().page, 1);
  broke(last().call, ConnectionEnd::kSilent);
  answer(last().call, Kind::kPage, "1\n", 0, 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served 0\n1\n"});
  EXPECT_EQ(outcomes(OutcomeKind::kError), 0U);
}

TEST_F(ReducerTest, AnswersThatStaySpoiltEndTheAttempt) {
  begin();
  request(1, "once");
  for (int i = 0; i < 20 && last().kind != CallKind::kGiveUp; ++i)
    broke(last().call, ConnectionEnd::kUnreadable);
  ASSERT_EQ(last().kind, CallKind::kGiveUp);
  broke(last().call, ConnectionEnd::kUnreadable);  // whatever it said, the call came whole
  EXPECT_EQ(outcomes(OutcomeKind::kError), 1U);
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed "});
  EXPECT_EQ(reducer->queries(), 0U);
}

// Guards against a late second copy of an answer: it must not meet another query.
TEST_F(ReducerTest, OnlyCallsOfOneAttemptShareAConnection) {
  begin(1);
  request(1);
  const AttemptId first = last().attempt;
  EXPECT_NE(first, 0U);
  answer(last().call, Kind::kNotYet);
  EXPECT_EQ(last().attempt, first);
  answer(last().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(closed, std::vector<AttemptId>{first});
  request(2);
  EXPECT_NE(last().attempt, first);
}

TEST_F(ReducerTest, APageThatTheEngineNoLongerKnowsIsAnError) {
  begin();
  request(1, "once");
  answer(last().call, Kind::kServed, "0\n", 2);
  answer(last().call, Kind::kError);
  EXPECT_EQ(outcomes(OutcomeKind::kError), 1U);
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed "});
}

TEST_F(ReducerTest, AResultOverTheBoundIsAnError) {
  begin();
  request(1, "once");
  const std::string page(6000, 'x');
  answer(last().call, Kind::kServed, page, 9);
  for (int i = 1; i < 9; ++i) answer(last().call, Kind::kPage, page, 0, i);
  EXPECT_EQ(outcomes(OutcomeKind::kError), 1U);
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed "});
}

TEST_F(ReducerTest, AnEmptyResultIsServed) {
  begin();
  request(1);
  answer(last().call, Kind::kServed, "", 1);
  EXPECT_EQ(outcomes(OutcomeKind::kOk), 1U);
  EXPECT_EQ(answers[1].size(), 1U);
}

TEST_F(ReducerTest, FullGoesElsewhere) {
  begin();
  request(1, "once");
  const EngineId first = last().engine;
  answer(last().call, Kind::kFull);
  EXPECT_EQ(outcomes(OutcomeKind::kFull), 1U);
  ASSERT_EQ(calls.size(), 2U);
  EXPECT_EQ(last().kind, CallKind::kStart);
  EXPECT_NE(last().engine, first);
}

TEST_F(ReducerTest, WhatWasOverWhenItCameNeverRan) {
  begin();
  request(1, "once");
  answer(last().call, Kind::kOver);
  EXPECT_EQ(outcomes(OutcomeKind::kFull), 1U);
  EXPECT_EQ(last().kind, CallKind::kStart);
  EXPECT_EQ(calls.size(), 2U);
}

TEST_F(ReducerTest, ARefusedConnectionProvesThatNothingRan) {
  begin();
  request(1, "once");
  broke(last().call, ConnectionEnd::kRefused);
  EXPECT_EQ(outcomes(OutcomeKind::kConnectFailed), 1U);
  EXPECT_EQ(calls.size(), 2U);
}

TEST_F(ReducerTest, AnErrorMayHaveRun) {
  begin();
  request(1, "once");
  answer(last().call, Kind::kError);
  EXPECT_EQ(outcomes(OutcomeKind::kError), 1U);
  EXPECT_EQ(calls.size(), 1U);
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed "});
}

TEST_F(ReducerTest, AStartWhoseConnectionBrokeIsAskedForOnAnother) {
  begin();
  request(1, "once");
  const std::string reference = last().reference;
  const EngineId engine = last().engine;
  broke(last().call, ConnectionEnd::kResetUnanswered);
  EXPECT_EQ(last().kind, CallKind::kNews);
  EXPECT_EQ(last().reference, reference);
  EXPECT_EQ(last().engine, engine);
  answer(last().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
  EXPECT_EQ(counters.asked_again, 1U);
}

TEST_F(ReducerTest, ABrokenNewsCallThatIsThenRefusedMayHaveRun) {
  begin();
  request(1, "once");
  answer(last().call, Kind::kNotYet);
  broke(last().call, ConnectionEnd::kResetUnanswered);
  broke(last().call, ConnectionEnd::kRefused);
  EXPECT_EQ(outcomes(OutcomeKind::kReset), 1U);
  EXPECT_EQ(outcomes(OutcomeKind::kConnectFailed), 0U);
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed "});
}

TEST_F(ReducerTest, AskingAgainIsAllowedAnewAfterAnAnswer) {
  begin();
  request(1, "once");
  answer(last().call, Kind::kNotYet);
  for (int i = 0; i < 3; ++i) {
    broke(last().call, ConnectionEnd::kClosedUnanswered);
    EXPECT_EQ(last().kind, CallKind::kNews);
    answer(last().call, Kind::kNotYet);
  }
  answer(last().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served x\n"});
}

TEST_F(ReducerTest, ASilentEngineIsToldToStopBeforeTheQueryGoesElsewhere) {
  settings.classes[0].aim = 8 * kSecond;  // worth another attempt after all that
  begin();
  request(1);
  const EngineId first = last().engine;
  broke(last().call, ConnectionEnd::kSilent);
  EXPECT_EQ(last().kind, CallKind::kNews);
  now += 2 * kSecond;  // the engine has dropped what it was not asked for
  broke(last().call, ConnectionEnd::kSilent);
  EXPECT_EQ(last().kind, CallKind::kGiveUp);
  EXPECT_EQ(last().engine, first);
  EXPECT_EQ(outcomes(OutcomeKind::kTimeout), 0U);
  answer(last().call, Kind::kDone);
  EXPECT_EQ(outcomes(OutcomeKind::kTimeout), 1U);
  EXPECT_EQ(last().kind, CallKind::kStart);
  EXPECT_NE(last().engine, first);
}

// Guards the rule that a query never has two attempts out: nobody answers the give-up, so the next attempt
// waits until the engine has dropped the query by itself.
TEST_F(ReducerTest, AnUnheardGiveUpHoldsTheNextAttemptUntilTheEngineHasForgotten) {
  settings.classes[0].aim = 8 * kSecond;  // worth another attempt after all that
  settings.classes[0].deadline = 16 * kSecond;
  begin();
  request(1, "lookup", 12 * kSecond);
  now += 2 * kSecond;
  broke(last().call, ConnectionEnd::kSilent);
  const TimeUs asked_last = now;
  while (last().kind == CallKind::kGiveUp && calls.size() < 20 && counters.open_calls.now > 0)
    broke(last().call, ConnectionEnd::kSilent);
  const auto starts = [&] {
    return std::count_if(calls.begin(), calls.end(), [](auto& c) { return c.kind == CallKind::kStart; });
  };
  run_until(asked_last + 1'900 * kMs);
  EXPECT_EQ(starts(), 1);
  run_until(asked_last + 3'000 * kMs);
  EXPECT_EQ(starts(), 2);
  EXPECT_EQ(counters.unconfirmed, 1U);
}

TEST_F(ReducerTest, TheTimeEndsWithOneFailureAndTheEngineIsToldToStop) {
  begin();
  request(1, "once", 1 * kSecond);
  const CallId start = last().call;
  run_until(now + 1 * kSecond);
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed "});
  EXPECT_EQ(dropped, std::vector<CallId>{start});
  broke(start, ConnectionEnd::kDropped);
  EXPECT_EQ(last().kind, CallKind::kGiveUp);
  EXPECT_EQ(reducer->queries(), 1U);
  answer(last().call, Kind::kDone);
  EXPECT_EQ(reducer->queries(), 0U);
  EXPECT_EQ(answers[1].size(), 1U);
}

TEST_F(ReducerTest, AnAnswerAfterTheEndIsNotPassedOn) {
  begin();
  request(1, "once", 1 * kSecond);
  const CallId start = last().call;
  run_until(now + 1 * kSecond);
  answer(start, Kind::kServed, "late\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed "});
  EXPECT_EQ(reducer->queries(), 0U);
}

TEST_F(ReducerTest, AbortEndsTheQueryWithoutAnAnswerAndTellsTheEngine) {
  begin();
  request(1);
  const CallId start = last().call;
  answer(start, Kind::kNotYet);
  apply(RequestAborted{kClient, 1});
  ASSERT_EQ(dropped.size(), 1U);
  broke(dropped[0], ConnectionEnd::kDropped);
  EXPECT_EQ(last().kind, CallKind::kGiveUp);
  answer(last().call, Kind::kDone);
  EXPECT_TRUE(answers.empty());
  EXPECT_EQ(reducer->queries(), 0U);
  EXPECT_EQ(counters.aborted, 1U);
}

TEST_F(ReducerTest, AnAbortBeforeTheCallWasWrittenNeedsNoGiveUp) {
  begin();
  request(1);
  apply(RequestAborted{kClient, 1});
  broke(dropped.at(0), ConnectionEnd::kDroppedUnsent);
  EXPECT_EQ(last().kind, CallKind::kStart);
  EXPECT_EQ(reducer->queries(), 0U);
}

TEST_F(ReducerTest, AClientThatLeavesEndsAllItsQueriesAndNoOthers) {
  begin();
  request(1);
  request(2);
  request(3, "lookup", 5 * kSecond, kClient + 1);
  apply(ClientClosed{kClient});
  EXPECT_EQ(counters.aborted, 2U);
  EXPECT_EQ(reducer->open_requests(), 1U);
  EXPECT_EQ(dropped.size(), 2U);
}

TEST_F(ReducerTest, AbortsOfUnknownRequestsDoNoHarm) {
  begin();
  apply(RequestAborted{kClient, 5});
  request(1);
  answer(last().call, Kind::kServed, "x\n", 1);
  apply(RequestAborted{kClient, 1});
  EXPECT_EQ(counters.aborted, 0U);
}

TEST_F(ReducerTest, AConnectionHoldsSoManyOpenRequests) {
  begin();
  for (RequestTag tag = 1; tag <= 33; ++tag) request(tag);
  EXPECT_EQ(reducer->open_requests(), 32U);
  EXPECT_EQ(answers[33], std::vector<std::string>{"rejected too many open requests"});
  request(33, "lookup", 5 * kSecond, kClient + 1);
  EXPECT_EQ(reducer->open_requests(), 33U);
}

TEST_F(ReducerTest, ASequenceNumberInUseIsRejected) {
  begin();
  request(1);
  const auto made = calls.size();
  request(1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"rejected sequence number is in use"});
  EXPECT_EQ(calls.size(), made);
}

TEST_F(ReducerTest, WhatCannotBeUsedIsAnsweredAndNothingIsSent) {
  begin();
  apply(RequestArrived{kClient, 1, std::nullopt, "ref: 16 hex digits are needed"});
  request(2, "unheard-of");
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed ref: 16 hex digits are needed"});
  EXPECT_EQ(answers[2], std::vector<std::string>{"failed unknown class"});
  EXPECT_TRUE(calls.empty());
  EXPECT_EQ(reducer->queries(), 0U);
}

TEST_F(ReducerTest, IsReadyOnceAListIsKnown) {
  reducer = std::make_unique<Reducer>(settings, 1, counters);
  EXPECT_FALSE(reducer->ready());
  request(1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed not ready"});
  apply(EnginesChanged{ListKind::kStored, {engine(0)}});
  EXPECT_TRUE(reducer->ready());
}

TEST_F(ReducerTest, NothingNewGoesToAnEngineThatDrains) {
  begin(2);
  apply(EnginesChanged{ListKind::kDelta, {engine(0, EngineState::kDraining)}});
  for (RequestTag tag = 1; tag <= 10; ++tag) request(tag);
  for (const auto& call : calls) EXPECT_EQ(call.engine, "s-1");
  EXPECT_FALSE(calls.empty());
}

TEST_F(ReducerTest, AFullListDropsWhatItDoesNotName) {
  begin(3);
  apply(EnginesChanged{ListKind::kFull, {engine(1)}});
  EXPECT_EQ(reducer->engines(), 1U);
}

// Guards against requests that engines answer with an error which says nothing of the engine, and against two
// queries under one reference.
TEST_F(ReducerTest, WhatNoEngineCanUseIsAnsweredAtOnce) {
  settings.tenants = {{"acme", 1, 100}};
  settings.classes[1].effect = Effect::kDeduplicated;
  begin();
  const auto check = [&](RequestTag tag, const std::string& why, auto spoil) {
    ClientRequest r = usable(tag);
    r.tenant = "acme";
    spoil(r);
    apply(RequestArrived{kClient, tag, r, ""});
    EXPECT_EQ(answers[tag], std::vector<std::string>{why}) << why;
  };
  check(1, "failed unknown tenant", [](auto& r) { r.tenant = "nobody"; });
  check(2, "failed the class needs a key", [](auto& r) { r.class_name = "once"; });
  check(3, "failed no statement", [](auto& r) { r.statement.clear(); });
  check(4, "failed the time is out of range", [](auto& r) { r.time_budget = 3600 * kSecond; });
  check(5, "failed the work is out of range", [](auto& r) { r.cost_estimate = 8 * 8 * kSecond + 1; });
  check(6, "failed the memory is out of range", [](auto& r) { r.memory_mb = 16001; });
  EXPECT_TRUE(calls.empty());
  ClientRequest first = usable(7);
  first.tenant = "acme";
  apply(RequestArrived{kClient, 7, first, ""});
  EXPECT_EQ(calls.size(), 1U);
  check(8, "failed the reference is in use", [&](auto& r) { r.reference = first.reference; });
  EXPECT_EQ(calls.size(), 1U);
  answer(last().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answers[7], std::vector<std::string>{"served x\n"});
  apply(RequestArrived{kClient, 9, first, ""});  // it is free again
  EXPECT_EQ(calls.size(), 2U);
}

TEST_F(ReducerTest, TheNewAddressOfAnEngineIsUsed) {
  begin(1);
  EngineListing moved = engine(0);
  moved.address = {"127.0.0.9", 9009};
  apply(EnginesChanged{ListKind::kDelta, {moved}});
  request(1);
  EXPECT_EQ(last().address.host, "127.0.0.9");
}

TEST_F(ReducerTest, TimersFireInOrderAndNeverInTheTurnThatSetThem) {
  begin();
  ASSERT_TRUE(reducer->next_due().has_value());
  const TimeUs first = *reducer->next_due();
  now = first + 1 * kSecond;  // late: whatever the module sets meanwhile waits for the next turn
  apply(TimePassed{});
  EXPECT_GT(counters.timers.count, 0U);
  EXPECT_GE(counters.timers.worst, 1 * kSecond);
  EXPECT_GT(*reducer->next_due(), first);
}

TEST_F(ReducerTest, TheClockNeverGoesBack) {
  begin();
  const TimeUs due = *reducer->next_due();
  now = due;
  apply(TimePassed{});
  now -= 10 * kSecond;
  request(1);
  EXPECT_EQ(last().stop_at, due + 5 * kSecond);
}

TEST_F(ReducerTest, EndsOfCallsThatNobodyMadeDoNoHarm) {
  begin();
  broke(999, ConnectionEnd::kRefused);
  answer(999, Kind::kServed, "x\n", 1);
  EXPECT_EQ(reducer->queries(), 0U);
}

// A long day with churn: whatever happens to calls, everything is back at zero after it.
TEST_F(ReducerTest, StateDiesWithItsQueries) {
  begin(3);
  const std::vector<ConnectionEnd> ends = {ConnectionEnd::kRefused, ConnectionEnd::kResetUnanswered,
                                           ConnectionEnd::kSilent, ConnectionEnd::kUnreadable,
                                           ConnectionEnd::kNotUpInTime};
  std::size_t handled = 0;
  for (RequestTag tag = 1; tag <= 400; ++tag) {
    request(tag, tag % 3 == 0 ? "once" : "lookup", 2 * kSecond);
    if (tag % 7 == 0) apply(RequestAborted{kClient, tag});
    while (handled < calls.size()) {
      const CallId call = calls[handled].call;
      const std::size_t turn = handled++;
      if (turn % 4 == 0) {
        broke(call, ends[turn / 4 % ends.size()]);
      } else {
        answer(call, turn % 4 == 1 ? Kind::kServed : turn % 4 == 2 ? Kind::kNotYet : Kind::kFull, "x\n", 1);
      }
    }
    run_until(now + 30 * kMs);
  }
  run_until(now + 20 * kSecond);
  while (handled < calls.size()) answer(calls[handled++].call, Kind::kError);
  run_until(now + 20 * kSecond);
  EXPECT_EQ(reducer->queries(), 0U);
  EXPECT_EQ(reducer->open_requests(), 0U);
  std::size_t answered = 0;
  for (const auto& [tag, list] : answers) {
    EXPECT_EQ(list.size(), 1U) << tag;
    answered += list.size();
  }
  EXPECT_EQ(answered + counters.aborted, 400U);
}

}  // namespace
}  // namespace orchidgw::core
