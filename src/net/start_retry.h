// Retries the start of the process while a system call fails for lack of a resource that others will release.
#pragma once

#include <functional>

namespace orchidgw::net {

enum class StartResult { kStarted, kStopRequested };

// Calls `start` until it returns without an exception, with exponentially growing pauses. A failed try must
// have closed everything that it opened. Throws std::runtime_error with the system call, its error and the
// number of tries once the time for them is over, and at once on an error that retrying cannot help. A
// pending SIGTERM or SIGINT ends the tries: signals must be blocked (`block_signals`).
StartResult start_with_retries(const std::function<void()>& start);

}  // namespace orchidgw::net
