// Signals as events of the loop: blocked for the process and read from a signalfd.
#pragma once

#include <functional>

#include "net/channel.h"

namespace orchidgw::net {

// Blocks the signals that `Signals` reads; they stay pending until it does. Also ignores SIGPIPE. Guards
// against signals during the start of the program: a SIGHUP for a reload ended it, or was lost after the old
// configuration had been read.
void block_signals();

class Signals final : public ChannelHandler {
 public:
  // Calls `on_signal` in the loop's thread with the number of each signal. Throws SystemCallError.
  Signals(Reactor& reactor, std::function<void(int)> on_signal);

  void on_readable() override;
  void on_writable() override {}
  void on_error() override {}
  void on_failure(const char*) override {}

 private:
  std::function<void(int)> on_signal_;
  Channel channel_;
};

}  // namespace orchidgw::net
