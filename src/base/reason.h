// Why a query was refused, delayed or ended without an answer. Log, counters, `explain` and answers to
// clients use the same names.
#pragma once

#include <array>
#include <cstddef>

namespace orchidgw {

enum class Reason {
  kNone,
  kDecision,      // the decision module: the latency target or time budget can't be met, or a rule ends it
  kRate,          // the route's rate limit: no token within the time that it may wait
  kConcurrency,   // the route's concurrency limit: no slot became free within that time
  kQueueFull,     // the route's queue is full
  kClosed,        // the route's rate or concurrency limit is zero
  kQueueTimeout,  // it waited for as long as the route allows
  kMaxAttempts,   // the route's maximum number of attempts is reached
  kOutcomeNotRetried,  // the route does not retry after such an outcome
  kRetryBudget,        // the retry budget of the route, or that of all routes, is used up
  kShed,               // shed by a reduced service level
  kIntentNotStored,    // it must not run twice, and its intent can't be stored
  kShutDown,           // the controller shuts down before it can be answered
  kOutOfTime,          // its client's time may be over, as it waited to be read
  kKeysFull,           // no further idempotency key or reference can be remembered, and its own is new
  kBacklog,            // its client is paused (memory, unread answers), and its call can't be held any longer
  kQueriesFull,        // too many queries are open, and its client has more than its part of them
};
inline constexpr std::size_t kReasonCount = static_cast<std::size_t>(Reason::kQueriesFull) + 1;

inline const char* name_of(Reason reason) {
  constexpr std::array<const char*, kReasonCount> kNames = {
      "none",          "decision",    "rate",      "concurrency",  "line_full",   "closed",
      "held_too_long", "attempts",    "outcome",   "retry_budget", "shed",        "no_intent",
      "shut_down",     "out_of_time", "keys_full", "backlog",      "queries_full"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace orchidgw
