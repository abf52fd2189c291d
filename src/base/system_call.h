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

enum class ErrorClass {
  kRetryNow,    // interrupted, or an error of a connection that has already ended
  kWouldBlock,  // the call would block
  kRetryLater,  // lack of a resource that may be freed later
  kPermanent,   // the connection, or the start, has failed
};

namespace detail {

struct ErrorRule {
  SystemCall call;
  int error;
  ErrorClass meaning;
};

inline constexpr std::array kErrorRules = {
    // Linux reports pending errors of the new connection here; the next connection may already be waiting.
    ErrorRule{SystemCall::kAccept, ECONNABORTED, ErrorClass::kRetryNow},
    ErrorRule{SystemCall::kAccept, EPROTO, ErrorClass::kRetryNow},
    ErrorRule{SystemCall::kAccept, EPERM, ErrorClass::kRetryNow},
    ErrorRule{SystemCall::kAccept, ENETDOWN, ErrorClass::kRetryNow},
    ErrorRule{SystemCall::kAccept, ENETUNREACH, ErrorClass::kRetryNow},
    ErrorRule{SystemCall::kAccept, EHOSTUNREACH, ErrorClass::kRetryNow},
    ErrorRule{SystemCall::kAccept, EAGAIN, ErrorClass::kWouldBlock},
    ErrorRule{SystemCall::kReceive, EAGAIN, ErrorClass::kWouldBlock},
    ErrorRule{SystemCall::kSend, EAGAIN, ErrorClass::kWouldBlock},
    // No local port is free.
    ErrorRule{SystemCall::kConnect, EADDRNOTAVAIL, ErrorClass::kRetryLater},
    // The previous process may still hold the lock on its folder.
    ErrorRule{SystemCall::kLock, EWOULDBLOCK, ErrorClass::kRetryLater},
    ErrorRule{SystemCall::kLock, ENOLCK, ErrorClass::kRetryLater},
    // The limit on epoll watches, or a temporary shortage in a file system.
    ErrorRule{SystemCall::kEpoll, ENOSPC, ErrorClass::kRetryLater},
    // POCO could not create its event descriptor.
    ErrorRule{SystemCall::kEpoll, EBADF, ErrorClass::kRetryLater},
    ErrorRule{SystemCall::kFile, EBUSY, ErrorClass::kRetryLater},
    ErrorRule{SystemCall::kFile, ETXTBSY, ErrorClass::kRetryLater},
};

}  // namespace detail

inline ErrorClass classify_error(SystemCall call, int error) {
  for (const detail::ErrorRule& rule : detail::kErrorRules)
    if (rule.call == call && rule.error == error) return rule.meaning;
  switch (error) {
    case EINTR:
      return ErrorClass::kRetryNow;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EAGAIN:
      return ErrorClass::kRetryLater;
    default:
      return ErrorClass::kPermanent;
  }
}

// A failed system call: which call, on what (`what`: a path, an address), and its errno value.
class SystemCallError : public std::system_error {
 public:
  SystemCallError(SystemCall call, int error, const std::string& what)
      : std::system_error(error, std::generic_category(), what + ": " + name_of(call)), call_(call) {}

  SystemCall call() const { return call_; }
  // Whether the same call may succeed when it is repeated, now or later.
  bool is_transient() const {
    const ErrorClass meaning = classify_error(call_, code().value());
    return meaning == ErrorClass::kRetryLater || meaning == ErrorClass::kRetryNow;
  }

 private:
  SystemCall call_;
};

}  // namespace orchidgw
