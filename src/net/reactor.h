// POCO's SocketReactor with turns: what was read in one turn is acted on at the start of the next, which then
// comes at once. So list changes and outcomes that lie ready go in before new queries.
#pragma once

#include <Poco/Net/SocketReactor.h>

#include <functional>

#include "decision/decision.h"

namespace orchidgw::net {

class Reactor final : public Poco::Net::SocketReactor {
 public:
  // `turn` acts on what has been read and says how long the reactor may wait for more.
  explicit Reactor(std::function<TimeUs()> turn) : turn_(std::move(turn)) {}

  // Something was read: the next turn comes without waiting.
  void hurry() { setTimeout(Poco::Timespan(0)); }

 protected:
  void onBusy() override { run_turn(); }
  // The base class would call every handler here, whether it wants to hear of it or not.
  void onTimeout() override { run_turn(); }
  void onIdle() override { run_turn(); }

 private:
  void run_turn();
  std::function<TimeUs()> turn_;
};

}  // namespace orchidgw::net
