// Signals as events of the loop: blocked for the process and read from a descriptor.
#pragma once

#include <functional>

#include "net/channel.h"

namespace orchidgw::net {

// From here on signals wait until `Signals` reads them. Guards against one that comes while the program
// starts: a reload ended it, or was thrown away once the old configuration had been read.
void hold_signals();

class Signals final : public ChannelHandler {
 public:
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
