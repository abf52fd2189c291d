// Attempts whose connection never came up: not a byte of them was sent, so nothing of them may count against
// the request (issue 46, A 5).
#include <algorithm>

#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

class UnsentAttempts : public ReducerTest {
 protected:
  std::size_t starts() const {
    return static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [](const StartCall& call) { return call.kind == CallKind::kStart; }));
  }
};

// With three attempts allowed, three connects fail at once (ENETUNREACH), each at another engine; the fourth
// engine is good. What is seen: the request is refused after the third. The attempts in `start_denied`
// and `Reducer::send` are counted whether they were sent or not.
TEST_F(UnsentAttempts, AConnectThatFailsUsesUpNoAttempt) {
  begin(4);
  request(1);
  for (std::size_t failed = 1; failed <= 3; ++failed) {
    ASSERT_EQ(starts(), failed);
    broke(last().call, ConnectionEnd::kUnreachable);
    run_until(now + 10 * kMs);
  }
  run_until(now + 500 * kMs);
  EXPECT_TRUE(answers.empty()) << answers[1].front();
  EXPECT_EQ(starts(), 4U);
}

// Rule 7 allows one further attempt: the one that fails to connect leaves it to the next.
TEST_F(UnsentAttempts, AConnectThatFailsUsesUpNoAllowanceForFurtherAttempts) {
  settings.rules.attempts_rationed = true;
  settings.rules.extra_free = 1;
  settings.rules.extra_window = 10 * kSecond;
  begin(4);
  request(1);
  for (std::size_t failed = 1; failed <= 2; ++failed) {
    ASSERT_EQ(starts(), failed);
    broke(last().call, ConnectionEnd::kUnreachable);
    run_until(now + 10 * kMs);
  }
  ASSERT_EQ(starts(), 3U);
  broke(last().call, ConnectionEnd::kClosedUnanswered);  // this one was sent: the allowance is used up
  run_until(now + 500 * kMs);
  EXPECT_EQ(starts(), 3U);
}

class EndsWithoutAByteSent : public UnsentAttempts, public ::testing::WithParamInterface<ConnectionEnd> {};

// Whichever call failed: socket, connect, or the first send.
TEST_P(EndsWithoutAByteSent, UseUpNoAttempt) {
  begin(4);
  request(1);
  for (std::size_t failed = 1; failed <= 3; ++failed) {
    ASSERT_EQ(starts(), failed);
    broke(last().call, GetParam());
    run_until(now + 10 * kMs);
  }
  EXPECT_EQ(starts(), 4U);
  answer(last().call, CallAnswer::Kind::kServed, "rows", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served rows"});
}

INSTANTIATE_TEST_SUITE_P(Ends, EndsWithoutAByteSent,
                         ::testing::Values(ConnectionEnd::kRefused, ConnectionEnd::kNotUpInTime,
                                           ConnectionEnd::kUnreachable, ConnectionEnd::kNoDescriptor,
                                           ConnectionEnd::kResetUnsent, ConnectionEnd::kClosedUnsent,
                                           ConnectionEnd::kClosedIdle, ConnectionEnd::kWithdrawn),
                         [](const auto& end) { return std::string(name_of(end.param)); });

TEST_F(UnsentAttempts, ConnectsThatFailAreBounded) {
  constexpr std::size_t kMostOfThreeAttempts = 12;
  begin(30);
  request(1);
  while (starts() < 30 && answers.empty()) {
    broke(last().call, ConnectionEnd::kUnreachable);
    run_until(now + kMs);
  }
  EXPECT_EQ(starts(), kMostOfThreeAttempts);
  ASSERT_EQ(answers[1].size(), 1U);
  EXPECT_EQ(answers[1].front().substr(0, 7), "refused");
}

}  // namespace
}  // namespace orchidgw::core
