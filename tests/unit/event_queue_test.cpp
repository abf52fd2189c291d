// The order in which queued events are handed out.
#include "net/event_queue.h"

#include <gtest/gtest.h>

#include <chrono>

namespace orchidgw::net {
namespace {

// Disconnects and aborts come before outcomes: guards against one more attempt, at the end of the last one,
// for a client that has gone.
TEST(EventQueue, ListChangesThenDeparturesThenOutcomesThenRequests) {
  EventQueue queue;
  queue.push(core::RequestArrived{1, 1, std::nullopt, ""}, 10);
  queue.push(core::ClientClosed{2}, 20);
  queue.push(core::CallEnded{3, core::ConnectionEnd::kRefused}, 30);
  queue.push(core::EnginesChanged{}, 40);
  queue.push(core::RequestAborted{1, 2}, 50);
  EXPECT_FALSE(queue.empty());
  EXPECT_EQ(queue.next_non_request()->at, 40);
  EXPECT_EQ(queue.next_non_request()->at, 20);
  EXPECT_EQ(queue.next_non_request()->at, 50);
  EXPECT_EQ(queue.next_non_request()->at, 30);
  EXPECT_FALSE(queue.next_non_request().has_value());
  EXPECT_EQ(queue.next_request()->at, 10);
  EXPECT_FALSE(queue.next_request().has_value());
  EXPECT_TRUE(queue.empty());
}

// Guards against queries that run for nobody: a client sends a request and disconnects at once.
TEST(EventQueue, ARequestDoesNotOutliveItsClient) {
  EventQueue queue;
  queue.push(core::RequestArrived{1, 1, std::nullopt, ""}, 10);
  queue.push(core::RequestArrived{1, 2, std::nullopt, ""}, 20);
  queue.push(core::RequestArrived{2, 1, std::nullopt, ""}, 30);
  queue.push(core::RequestArrived{2, 2, std::nullopt, ""}, 40);
  queue.push(core::ClientClosed{1}, 50);
  queue.push(core::RequestAborted{2, 1}, 60);
  EXPECT_EQ(queue.next_non_request()->at, 50);
  EXPECT_EQ(queue.next_non_request()->at, 60);
  EXPECT_EQ(queue.next_request()->at, 40);
  EXPECT_FALSE(queue.next_request().has_value());
}

// Guards against clients that together exceed the bound on statement bytes within one turn.
TEST(EventQueue, CountsTheStatementsInLine) {
  EventQueue queue;
  core::ClientRequest request;
  request.statement = std::string(100, 'x');
  for (core::RequestTag tag = 1; tag <= 3; ++tag) queue.push(core::RequestArrived{1, tag, request, ""}, 10);
  queue.push(core::RequestArrived{2, 1, std::nullopt, "unusable"}, 10);
  EXPECT_EQ(queue.statement_bytes(), 300U);
  queue.push(core::RequestAborted{1, 2}, 20);
  EXPECT_EQ(queue.statement_bytes(), 200U);
  queue.next_request();
  EXPECT_EQ(queue.statement_bytes(), 100U);
  queue.push(core::ClientClosed{1}, 30);
  EXPECT_EQ(queue.statement_bytes(), 0U);
}

// Guards against turns of nearly a second, in which others wait, while many clients send requests and aborts
// in turn: each abort went through the whole queue (issue 62, b).
TEST(EventQueue, AnAbortTakesNoTimeForTheRequestsOfOthers) {
  constexpr core::ClientId kClients = 330;
  constexpr core::RequestTag kRequestsOfAClient = 48;
  EventQueue queue;
  const auto started_at = std::chrono::steady_clock::now();
  for (core::ClientId client = 1; client <= kClients; ++client)
    for (core::RequestTag tag = 1; tag <= kRequestsOfAClient; ++tag)
      queue.push(core::RequestArrived{client, tag, std::nullopt, ""}, 10);
  for (core::ClientId client = 1; client <= kClients; ++client)
    for (core::RequestTag tag = 1; tag < kRequestsOfAClient; ++tag)
      queue.push(core::RequestAborted{client, tag}, 20);
  EXPECT_LT(std::chrono::steady_clock::now() - started_at, std::chrono::seconds(1));
  for (core::ClientId client = 1; client <= kClients; ++client) {
    const auto next = queue.next_request();
    ASSERT_TRUE(next.has_value());
    EXPECT_EQ(std::get<core::RequestArrived>(next->event).client, client);
    EXPECT_EQ(std::get<core::RequestArrived>(next->event).tag, kRequestsOfAClient);
  }
  EXPECT_FALSE(queue.next_request().has_value());
}

core::EnginesChanged list(ListKind kind, std::vector<std::pair<std::string, EngineState>> engines) {
  core::EnginesChanged change;
  change.kind = kind;
  for (const auto& [id, state] : engines) {
    core::EngineListing& listing = change.engines.emplace_back();
    listing.entry.id = id;
    listing.entry.state = state;
  }
  return change;
}

// Guards against queries sent to an engine that joined and drained in one answer of the change log.
TEST(EventQueue, ListChangesInLineAreOne) {
  using enum EngineState;
  EventQueue queue;
  queue.push(list(ListKind::kStored, {{"a", kInService}, {"b", kInService}}), 10);
  queue.push(list(ListKind::kDelta, {{"c", kInService}, {"b", kGone}}), 10);
  queue.push(list(ListKind::kDelta, {{"c", kDraining}}), 10);
  const auto first = queue.next_non_request();
  ASSERT_TRUE(first.has_value());
  const auto& change = std::get<core::EnginesChanged>(first->event);
  EXPECT_EQ(change.kind, ListKind::kStored);
  std::vector<std::pair<std::string, EngineState>> seen;
  for (const auto& listing : change.engines) seen.emplace_back(listing.entry.id, listing.entry.state);
  EXPECT_EQ(seen, (std::vector<std::pair<std::string, EngineState>>{
                      {"a", kInService}, {"b", kGone}, {"c", kDraining}}));
  EXPECT_TRUE(queue.empty());
}

TEST(EventQueue, AWholeListTakesThePlaceOfWhatWasInLine) {
  using enum EngineState;
  EventQueue queue;
  queue.push(list(ListKind::kDelta, {{"a", kInService}}), 10);
  queue.push(list(ListKind::kFull, {{"b", kInService}}), 20);
  const auto first = queue.next_non_request();
  ASSERT_TRUE(first.has_value());
  const auto& change = std::get<core::EnginesChanged>(first->event);
  EXPECT_EQ(change.kind, ListKind::kFull);
  ASSERT_EQ(change.engines.size(), 1U);
  EXPECT_EQ(change.engines[0].entry.id, "b");
  EXPECT_TRUE(queue.empty());
}

TEST(EventQueue, KeepsTheOrderWithinAKind) {
  EventQueue queue;
  for (TimeUs at = 1; at <= 3; ++at) queue.push(core::CallEnded{}, at);
  for (TimeUs at = 1; at <= 3; ++at) EXPECT_EQ(queue.next_non_request()->at, at);
}

}  // namespace
}  // namespace orchidgw::net
