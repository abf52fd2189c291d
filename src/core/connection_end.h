// Every way in which a connection, or a call on it, can end: one value of one type, mapped in one place.
#pragma once

#include <cstddef>

#include "decision/decision.h"
#include "metrics/counters.h"

namespace orchidgw::core {

enum class ConnectionEnd {
  kRefused,           // the machine answered that nobody listens
  kNotUpInTime,       // no connection within the settings' connect time-out
  kUnreachable,       // the system found no way to the address
  kNoDescriptor,      // none of ours was free in that time
  kResetUnsent,       // reset before the whole call was written
  kResetUnanswered,   // reset after that, before the first byte of an answer
  kResetMidAnswer,    // reset inside an answer
  kClosedIdle,        // closed by the other side with no call on it
  kClosedUnsent,      // closed by the other side before the whole call was written
  kClosedUnanswered,  // closed by the other side, no byte of an answer
  kClosedMidAnswer,   // closed by the other side inside an answer
  kSilent,            // nothing came in the time that the call had
  kUnreadable,        // what came breaks the protocol or its bounds
  kDroppedUnsent,     // given up by us before the whole call was written
  kDropped,           // given up by us after that
  kIdleExpired,       // idle for long: closed by us
  kAttemptOver,       // idle when the last call of its attempt had been answered: closed by us
  kTooMuch,           // the other side asked for more, or held more, than its bounds: closed by us
  kMadeRoom,          // idle or silent while others wait for its place: closed by us
  kMoved,             // the other side is at another address now: closed by us
  kShutDown,          // this process ends
  kNoIntent,          // never sent: that it would be could not be stored
  kKeyRests,          // never sent: another query of the fleet has its key, and may have run
  kWithdrawn,         // never sent: its engine drains or is gone, or its client has left
};
inline constexpr std::size_t kConnectionEnds = static_cast<std::size_t>(ConnectionEnd::kWithdrawn) + 1;

// What counters call the two.
metrics::Names counter_names();

const char* name_of(ConnectionEnd end);
const char* name_of(OutcomeKind kind);

// Whether the call that ended so can have come whole to the other side.
bool may_have_arrived(ConnectionEnd end);

// What an attempt's end means to the module. `started`: the engine may have the query from an earlier call,
// so no end of a later one can prove that it never ran.
OutcomeKind outcome_of(ConnectionEnd end, bool started);

}  // namespace orchidgw::core
