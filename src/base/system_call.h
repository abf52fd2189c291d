// What a failing system call means, for each call and error: the one table, for the start and for service
// alike. No I/O.
#pragma once

#include <array>
#include <cerrno>
#include <string>
#include <system_error>

namespace orchidgw {

enum class SystemCall {
  kSocket,
  kBind,
  kListen,
  kAccept,
  kConnect,
  kReceive,
  kSend,
  kEpoll,
  kEventDescriptor,
  kTimerDescriptor,
  kSignalDescriptor,
  kFile,  // open, read and stat of a file
  kLock,  // of a file
  kThread,
};

inline const char* name_of(SystemCall call) {
  constexpr std::array<const char*, 14> kNames = {
      "socket", "bind",    "listen",         "accept",   "connect", "recv",      "send",
      "epoll",  "eventfd", "timerfd_create", "signalfd", "open",    "file lock", "thread"};
  return kNames[static_cast<std::size_t>(call)];
}

enum class ErrorMeaning {
  kTryAtOnce,   // interrupted, or the error of a connection that is gone already
  kNothingNow,  // it would have to wait
  kTryLater,    // something is lacking that others give back
  kOver,        // this connection, or this start, is over
};

namespace detail {

struct ErrorRule {
  SystemCall call;
  int error;
  ErrorMeaning meaning;
};

inline constexpr std::array kErrorRules = {
    // Linux passes errors of the new connection on: the next one may wait behind it.
    ErrorRule{SystemCall::kAccept, ECONNABORTED, ErrorMeaning::kTryAtOnce},
    ErrorRule{SystemCall::kAccept, EPROTO, ErrorMeaning::kTryAtOnce},
    ErrorRule{SystemCall::kAccept, EPERM, ErrorMeaning::kTryAtOnce},
    ErrorRule{SystemCall::kAccept, ENETDOWN, ErrorMeaning::kTryAtOnce},
    ErrorRule{SystemCall::kAccept, ENETUNREACH, ErrorMeaning::kTryAtOnce},
    ErrorRule{SystemCall::kAccept, EHOSTUNREACH, ErrorMeaning::kTryAtOnce},
    ErrorRule{SystemCall::kAccept, EAGAIN, ErrorMeaning::kNothingNow},
    ErrorRule{SystemCall::kReceive, EAGAIN, ErrorMeaning::kNothingNow},
    ErrorRule{SystemCall::kSend, EAGAIN, ErrorMeaning::kNothingNow},
    // No local port is free.
    ErrorRule{SystemCall::kConnect, EADDRNOTAVAIL, ErrorMeaning::kTryLater},
    // The process before this one may still hold its folder.
    ErrorRule{SystemCall::kLock, EWOULDBLOCK, ErrorMeaning::kTryLater},
    ErrorRule{SystemCall::kLock, ENOLCK, ErrorMeaning::kTryLater},
    // A limit on watches, or on what a file system has for a moment.
    ErrorRule{SystemCall::kEpoll, ENOSPC, ErrorMeaning::kTryLater},
    // POCO's event descriptor could not be had.
    ErrorRule{SystemCall::kEpoll, EBADF, ErrorMeaning::kTryLater},
    ErrorRule{SystemCall::kFile, EBUSY, ErrorMeaning::kTryLater},
    ErrorRule{SystemCall::kFile, ETXTBSY, ErrorMeaning::kTryLater},
};

}  // namespace detail

inline ErrorMeaning meaning_of(SystemCall call, int error) {
  for (const detail::ErrorRule& rule : detail::kErrorRules)
    if (rule.call == call && rule.error == error) return rule.meaning;
  switch (error) {
    case EINTR:
      return ErrorMeaning::kTryAtOnce;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EAGAIN:
      return ErrorMeaning::kTryLater;
    default:
      return ErrorMeaning::kOver;
  }
}

// A call that failed: which one, for what, and why.
class SystemCallError : public std::system_error {
 public:
  SystemCallError(SystemCall call, int error, const std::string& what)
      : std::system_error(error, std::generic_category(), what + ": " + name_of(call)), call_(call) {}

  SystemCall call() const { return call_; }
  bool may_pass() const {
    const ErrorMeaning meaning = meaning_of(call_, code().value());
    return meaning == ErrorMeaning::kTryLater || meaning == ErrorMeaning::kTryAtOnce;
  }

 private:
  SystemCall call_;
};

}  // namespace orchidgw
