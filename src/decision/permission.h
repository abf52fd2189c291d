// Decides whether a query may be sent, sent again or refused now, and whether a client's connection may be
// closed now; no other code decides this. The decision module checks before it chooses; the reducer checks
// again when the module asks for an action, and once more just before the first byte of a start is sent,
// since time passes in between.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "base/time.h"
#include "decision/decision.h"

namespace orchidgw {

// Why something is not allowed now.
enum class Denial : std::uint8_t {
  kNone,             // it is allowed
  kQueryOver,        // the query is answered, or its client has gone
  kOutOfTime,        // the client's time is over, or too little of it is left to start an attempt
  kEngineLeaving,    // the engine drains, is gone or is not listed
  kTooManyAttempts,  // the settings allow no further attempt
  kAttemptInFlight,  // another attempt is in flight, and two at once are not allowed
  kMayHaveRun,       // an earlier attempt may have run, and the class must not run twice
  kOutsideScope,     // an earlier attempt may have run, and this engine would not recognise the repeat
  kWindowOver,       // an earlier attempt may have run, and engines may no longer recognise the repeat
  kAnswerPending,    // a request was read and has no answer yet
};
inline constexpr std::size_t kDenialCount = 10;

const char* name_of(Denial denial);  // as metrics and log lines have it

// What the rules need to know of another attempt of the same query.
struct EarlierAttempt {
  TimeUs sent_at = 0;
  bool in_flight = false;     // its engine may still work on it
  bool may_have_run = false;  // nothing proves that it did not
  std::string_view zone;      // of its engine, as is the cell
  int cell = 0;
  bool unsent = false;          // ended without a byte of it having been sent
  bool of_earlier_try = false;  // by another query under the same idempotency key
};

// Whether an attempt that ended so was never sent, not even in part.
inline bool never_sent(OutcomeKind kind) {
  return kind == OutcomeKind::kConnectFailed || kind == OutcomeKind::kNotSent;
}

// A query's attempts so far.
struct AttemptCounts {
  int sent = 0;    // sent or in flight
  int unsent = 0;  // ended without having been sent
};

// Whether the settings allow one more attempt.
bool has_attempts_left(const PolicyLimits& limits, AttemptCounts made);

// Why another attempt, at the engine `to`, may not follow `earlier`; kNone: it may.
Denial repeat_denied(const ClassSettings& query_class, const EarlierAttempt& earlier, const EngineEntry& to,
                     TimeUs now);
// The first denial among several earlier attempts.
Denial repeat_denied(const ClassSettings& query_class, std::span<const EarlierAttempt> earlier,
                     const EngineEntry& to, TimeUs now);

// The instant from which no attempt may follow `earlier` any more, as engines may not recognise a repeat
// then. The latest possible instant if there is none.
TimeUs repeat_window_end(const ClassSettings& query_class, std::span<const EarlierAttempt> earlier);

// Why a query may not be refused after `earlier`; kNone: it may. A refusal tells the client that it is safe
// to send the query again. After an earlier try's window no further try would be started.
Denial refusal_denied(const ClassSettings& query_class, const EarlierAttempt& earlier, TimeUs now);
Denial refusal_denied(const ClassSettings& query_class, std::span<const EarlierAttempt> earlier, TimeUs now);

struct StartRequest {
  const ClassSettings& query_class;
  const EngineEntry* engine = nullptr;  // null: not listed
  bool query_ended = false;
  TimeUs stop_at = 0;  // the instant from which nobody waits for the attempt any more
  const PolicyLimits& limits;
  // The first start by another query under the same idempotency key; nullopt: none that may have run.
  std::optional<EarlierAttempt> earlier_try = std::nullopt;
};

// Why an attempt may not start now; kNone: its query has not ended, enough time is left, its engine is in
// service, and the query's other attempts and the earlier try under its key allow it.
Denial start_denied(const StartRequest& start, std::span<const EarlierAttempt> others, TimeUs now);

// Why this side may not close a client's connection now; kNone: it may.
inline Denial close_denied(std::size_t requests_without_answer) {
  return requests_without_answer > 0 ? Denial::kAnswerPending : Denial::kNone;
}

}  // namespace orchidgw
