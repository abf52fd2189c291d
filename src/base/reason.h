// Why a query was turned away, delayed or given up: one enumeration, said alike by log, counters, `explain`
// and whatever tells clients.
#pragma once

#include <array>
#include <cstddef>

namespace orchidgw {

enum class Reason {
  kNone,
  kDecision,     // the decision module: its aim or time can't be met, or the rules end it
  kRate,         // the route's rate: no token within the hold
  kConcurrency,  // the route's bound on queries under way: no place within the hold
  kLineFull,     // the route's waiting line is full
  kClosed,       // the route's rate or bound is zero
  kHeldTooLong,  // the route's longest hold is over
  kAttempts,     // the route's most attempts
  kOutcome,      // the route does not try again after such an end
  kRetryShare,   // the retry budget of the route, or of all
  kShed,         // a reduced service level sheds it
  kNoIntent,     // it must not run twice, and no intent of it can be kept
  kShutDown,     // the gateway shuts down before it could be answered
  kBacklog,      // its client is not served for the moment, and as many of its calls wait as may
};
inline constexpr std::size_t kReasons = static_cast<std::size_t>(Reason::kBacklog) + 1;

inline const char* name_of(Reason reason) {
  constexpr std::array<const char*, kReasons> kNames = {
      "none",     "decision", "rate",         "concurrency", "line_full", "closed",    "held_too_long",
      "attempts", "outcome",  "retry_budget", "shed",        "no_intent", "shut_down", "backlog"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace orchidgw
