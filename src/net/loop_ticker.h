// Wakes the loop at a steady pace of the monotonic clock, whatever its own wait is counted by.
#pragma once

#include <memory>

#include "net/channel.h"
#include "net/reactor.h"

namespace orchidgw::net {

// Guards against a loop that sleeps on: where a signal interrupts its wait (SIGCONT does), POCO takes what is
// left of it from the wall clock, and a step back in that moment prolongs the wait by as much.
class LoopTicker final : public ChannelHandler {
 public:
  // Throws SystemCallError where the system lacks a descriptor for a moment; where it has no such timers, the
  // loop goes on without.
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
