// A start is tried again while a call fails for want of something that others give back.
#pragma once

#include <functional>

namespace orchidgw::net {

enum class StartResult { kStarted, kStopRequested };

// Calls `start` until it returns, with a growing pause between the tries. Everything that a failed try opened
// has to be closed when its exception leaves it. Throws std::runtime_error with the call, its error and the
// count of tries when the time for them is over, and at once what no further try can mend. A SIGTERM or
// SIGINT that waits ends the tries: signals are held (`hold_signals`).
StartResult start_with_retries(const std::function<void()>& start);

}  // namespace orchidgw::net
