// What must not run twice, where its send waits for a promise or an intent: what the client is told, what the
// engine is blamed for, when its key is free again.
#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

class KeysTest : public ReducerTest {
 protected:
  void SetUp() override {
    begin();
    reducer->set_keys([](const std::string&) { return KeyVerdict::kNew; });
  }
  std::vector<FreeKey> freed_by(Event event) {
    std::vector<FreeKey> out;
    for (SideEffect& effect : reducer->apply(now, std::move(event))) {
      if (auto* free = std::get_if<FreeKey>(&effect)) out.push_back(std::move(*free));
      if (auto* call = std::get_if<StartCall>(&effect)) calls.push_back(std::move(*call));
      if (auto* refused = std::get_if<AnswerRefused>(&effect)) answers[refused->tag].push_back("refused");
      if (auto* failed = std::get_if<AnswerFailed>(&effect)) answers[failed->tag].push_back("failed");
    }
    return out;
  }
};

TEST_F(KeysTest, AKeyThatRestsElsewhereIsFailedAtOnceAndNotRefused) {
  request(1, "once");
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(last().identity, "reference " + usable(1).reference);
  EXPECT_EQ(last().rest, 8 * kSecond);
  broke(last().call, ConnectionEnd::kKeyRests);
  ASSERT_EQ(answers[1].size(), 1U);
  EXPECT_TRUE(answers[1][0].starts_with("failed")) << answers[1][0];
  EXPECT_EQ(calls.size(), 1U);  // no further attempt
  EXPECT_EQ(reducer->queries(), 0U);
}

TEST_F(KeysTest, WithoutAPromiseItIsRefusedAtOnceAndItsKeyFreed) {
  request(1, "once");
  const auto freed = freed_by(CallEnded{last().call, ConnectionEnd::kNoIntent});
  EXPECT_EQ(answers[1], std::vector<std::string>{"refused"});
  ASSERT_EQ(freed.size(), 1U);
  EXPECT_EQ(freed[0].identity, "reference " + usable(1).reference);
  EXPECT_EQ(freed[0].query, last().query);
}

// Ten in a row on each engine: as connections that failed they would have taken both out of use.
TEST_F(KeysTest, EnginesAreNotBlamedForWhatKeepersDo) {
  for (RequestTag tag = 1; tag <= 20; ++tag) {
    request(tag, "once");
    broke(last().call, tag % 2 == 0 ? ConnectionEnd::kNoIntent : ConnectionEnd::kKeyRests);
  }
  EXPECT_EQ(outcomes(OutcomeKind::kConnectFailed), 0U);
  const std::size_t before = calls.size();
  request(100);
  EXPECT_EQ(calls.size(), before + 1);
}

TEST_F(KeysTest, WhatMayHaveRunKeepsItsKeyAndWhatWasTurnedAwayByTheEngineFreesIt) {
  request(1, "once");
  EXPECT_TRUE(freed_by(CallEnded{last().call, ConnectionEnd::kResetUnanswered}).empty());
  while (reducer->queries() > 0) {
    const StartCall call = last();
    EXPECT_TRUE(freed_by(CallEnded{call.call, ConnectionEnd::kRefused}).empty());
    run_until(now + kSecond);
  }
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed"});
}

}  // namespace
}  // namespace orchidgw::core
