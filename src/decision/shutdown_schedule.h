// Computes when the steps of a planned shutdown are due; no other code does. The supervisor of this process
// sends SIGKILL no sooner than the longest deadline in the settings (at most 3 s of it) plus 0.7 s after
// SIGTERM; until then clients may use their open connections.
#pragma once

#include <span>

#include "base/time.h"
#include "decision/decision.h"

namespace orchidgw {

struct ShutdownSchedule {
  TimeUs asked_at = 0;    // SIGTERM was sent
  TimeUs close_from = 0;  // from here on: no new connections; each open one is closed after its next answer
  TimeUs answer_by = 0;   // every request that was read has its final answer
  TimeUs end_by = 0;      // the process ends at the latest, whatever is still open
};

// `asked_at`: when SIGTERM was sent, or the earliest time at which it can have been, where that is not known.
// All times are instants on its clock.
ShutdownSchedule shutdown_schedule(std::span<const ClassSettings> classes, TimeUs asked_at);

}  // namespace orchidgw
