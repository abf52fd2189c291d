#include "recovery/vote_floor.h"

#include <gtest/gtest.h>

namespace orchidgw::recovery {
namespace {

constexpr TimeUs kGreetingTimeout = 1'000;

fleet::LogMessage request(std::uint64_t term, fleet::LogPosition last, bool pre_vote = false) {
  fleet::LogMessage out;
  out.kind = fleet::LogMessage::Kind::kVote;
  out.term = term;
  out.index = last.index;
  out.index_term = last.term;
  out.pre_vote = pre_vote ? 1 : 0;
  return out;
}

TEST(VoteGuard, NobodyIsVotedForUntilAllOthersHaveGreetedOrTheTimeIsOver) {
  VoteGuard floor(1, {1, 2, 3}, 0, kGreetingTimeout);
  EXPECT_EQ(floor.waits_for(0), (std::vector<fleet::KeeperId>{2, 3}));
  floor.on_greeting(2, {});
  floor.on_greeting(1, {});  // itself, and a keeper that is no voter
  floor.on_greeting(9, {});
  EXPECT_EQ(floor.waits_for(0), (std::vector<fleet::KeeperId>{3}));
  EXPECT_FALSE(floor.allows(request(5, {4, 9}), kGreetingTimeout - 1));
  EXPECT_FALSE(floor.allows(request(5, {4, 9}, true), kGreetingTimeout - 1));
  EXPECT_TRUE(floor.allows(request(5, {4, 9}), kGreetingTimeout));
  EXPECT_TRUE(floor.waits_for(kGreetingTimeout).empty());
  floor.on_greeting(3, {});
  EXPECT_TRUE(floor.allows(request(5, {4, 9}), 0));
}

TEST(VoteGuard, OneThatIsAloneVotesAtOnce) {
  EXPECT_TRUE(VoteGuard(1, {1}, 0, kGreetingTimeout).allows(request(2, {1, 1}), 0));
}

TEST(VoteGuard, WhoLacksWhatWasAgreedOnIsNeverVotedForAndWhoLacksTheRestNotYet) {
  VoteGuard floor(1, {1, 2, 3}, 0, kGreetingTimeout);
  floor.on_greeting(2, {4, {4, 20}, {3, 12}});
  floor.on_greeting(3, {4, {4, 15}, {3, 10}});
  constexpr TimeUs kLater = 2 * kGreetingTimeout;
  EXPECT_FALSE(floor.allows(request(5, {4, 19}), kLater - 1));
  EXPECT_TRUE(floor.allows(request(5, {4, 20}), kLater - 1));
  EXPECT_TRUE(floor.allows(request(5, {3, 12}), kLater));
  EXPECT_FALSE(floor.allows(request(5, {3, 11}), kLater));
  EXPECT_FALSE(floor.allows(request(5, {2, 99}), kLater));  // longer, but of an older term: behind
  EXPECT_FALSE(floor.allows(request(5, {3, 11}, true), kLater));
}

TEST(VoteGuard, NoVoteInATermThatMayHaveHadOne) {
  VoteGuard floor(1, {1, 2, 3}, 0, kGreetingTimeout);
  floor.on_greeting(2, {7, {}, {}});
  floor.on_greeting(3, {5, {}, {}});
  EXPECT_FALSE(floor.allows(request(7, {1, 1}), 0));
  EXPECT_TRUE(floor.allows(request(7, {1, 1}, true), 0));
  EXPECT_TRUE(floor.allows(request(8, {1, 1}), 0));
  floor.on_greeting(2, {9, {}, {}});  // a later greeting: this keeper has been running since
  EXPECT_TRUE(floor.allows(request(8, {1, 1}), 0));
}

TEST(VoteGuard, AllOtherWordsPass) {
  VoteGuard floor(1, {1, 2, 3}, 0, kGreetingTimeout);
  using Kind = fleet::LogMessage::Kind;
  for (const Kind kind : {Kind::kAppend, Kind::kAppendResult, Kind::kVoteResult, Kind::kSnapshot}) {
    fleet::LogMessage message;
    message.kind = kind;
    EXPECT_TRUE(floor.allows(message, 0));
  }
}

}  // namespace
}  // namespace orchidgw::recovery
