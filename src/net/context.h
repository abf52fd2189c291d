// What all parts of net/ share: event loop, buffers, counters, log, and the sink for events.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "core/events.h"
#include "decision/permission.h"
#include "log/log.h"
#include "metrics/counters.h"
#include "net/buffer_pool.h"
#include "net/reactor.h"

namespace orchidgw::net {

struct Context {
  Reactor& reactor;
  BufferPool& pool;
  metrics::Counters& counters;
  log::Logger& log;
  std::function<void(core::Event)> post;        // queues an event for the next turn
  std::function<bool()> under_memory_pressure;  // no memory for new work: stop reading and accepting
  // Called immediately before the first byte of a query is sent to an engine; anything but Denial::kNone
  // forbids sending it.
  std::function<Denial(core::CallId)> start_denied;
  // Objects that closed themselves inside one of their own callbacks; destroyed between turns.
  std::vector<std::shared_ptr<void>> pending_destruction;
  // For how long (us) the event loop has been stalled so far (`StallTracker`).
  TimeUs stalled_time = 0;
  // The earliest time at which what is read now can have arrived on a connection that was watched since the
  // last turn and had nothing unread then (`StallTracker`).
  TimeUs earliest_arrival = 0;
};

}  // namespace orchidgw::net
