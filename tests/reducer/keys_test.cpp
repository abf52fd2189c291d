// Queries that must not run twice, whose start waits until the fleet has granted their key or their intent is
// stored: the answer to the client, what is counted against the engine, and when the key is released.
#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

class KeysTest : public ReducerTest {
 protected:
  void SetUp() override {
    start_reducer();
    reducer->set_key_lookup([](const std::string&) { return KeyStatus::kNew; });
  }
  std::vector<ReleaseKey> released_by(Event event) {
    std::vector<ReleaseKey> released;
    for (SideEffect& effect : reducer->apply(now, std::move(event))) {
      if (auto* key = std::get_if<ReleaseKey>(&effect)) released.push_back(std::move(*key));
      if (auto* call = std::get_if<SendCall>(&effect)) calls.push_back(std::move(*call));
      if (auto* refused = std::get_if<AnswerRefused>(&effect)) answers[refused->tag].push_back("refused");
      if (auto* failed = std::get_if<AnswerFailed>(&effect)) answers[failed->tag].push_back("failed");
    }
    return released;
  }
};

TEST_F(KeysTest, AQueryWhoseKeyIsHeldElsewhereFailsAtOnceAndIsNotRefused) {
  request(1, "once");
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(last_call().identity, "reference " + valid_request(1).reference);
  EXPECT_EQ(last_call().key_hold, 8 * kSecond);
  end_call(last_call().call, ConnectionEnd::kKeyHeld);
  ASSERT_EQ(answers[1].size(), 1U);
  EXPECT_TRUE(answers[1][0].starts_with("failed")) << answers[1][0];
  EXPECT_EQ(calls.size(), 1U);  // no further attempt
  EXPECT_EQ(reducer->queries(), 0U);
}

TEST_F(KeysTest, AQueryWithoutAStoredIntentIsRefusedAtOnceAndItsKeyReleased) {
  request(1, "once");
  const auto released = released_by(CallEnded{last_call().call, ConnectionEnd::kIntentNotStored});
  EXPECT_EQ(answers[1], std::vector<std::string>{"refused"});
  ASSERT_EQ(released.size(), 1U);
  EXPECT_EQ(released[0].identity, "reference " + valid_request(1).reference);
  EXPECT_EQ(released[0].query, last_call().query);
}

// Guards against calls that were never sent being counted as failed connections: ten in a row on each engine
// would take both out of use.
TEST_F(KeysTest, EnginesAreNotBlamedForWhatKeepersDo) {
  for (RequestTag tag = 1; tag <= 20; ++tag) {
    request(tag, "once");
    end_call(last_call().call, tag % 2 == 0 ? ConnectionEnd::kIntentNotStored : ConnectionEnd::kKeyHeld);
  }
  EXPECT_EQ(outcome_count(OutcomeKind::kConnectFailed), 0U);
  const std::size_t before = calls.size();
  request(100);
  EXPECT_EQ(calls.size(), before + 1);
}

TEST_F(KeysTest, AQueryThatMayHaveRunKeepsItsKey) {
  request(1, "once");
  EXPECT_TRUE(released_by(CallEnded{last_call().call, ConnectionEnd::kResetUnanswered}).empty());
  while (reducer->queries() > 0) {
    const SendCall call = last_call();
    EXPECT_TRUE(released_by(CallEnded{call.call, ConnectionEnd::kRefused}).empty());
    run_until(now + kSecond);
  }
  EXPECT_EQ(answers[1], std::vector<std::string>{"failed"});
}

}  // namespace
}  // namespace orchidgw::core
