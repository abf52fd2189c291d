#include "net/signals.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "base/system_call.h"

namespace orchidgw::net {
namespace {

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGUSR1);
  sigaddset(&set, SIGHUP);  // guards against a reload that ends the process
  return set;
}

int open_signal_descriptor() {
  block_signals();
  const sigset_t set = handled_signals();
  const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0) throw SystemCallError(SystemCall::kSignalDescriptor, errno, "start");
  return fd;
}

}  // namespace

void block_signals() {
  ::signal(SIGPIPE, SIG_IGN);
  const sigset_t set = handled_signals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
}

Signals::Signals(Reactor& reactor, std::function<void(int)> on_signal)
    : on_signal_(std::move(on_signal)), channel_(reactor, open_signal_descriptor(), *this) {
  channel_.want_read(true);
}

void Signals::on_readable() {
  signalfd_siginfo info{};
  while (::read(channel_.fd(), &info, sizeof info) == static_cast<ssize_t>(sizeof info))
    on_signal_(static_cast<int>(info.ssi_signo));
}

}  // namespace orchidgw::net
