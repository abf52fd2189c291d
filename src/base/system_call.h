// Classifies errors of system calls, by call and error code: one table for start-up and normal operation. No
// I/O.
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
  kTryAtOnce,   // interrupted, or an error of a connection that has already ended
  kNothingNow,  // the call would block
  kTryLater,    // lack of a resource that may be freed later
  kOver,        // permanent: the connection, or the start, has failed
};

namespace detail {

struct ErrorRule {
  SystemCall call;
  int error;
  ErrorMeaning meaning;
};

inline constexpr std::array kErrorRules = {
    // Linux reports pending errors of the new connection here; the next connection may already be waiting.
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
    // The previous process may still hold the lock on its folder.
    ErrorRule{SystemCall::kLock, EWOULDBLOCK, ErrorMeaning::kTryLater},
    ErrorRule{SystemCall::kLock, ENOLCK, ErrorMeaning::kTryLater},
    // The limit on epoll watches, or a temporary shortage in a file system.
    ErrorRule{SystemCall::kEpoll, ENOSPC, ErrorMeaning::kTryLater},
    // POCO could not create its event descriptor.
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

// A failed system call: which call, on what (`what`: a path, an address), and its errno value.
class SystemCallError : public std::system_error {
 public:
  SystemCallError(SystemCall call, int error, const std::string& what)
      : std::system_error(error, std::generic_category(), what + ": " + name_of(call)), call_(call) {}

  SystemCall call() const { return call_; }
  // Whether the same call may succeed when it is repeated, now or later.
  bool may_pass() const {
    const ErrorMeaning meaning = meaning_of(call_, code().value());
    return meaning == ErrorMeaning::kTryLater || meaning == ErrorMeaning::kTryAtOnce;
  }

 private:
  SystemCall call_;
};

}  // namespace orchidgw
