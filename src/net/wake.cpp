#include "net/wake.h"

#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>

#include "base/system_call.h"

namespace orchidgw::net {

WakeupEvent::WakeupEvent() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (fd_ < 0) throw SystemCallError(SystemCall::kEventDescriptor, errno, "start");
}

int WakeupEvent::duplicate() const {
  const int fd = ::fcntl(fd_, F_DUPFD_CLOEXEC, 0);
  if (fd < 0) throw SystemCallError(SystemCall::kEventDescriptor, errno, "start");
  return fd;
}

WakeupEvent::~WakeupEvent() { ::close(fd_); }

void WakeupEvent::notify() {
  const std::uint64_t one = 1;
  static_cast<void>(!::write(fd_, &one, sizeof one));  // if the counter is full, the event is set already
}

void WakeupEvent::clear() {
  std::uint64_t count = 0;
  while (::read(fd_, &count, sizeof count) > 0) continue;
}

void block_signals_in_thread() {
  sigset_t all;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

}  // namespace orchidgw::net
