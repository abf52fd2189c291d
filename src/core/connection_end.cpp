#include "core/connection_end.h"

#include "decision/permission.h"

namespace orchidgw::core {

static_assert(kConnectionEndCount <= metrics::kMaxConnectionEnds);
static_assert(kDenialCount == metrics::kMaxDenials);
static_assert(static_cast<std::size_t>(OutcomeKind::kNotSent) + 1 == metrics::kMaxOutcomes);

metrics::CounterNames counter_names() {
  return {[](std::size_t i) { return name_of(static_cast<OutcomeKind>(i)); },
          [](std::size_t i) {
            return i < kConnectionEndCount ? name_of(static_cast<ConnectionEnd>(i)) : nullptr;
          },
          [](std::size_t i) { return orchidgw::name_of(static_cast<Denial>(i)); }};
}

const char* name_of(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kRefused:
      return "refused";
    case ConnectionEnd::kConnectTimeout:
      return "not_up_in_time";
    case ConnectionEnd::kUnreachable:
      return "unreachable";
    case ConnectionEnd::kNoDescriptor:
      return "no_descriptor";
    case ConnectionEnd::kResetUnsent:
      return "reset_unsent";
    case ConnectionEnd::kResetUnanswered:
      return "reset_unanswered";
    case ConnectionEnd::kResetMidAnswer:
      return "reset_mid_answer";
    case ConnectionEnd::kClosedIdle:
      return "closed_idle";
    case ConnectionEnd::kClosedUnsent:
      return "closed_unsent";
    case ConnectionEnd::kClosedUnanswered:
      return "closed_unanswered";
    case ConnectionEnd::kClosedMidAnswer:
      return "closed_mid_answer";
    case ConnectionEnd::kSilent:
      return "silent";
    case ConnectionEnd::kUnreadable:
      return "unreadable";
    case ConnectionEnd::kDroppedUnsent:
      return "dropped_unsent";
    case ConnectionEnd::kDropped:
      return "dropped";
    case ConnectionEnd::kIdleExpired:
      return "idle_expired";
    case ConnectionEnd::kAttemptOver:
      return "attempt_over";
    case ConnectionEnd::kLimitExceeded:
      return "too_much";
    case ConnectionEnd::kEvicted:
      return "made_room";
    case ConnectionEnd::kAddressChanged:
      return "moved";
    case ConnectionEnd::kShutDown:
      return "shut_down";
    case ConnectionEnd::kIntentNotStored:
      return "no_intent";
    case ConnectionEnd::kKeyHeld:
      return "key_rests";
    case ConnectionEnd::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

const char* name_of(OutcomeKind kind) {
  switch (kind) {
    case OutcomeKind::kOk:
      return "ok";
    case OutcomeKind::kError:
      return "error";
    case OutcomeKind::kFull:
      return "full";
    case OutcomeKind::kTimeout:
      return "timeout";
    case OutcomeKind::kConnectFailed:
      return "connect_failed";
    case OutcomeKind::kReset:
      return "reset";
    case OutcomeKind::kCancelled:
      return "cancelled";
    case OutcomeKind::kNotSent:
      return "moot";
  }
  return "unknown";
}

bool may_have_arrived(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kRefused:
    case ConnectionEnd::kConnectTimeout:
    case ConnectionEnd::kUnreachable:
    case ConnectionEnd::kNoDescriptor:
    case ConnectionEnd::kResetUnsent:
    case ConnectionEnd::kClosedIdle:
    case ConnectionEnd::kClosedUnsent:
    case ConnectionEnd::kDroppedUnsent:
    case ConnectionEnd::kIdleExpired:
    case ConnectionEnd::kAttemptOver:
    case ConnectionEnd::kIntentNotStored:
    case ConnectionEnd::kKeyHeld:
    case ConnectionEnd::kWithdrawn:
      return false;
    case ConnectionEnd::kResetUnanswered:
    case ConnectionEnd::kResetMidAnswer:
    case ConnectionEnd::kClosedUnanswered:
    case ConnectionEnd::kClosedMidAnswer:
    case ConnectionEnd::kSilent:
    case ConnectionEnd::kUnreadable:
    case ConnectionEnd::kDropped:
    case ConnectionEnd::kLimitExceeded:
    case ConnectionEnd::kEvicted:
    case ConnectionEnd::kAddressChanged:
    case ConnectionEnd::kShutDown:
      return true;
  }
  return true;
}

OutcomeKind outcome_of(ConnectionEnd end, bool may_have_started) {
  switch (end) {
    case ConnectionEnd::kSilent:
      return OutcomeKind::kTimeout;
    case ConnectionEnd::kUnreadable:
      return OutcomeKind::kError;
    case ConnectionEnd::kDroppedUnsent:
    case ConnectionEnd::kDropped:
      return OutcomeKind::kCancelled;
    // A call that this process could not open a socket for, or withdrew, says nothing about the engine.
    // Otherwise all engines at once would be taken for faulty while this process is short of descriptors.
    case ConnectionEnd::kNoDescriptor:
    case ConnectionEnd::kWithdrawn:
      return may_have_started ? OutcomeKind::kReset : OutcomeKind::kNotSent;
    default:  // all others show only whether the query may have run
      return may_have_started || may_have_arrived(end) ? OutcomeKind::kReset : OutcomeKind::kConnectFailed;
  }
}

}  // namespace orchidgw::core
