// POCO's SocketReactor with turns: what was read in one turn is acted on at the start of the next, which then
// comes at once. So engine list changes and outcomes that were read together with new queries come before
// them.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>

#include "decision/decision.h"

namespace orchidgw::net {

class Reactor final : public Poco::Net::SocketReactor {
 public:
  // `turn` acts on what has been read and returns how long (us) the reactor may wait for more.
  explicit Reactor(std::function<TimeUs()> turn) : turn_(std::move(turn)) {}

  // Makes the next turn come without waiting, for example because something was read.
  void skip_next_wait() { setTimeout(Poco::Timespan(0)); }

 protected:
  void onBusy() override { run_turn(); }
  // The base class would notify every handler here.
  void onTimeout() override { run_turn(); }
  void onIdle() override { run_turn(); }

 private:
  void run_turn();
  std::function<TimeUs()> turn_;
};

}  // namespace orchidgw::net
