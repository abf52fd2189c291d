// What is known of a query that must not run twice, before it is taken on.
#pragma once

#include "decision/decision.h"

namespace orchidgw::core {

enum class KeyVerdict {
  kNew,
  kMayHaveRun,  // sent by a process before this one, and its window is not over
  kNoRoom       // no intent can be kept: it must not be sent
};

// How long a query of that class rests once sent: as long as engines remember it, else as long as it may run.
inline TimeUs rest_of(const ClassSettings& c) { return c.repeat_window > 0 ? c.repeat_window : c.deadline; }

}  // namespace orchidgw::core
