// Attempts whose connection was never established: no byte of them was sent, so they must not use up any of
// the request's attempts (issue 46, A 5).
#include <algorithm>

#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

class UnsentAttempts : public ReducerTest {
 protected:
  std::size_t start_count() const {
    return static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [](const SendCall& call) { return call.kind == CallKind::kStart; }));
  }
};

// Guards against a request that is refused after its third connect failure, although the fourth engine is
// reachable. Three attempts are allowed, and three connects to different engines fail at once (ENETUNREACH).
// The fault arises where `start_denied` and `Reducer::send` count attempts whether they were sent or not.
TEST_F(UnsentAttempts, AConnectThatFailsUsesUpNoAttempt) {
  start_reducer(4);
  request(1);
  for (std::size_t failed = 1; failed <= 3; ++failed) {
    ASSERT_EQ(start_count(), failed);
    end_call(last_call().call, ConnectionEnd::kUnreachable);
    run_until(now + 10 * kMs);
  }
  run_until(now + 500 * kMs);
  EXPECT_TRUE(answers.empty()) << answers[1].front();
  EXPECT_EQ(start_count(), 4U);
}

// The retry budget (rule 7 of the settings) allows one further attempt: one that fails to connect leaves it
// to the next.
TEST_F(UnsentAttempts, AConnectThatFailsUsesUpNoAllowanceForFurtherAttempts) {
  settings.rules.has_retry_budget = true;
  settings.rules.retry_budget_floor = 1;
  settings.rules.retry_budget_window = 10 * kSecond;
  start_reducer(4);
  request(1);
  for (std::size_t failed = 1; failed <= 2; ++failed) {
    ASSERT_EQ(start_count(), failed);
    end_call(last_call().call, ConnectionEnd::kUnreachable);
    run_until(now + 10 * kMs);
  }
  ASSERT_EQ(start_count(), 3U);
  end_call(last_call().call, ConnectionEnd::kClosedUnanswered);  // this one was sent: the budget is used up
  run_until(now + 500 * kMs);
  EXPECT_EQ(start_count(), 3U);
}

class EndsWithoutAByteSent : public UnsentAttempts, public ::testing::WithParamInterface<ConnectionEnd> {};

// Whichever system call failed: socket, connect, or the first send.
TEST_P(EndsWithoutAByteSent, UseUpNoAttempt) {
  start_reducer(4);
  request(1);
  for (std::size_t failed = 1; failed <= 3; ++failed) {
    ASSERT_EQ(start_count(), failed);
    end_call(last_call().call, GetParam());
    run_until(now + 10 * kMs);
  }
  EXPECT_EQ(start_count(), 4U);
  answer(last_call().call, CallAnswer::Kind::kServed, "rows", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served rows"});
}

INSTANTIATE_TEST_SUITE_P(Ends, EndsWithoutAByteSent,
                         ::testing::Values(ConnectionEnd::kRefused, ConnectionEnd::kConnectTimeout,
                                           ConnectionEnd::kUnreachable, ConnectionEnd::kNoDescriptor,
                                           ConnectionEnd::kResetUnsent, ConnectionEnd::kClosedUnsent,
                                           ConnectionEnd::kClosedIdle, ConnectionEnd::kWithdrawn),
                         [](const auto& end) { return std::string(name_of(end.param)); });

TEST_F(UnsentAttempts, ConnectsThatFailAreBounded) {
  constexpr std::size_t kMaxStartsOfThreeAttempts = 12;
  start_reducer(30);
  request(1);
  while (start_count() < 30 && answers.empty()) {
    end_call(last_call().call, ConnectionEnd::kUnreachable);
    run_until(now + kMs);
  }
  EXPECT_EQ(start_count(), kMaxStartsOfThreeAttempts);
  ASSERT_EQ(answers[1].size(), 1U);
  EXPECT_EQ(answers[1].front().substr(0, 7), "refused");
}

}  // namespace
}  // namespace orchidgw::core
