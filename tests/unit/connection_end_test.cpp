// The outcome that the decision module gets for each end of a connection, before and after the engine may
// have the query.
#include "core/connection_end.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace orchidgw::core {
namespace {

struct Expected {
  OutcomeKind first_call;  // the call that starts the query ended this way
  OutcomeKind later_call;  // a call after it ended this way
  bool may_have_arrived;
};

const std::map<ConnectionEnd, Expected> kExpected = {
    {ConnectionEnd::kRefused, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kConnectTimeout, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kUnreachable, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kNoDescriptor, {OutcomeKind::kNotSent, OutcomeKind::kReset, false}},
    {ConnectionEnd::kResetUnsent, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kResetUnanswered, {OutcomeKind::kReset, OutcomeKind::kReset, true}},
    {ConnectionEnd::kResetMidAnswer, {OutcomeKind::kReset, OutcomeKind::kReset, true}},
    {ConnectionEnd::kClosedIdle, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kClosedUnsent, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kClosedUnanswered, {OutcomeKind::kReset, OutcomeKind::kReset, true}},
    {ConnectionEnd::kClosedMidAnswer, {OutcomeKind::kReset, OutcomeKind::kReset, true}},
    {ConnectionEnd::kSilent, {OutcomeKind::kTimeout, OutcomeKind::kTimeout, true}},
    {ConnectionEnd::kUnreadable, {OutcomeKind::kError, OutcomeKind::kError, true}},
    {ConnectionEnd::kDroppedUnsent, {OutcomeKind::kCancelled, OutcomeKind::kCancelled, false}},
    {ConnectionEnd::kDropped, {OutcomeKind::kCancelled, OutcomeKind::kCancelled, true}},
    {ConnectionEnd::kIdleExpired, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kAttemptOver, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kLimitExceeded, {OutcomeKind::kReset, OutcomeKind::kReset, true}},
    {ConnectionEnd::kEvicted, {OutcomeKind::kReset, OutcomeKind::kReset, true}},
    {ConnectionEnd::kAddressChanged, {OutcomeKind::kReset, OutcomeKind::kReset, true}},
    {ConnectionEnd::kShutDown, {OutcomeKind::kReset, OutcomeKind::kReset, true}},
    {ConnectionEnd::kIntentNotStored, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kKeyHeld, {OutcomeKind::kConnectFailed, OutcomeKind::kReset, false}},
    {ConnectionEnd::kWithdrawn, {OutcomeKind::kNotSent, OutcomeKind::kReset, false}},
};

bool proves_that_nothing_ran(OutcomeKind kind) {
  return kind == OutcomeKind::kFull || kind == OutcomeKind::kConnectFailed || kind == OutcomeKind::kNotSent;
}

TEST(ConnectionEnd, EachHasItsMeaning) {
  EXPECT_EQ(kExpected.size(), kConnectionEndCount);
  for (const auto& [end, expected] : kExpected) {
    EXPECT_EQ(outcome_of(end, false), expected.first_call) << name_of(end);
    EXPECT_EQ(outcome_of(end, true), expected.later_call) << name_of(end);
    EXPECT_EQ(may_have_arrived(end), expected.may_have_arrived) << name_of(end);
  }
}

TEST(ConnectionEnd, WhatMayHaveRunIsNeverTakenForWhatDidNot) {
  for (std::size_t i = 0; i < kConnectionEndCount; ++i) {
    const auto end = static_cast<ConnectionEnd>(i);
    EXPECT_FALSE(proves_that_nothing_ran(outcome_of(end, true))) << name_of(end);
    const bool proves = proves_that_nothing_ran(outcome_of(end, false));
    EXPECT_FALSE(proves && may_have_arrived(end)) << name_of(end);
  }
}

TEST(ConnectionEnd, EachHasANameOfItsOwn) {
  std::set<std::string> names;
  for (std::size_t i = 0; i < kConnectionEndCount; ++i) names.insert(name_of(static_cast<ConnectionEnd>(i)));
  EXPECT_EQ(names.size(), kConnectionEndCount);
  EXPECT_EQ(names.count("unknown"), 0U);
}

}  // namespace
}  // namespace orchidgw::core
