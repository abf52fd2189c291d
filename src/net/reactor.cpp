#include "net/reactor.h"

namespace orchidgw::net {
namespace {

constexpr TimeUs kUsPerMs = 1000;

}  // namespace

// The poll counts whole milliseconds and cuts off the rest: rounded up here, lest it spin through the last
// one.
void Reactor::run_turn() {
  const TimeUs wait = turn_();
  const TimeUs rounded = (wait + kUsPerMs - 1) / kUsPerMs * kUsPerMs;
  setTimeout(Poco::Timespan(rounded));
}

}  // namespace orchidgw::net
