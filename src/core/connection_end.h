// Every way in which a connection, or a call on it, can end, and the one mapping of these ends to outcomes.
#pragma once

#include <cstddef>

#include "decision/decision.h"
#include "metrics/counters.h"

namespace orchidgw::core {

enum class ConnectionEnd {
  kRefused,           // the host refused the connection: nothing listens on the port
  kConnectTimeout,    // not connected within the configured connect timeout
  kUnreachable,       // the operating system cannot reach the address
  kNoDescriptor,      // this process had no file descriptor free within the connect timeout
  kResetUnsent,       // reset before the whole call was written
  kResetUnanswered,   // reset after the call was written, before the first byte of an answer
  kResetMidAnswer,    // reset in the middle of an answer
  kClosedIdle,        // closed by the peer while no call was in progress
  kClosedUnsent,      // closed by the peer before the whole call was written
  kClosedUnanswered,  // closed by the peer after that, before the first byte of an answer
  kClosedMidAnswer,   // closed by the peer in the middle of an answer
  kSilent,            // no data, or no whole answer, within the time allowed
  kUnreadable,        // the data received violates the protocol or its size limits
  kDroppedUnsent,     // abandoned by this process before the whole call was written
  kDropped,           // abandoned by this process after that
  kIdleExpired,       // closed by this process: idle for too long
  kAttemptOver,       // closed by this process: idle, and its attempt needs no further call
  kLimitExceeded,     // closed by this process: the peer exceeded a bound on its requests or buffers
  kEvicted,           // closed by this process: idle or silent while new connections wait for a place
  kAddressChanged,    // closed by this process: the peer has a new address
  kShutDown,          // this process shuts down
  kIntentNotStored,   // never sent: the intent to send it could not be stored
  kKeyHeld,           // never sent: another query in the fleet holds its key and may have run
  kWithdrawn,         // never sent: no longer allowed, as when its engine drains or its client disconnects
};
inline constexpr std::size_t kConnectionEndCount = static_cast<std::size_t>(ConnectionEnd::kWithdrawn) + 1;

// The names under which the counters are printed: of outcomes, connection ends and denials.
metrics::CounterNames counter_names();

const char* name_of(ConnectionEnd end);
const char* name_of(OutcomeKind kind);

// Whether the peer may have received the whole of a call that ended this way.
bool may_have_arrived(ConnectionEnd end);

// The outcome that the decision module gets when a call of an attempt ends this way. With
// `may_have_started`, the engine may have the query from an earlier call: the end of a later call then cannot
// prove that the query never ran.
OutcomeKind outcome_of(ConnectionEnd end, bool may_have_started);

}  // namespace orchidgw::core
