#include "net/reactor.h"

namespace orchidgw::net {
namespace {

constexpr TimeUs kUsPerMs = 1000;

}  // namespace

// The poll truncates its time-out to whole milliseconds. It is rounded up here, so that the loop does not
// spin through the last millisecond.
void Reactor::run_turn() {
  const TimeUs wait = turn_();
  const TimeUs rounded = (wait + kUsPerMs - 1) / kUsPerMs * kUsPerMs;
  setTimeout(Poco::Timespan(rounded));
}

}  // namespace orchidgw::net
