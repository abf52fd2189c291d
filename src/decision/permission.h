// The one place that says whether a query may be sent, repeated or refused now, and whether a client may be
// closed now. The decision module asks before it chooses; the reducer asks again when the module wants
// something done, and once more in the moment in which the first byte of a start goes out, since time passes
// in between.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "base/time.h"
#include "decision/decision.h"

namespace orchidgw {

// Why something may not be done now.
enum class Denial : std::uint8_t {
  kNone,             // it may
  kQueryOver,        // answered, or its client has gone
  kOutOfTime,        // the client has nearly nothing left to wait
  kEngineLeaving,    // drains, is gone or is not listed
  kTooManyAttempts,  // the settings allow no further one
  kAttemptOut,       // another attempt is out, and two at once are not allowed
  kMayHaveRun,       // an earlier attempt may have run, and the class must not run twice
  kOutsideScope,     // likewise, and that engine does not know of it
  kWindowOver,       // likewise, and engines may have forgotten it
  kAnswerOwed,       // a request was read and has no answer yet
};
inline constexpr std::size_t kDenials = 10;

const char* name_of(Denial denial);

// What the rules ask of an attempt that was made before.
struct EarlierAttempt {
  TimeUs sent_at = 0;
  bool out = false;           // its engine may still work on it
  bool may_have_run = false;  // nothing proves that it did not
  std::string_view zone;      // of its engine, as is the cell
  int cell = 0;
  bool unsent = false;  // over, and not a byte of it was sent
};

// Not a byte of an attempt that ended so was sent.
inline bool never_sent(OutcomeKind kind) {
  return kind == OutcomeKind::kConnectFailed || kind == OutcomeKind::kMoot;
}

// The attempts that a query had.
struct AttemptCounts {
  int sent = 0;    // or still out
  int unsent = 0;  // over, and never sent
};

// Whether the settings allow one more.
bool attempts_left(const Limits& limits, AttemptCounts made);

// Whether another attempt may follow that one, at that engine.
Denial repeat_denied(const ClassSettings& query_class, const EarlierAttempt& earlier, const EngineEntry& to,
                     TimeUs now);

// Whether a refusal, which calls another try harmless, may follow that attempt.
Denial refusal_denied(const ClassSettings& query_class, const EarlierAttempt& earlier);

struct StartRequest {
  const ClassSettings& query_class;
  const EngineEntry* to = nullptr;  // null: not listed
  bool query_over = false;
  TimeUs stop_at = 0;  // nobody waits for the attempt any more from then on
  const Limits& limits;
};

// Whether an attempt may start now: its query waits for it, there is time left, its engine takes queries, and
// each of the other attempts allows it.
Denial start_denied(const StartRequest& start, std::span<const EarlierAttempt> others, TimeUs now);

// Whether a client's connection may be closed by this side now.
inline Denial close_denied(std::size_t requests_without_answer) {
  return requests_without_answer > 0 ? Denial::kAnswerOwed : Denial::kNone;
}

}  // namespace orchidgw
