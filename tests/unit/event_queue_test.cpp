// The order in which what lies ready goes in.
#include "net/event_queue.h"

#include <gtest/gtest.h>

namespace orchidgw::net {
namespace {

TEST(EventQueue, ListChangesThenOutcomesThenDeparturesThenRequests) {
  EventQueue queue;
  queue.push(core::RequestArrived{1, 1, std::nullopt, ""}, 10);
  queue.push(core::ClientClosed{2}, 20);
  queue.push(core::CallEnded{3, core::ConnectionEnd::kRefused}, 30);
  queue.push(core::EnginesChanged{}, 40);
  queue.push(core::RequestAborted{1, 2}, 50);
  EXPECT_FALSE(queue.empty());
  EXPECT_EQ(queue.next_news()->at, 40);
  EXPECT_EQ(queue.next_news()->at, 30);
  EXPECT_EQ(queue.next_news()->at, 20);
  EXPECT_EQ(queue.next_news()->at, 50);
  EXPECT_FALSE(queue.next_news().has_value());
  EXPECT_EQ(queue.next_request()->at, 10);
  EXPECT_FALSE(queue.next_request().has_value());
  EXPECT_TRUE(queue.empty());
}

// Guards against queries that run for nobody: a client that sends and leaves in one go.
TEST(EventQueue, ARequestDoesNotOutliveItsClient) {
  EventQueue queue;
  queue.push(core::RequestArrived{1, 1, std::nullopt, ""}, 10);
  queue.push(core::RequestArrived{1, 2, std::nullopt, ""}, 20);
  queue.push(core::RequestArrived{2, 1, std::nullopt, ""}, 30);
  queue.push(core::RequestArrived{2, 2, std::nullopt, ""}, 40);
  queue.push(core::ClientClosed{1}, 50);
  queue.push(core::RequestAborted{2, 1}, 60);
  EXPECT_EQ(queue.next_news()->at, 50);
  EXPECT_EQ(queue.next_news()->at, 60);
  EXPECT_EQ(queue.next_request()->at, 40);
  EXPECT_FALSE(queue.next_request().has_value());
}

// Guards against clients that together pass the bound on statements within one turn.
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

TEST(EventQueue, KeepsTheOrderWithinAKind) {
  EventQueue queue;
  for (TimeUs at = 1; at <= 3; ++at) queue.push(core::CallEnded{}, at);
  for (TimeUs at = 1; at <= 3; ++at) EXPECT_EQ(queue.next_news()->at, at);
}

}  // namespace
}  // namespace orchidgw::net
