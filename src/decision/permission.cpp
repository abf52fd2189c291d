#include "decision/permission.h"

#include <algorithm>
#include <array>
#include <limits>

namespace orchidgw {
namespace {

// Engines get their time limit in whole milliseconds: with less left they would get more than there is.
constexpr TimeUs kMinTimeLeft = 1000;
// Failed connects are bounded too, by this multiple of the attempts allowed: guards against a query that is
// tried over and over at engines that are all down.
constexpr int kMaxUnsentPerAttempt = 4;

bool refusal_is_safe(const ClassSettings& query_class, const EarlierAttempt& earlier, TimeUs now) {
  if (query_class.effect == Effect::kIdempotent) return true;
  if (query_class.effect != Effect::kDeduplicated || query_class.repeat_scope != RepeatScope::kAll)
    return false;
  return !earlier.of_earlier_try || now < earlier.sent_at + query_class.repeat_window;
}

AttemptCounts count_attempts(std::span<const EarlierAttempt> attempts) {
  AttemptCounts counts;
  for (const EarlierAttempt& attempt : attempts) ++(attempt.unsent ? counts.unsent : counts.sent);
  return counts;
}

}  // namespace

const char* name_of(Denial denial) {
  constexpr std::array<const char*, kDenialCount> kNames = {
      "none",        "query_over",   "out_of_time",   "engine_leaving", "too_many_attempts",
      "attempt_out", "may_have_run", "outside_scope", "window_over",    "answer_owed"};
  return kNames[static_cast<std::size_t>(denial)];
}

bool has_attempts_left(const PolicyLimits& limits, AttemptCounts made) {
  const int counted = made.sent + (limits.count_unsent_attempts ? made.unsent : 0);
  return counted < limits.max_attempts && made.unsent < kMaxUnsentPerAttempt * limits.max_attempts;
}

Denial repeat_denied(const ClassSettings& query_class, const EarlierAttempt& earlier, const EngineEntry& to,
                     TimeUs now) {
  if (!earlier.may_have_run || query_class.effect == Effect::kIdempotent) return Denial::kNone;
  if (query_class.effect == Effect::kAtMostOnce) return Denial::kMayHaveRun;
  if (query_class.repeat_scope == RepeatScope::kZone && earlier.zone != to.zone) return Denial::kOutsideScope;
  if (query_class.repeat_scope == RepeatScope::kCell && earlier.cell != to.cell) return Denial::kOutsideScope;
  if (now >= earlier.sent_at + query_class.repeat_window) return Denial::kWindowOver;
  return Denial::kNone;
}

Denial repeat_denied(const ClassSettings& query_class, std::span<const EarlierAttempt> earlier,
                     const EngineEntry& to, TimeUs now) {
  for (const EarlierAttempt& attempt : earlier)
    if (const Denial denial = repeat_denied(query_class, attempt, to, now); denial != Denial::kNone)
      return denial;
  return Denial::kNone;
}

TimeUs repeat_window_end(const ClassSettings& query_class, std::span<const EarlierAttempt> earlier) {
  TimeUs end = std::numeric_limits<TimeUs>::max();
  if (query_class.effect != Effect::kDeduplicated) return end;
  for (const EarlierAttempt& attempt : earlier)
    if (attempt.may_have_run) end = std::min(end, attempt.sent_at + query_class.repeat_window);
  return end;
}

Denial refusal_denied(const ClassSettings& query_class, const EarlierAttempt& earlier, TimeUs now) {
  if (!earlier.may_have_run || refusal_is_safe(query_class, earlier, now)) return Denial::kNone;
  return Denial::kMayHaveRun;
}

Denial refusal_denied(const ClassSettings& query_class, std::span<const EarlierAttempt> earlier, TimeUs now) {
  for (const EarlierAttempt& attempt : earlier)
    if (const Denial denial = refusal_denied(query_class, attempt, now); denial != Denial::kNone)
      return denial;
  return Denial::kNone;
}

Denial start_denied(const StartRequest& start, std::span<const EarlierAttempt> others, TimeUs now) {
  if (start.query_ended) return Denial::kQueryOver;
  if (start.stop_at - now < kMinTimeLeft) return Denial::kOutOfTime;
  if (start.engine == nullptr || start.engine->state != EngineState::kInService)
    return Denial::kEngineLeaving;
  if (!has_attempts_left(start.limits, count_attempts(others))) return Denial::kTooManyAttempts;
  for (const EarlierAttempt& other : others) {
    if (other.in_flight && !start.limits.second_copies) return Denial::kAttemptInFlight;
    const Denial denial = repeat_denied(start.query_class, other, *start.engine, now);
    if (denial != Denial::kNone) return denial;
  }
  return start.earlier_try ? repeat_denied(start.query_class, *start.earlier_try, *start.engine, now)
                           : Denial::kNone;
}

}  // namespace orchidgw
