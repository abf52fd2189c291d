// The one place that says when the parts of a planned shutdown are due. Whoever supervises this process sends
// SIGKILL no sooner than the longest deadline of the settings (counted as 3 s where it is longer) and 0.7 s
// after SIGTERM; clients may use their open connections until then.
#pragma once

#include <span>

#include "base/time.h"
#include "decision/decision.h"

namespace orchidgw {

struct ShutdownSchedule {
  TimeUs asked_at = 0;    // SIGTERM
  TimeUs close_from = 0;  // nobody is accepted any more; each client is closed behind its next answer
  TimeUs answer_by = 0;   // every request that was read has its final answer
  TimeUs end_by = 0;      // the process ends, whatever is still open
};

ShutdownSchedule shutdown_schedule(std::span<const ClassSettings> classes, TimeUs asked_at);

}  // namespace orchidgw
