// What all parts of the net share: the loop, the buffers, the counters, the log, and where events go.
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
  std::function<void(core::Event)> post;  // acted on at the start of the next turn
  std::function<bool()> crowded;          // no memory for anything new: stop reading and accepting
  // Asked in the moment in which the first byte of a start is to go out.
  std::function<Denial(core::CallId)> start_denied;
  // Objects that closed themselves inside a callback of theirs; emptied between turns.
  std::vector<std::shared_ptr<void>> closed;
  // How long this process did not attend to its sockets so far (`Attention`).
  TimeUs lost = 0;
};

}  // namespace orchidgw::net
