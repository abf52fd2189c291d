#include "net/loop_ticker.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>

#include "base/system_call.h"

namespace orchidgw::net {
namespace {

constexpr long kPeriodNs = 100'000'000;

// The descriptor of a running timer, or -1 with errno set.
int open_timer() {
  const int fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (fd < 0) return -1;
  itimerspec timer{};
  timer.it_value.tv_nsec = kPeriodNs;
  timer.it_interval.tv_nsec = kPeriodNs;
  if (timerfd_settime(fd, 0, &timer, nullptr) == 0) return fd;
  const int error = errno;
  ::close(fd);
  errno = error;
  return -1;
}

}  // namespace

LoopTicker::LoopTicker(Reactor& reactor) {
  const int fd = open_timer();
  if (fd < 0) {
    const SystemCallError error(SystemCall::kTimerDescriptor, errno, "start");
    if (error.is_transient()) throw error;
    return;
  }
  channel_ = std::make_unique<Channel>(reactor, fd, *this);
  channel_->want_read(true);
}

// Only resets the timer's descriptor: the reactor runs a turn whenever its wait ends.
void LoopTicker::on_readable() {
  std::uint64_t periods = 0;
  if (::read(channel_->fd(), &periods, sizeof periods) == 0) close();
}

void LoopTicker::close() {
  if (channel_) channel_->close();
}

}  // namespace orchidgw::net
