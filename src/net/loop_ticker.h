// Wakes the event loop periodically by the monotonic clock, whichever clock its own wait depends on.
#pragma once

#include <memory>

#include "net/channel.h"
#include "net/reactor.h"

namespace orchidgw::net {

// Guards against a loop that sleeps too long: when a signal (for example SIGCONT) interrupts its wait, POCO
// computes the remaining time from the wall clock, and if that is stepped back meanwhile, the wait is
// prolonged by as much.
class LoopTicker final : public ChannelHandler {
 public:
  // Throws SystemCallError if the timer cannot be had for the moment, for example for lack of descriptors. If
  // the system has no such timers, the loop runs without.
  explicit LoopTicker(Reactor& reactor);

  void close();

  void on_readable() override;
  void on_writable() override {}
  void on_error() override { close(); }
  void on_failure(const char*) override { close(); }

 private:
  std::unique_ptr<Channel> channel_;
};

}  // namespace orchidgw::net
