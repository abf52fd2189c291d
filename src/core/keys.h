// What is known about a query that must not run twice, before it is accepted.
#pragma once

#include "decision/decision.h"

namespace orchidgw::core {

enum class KeyStatus {
  kNew,
  kMayHaveRun,  // a previous process sent it, and the time for which its key is held is not over
  kUnavailable  // the intent to send it cannot be stored now: it must not be sent
};

// How long the key of a query of that class is held once the query is sent, so that it is not sent again: the
// class's repeat window, for which engines remember a query; where there is no such window its deadline, as
// long as the query may run.
inline TimeUs key_hold_of(const ClassSettings& c) {
  return c.repeat_window > 0 ? c.repeat_window : c.deadline;
}

}  // namespace orchidgw::core
