// Recovery from one copy: every input that could lead to two logs that both grant is refused; what is kept
// and what is not.
#include "recovery/one_copy.h"

#include <gtest/gtest.h>

namespace orchidgw::recovery {
namespace {

struct Input {
  store::StoredLog found;
  fleet::State state;
  std::vector<fleet::KeeperId> voters = {1, 2, 3};
  fleet::FleetConfig config;
  std::string self = "c0";
  std::vector<fleet::KeeperId> lost = {2, 3};
  SingleCopyRecovery run() const {
    return recover_from_single_copy(found, voters, state, config, self, lost);
  }
};

Input valid_input() {
  Input out;
  out.found.owner = store::StoredOwner{"f", 7, 1, {1, 2}};
  out.found.term = 9;
  out.found.first = 41;
  out.found.entries = {{8, 1, ""}, {9, 1, ""}};
  out.state.keys.apply({{}, true, {{{"c4", 1}, 1, {{7, "key k", 5}}, {}}}});
  out.config.name = "f";
  out.config.number = 8;
  out.config.keepers = {{1, "c0", {"127.0.0.1", 7201}}};
  return out;
}

TEST(SingleCopyRecovery, KeepsTheKeysAndTakesNoneOfTheLostForKnown) {
  const SingleCopyRecovery copy = valid_input().run();
  ASSERT_EQ(copy.fault, "");
  EXPECT_EQ(copy.owner, (store::StoredOwner{"f", 8, 1, {1}}));
  EXPECT_EQ(copy.index, 42U);
  EXPECT_EQ(copy.index_term, 9U);
  EXPECT_EQ(copy.term, 10U);
  EXPECT_EQ(copy.state.ledger.terms().revision, 0U);  // as after a lost log, earlier leases must expire first
  EXPECT_TRUE(copy.state.keys.holds().contains("key k"));
  EXPECT_FALSE(copy.state.keys.settled());
  EXPECT_GE(copy.operator_notes.size(), 4U);
}

TEST(SingleCopyRecovery, EachWayToHaveTwoLogsIsRefused) {
  const auto fault = [](auto modify) {
    Input input = valid_input();
    modify(input);
    return input.run().fault;
  };
  EXPECT_NE(fault([](Input& input) { input.lost = {2}; }).find("--lost has to name all others"),
            std::string::npos);
  EXPECT_NE(fault([](Input& input) { input.lost = {2, 3, 4}; }), "");
  EXPECT_NE(fault([](Input& input) { input.config.number = 7; }).find("has to be raised above 7"),
            std::string::npos);
  EXPECT_NE(fault([](Input& input) { input.config.name = "other"; }).find("of fleet f"), std::string::npos);
  EXPECT_NE(fault([](Input& input) { input.config.keepers[0].id = 2; }).find("keeper 1's"),
            std::string::npos);
  EXPECT_NE(fault([](Input& input) { input.self = "c9"; }).find("does not name c9"), std::string::npos);
  EXPECT_NE(fault([](Input& input) { input.config.keepers.push_back({4, "c4", {"127.0.0.1", 1}}); }), "");
  EXPECT_NE(fault([](Input& input) { input.found.owner.reset(); }), "");
  EXPECT_NE(fault([](Input& input) { input.voters.clear(); }), "");
  EXPECT_EQ(fault([](Input& input) { input.found = {}; }), "there is no log in it");
}

}  // namespace
}  // namespace orchidgw::recovery
