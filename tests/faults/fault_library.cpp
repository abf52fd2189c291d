// Preloaded into controller processes by the tests: steps their wall clock and makes their system calls fail.
// It calls the kernel directly, so that it works before the C library and a sanitizer's interceptors are set
// up.
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <iterator>
#include <span>
#include <string_view>

#include "fault_page.h"

namespace orchidgw::faults {
namespace {

constexpr std::int64_t kUsPerSecond = 1'000'000;
constexpr std::int64_t kNsPerUs = 1000;
constexpr std::int64_t kUsPerMs = 1000;
constexpr std::uint64_t kRateScale = 1'000'000;

struct WallStep {
  std::int64_t by_us = 0;
  std::int64_t at_us = 0;  // on the monotonic clock
};

std::int64_t monotonic_us() {
  timespec now{};
  ::syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return now.tv_sec * kUsPerSecond + now.tv_nsec / kNsPerUs;
}

FaultPage* map_page() {
  const char* path = std::getenv(kPageVariable);
  if (path == nullptr) return nullptr;
  const int fd = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC));
  if (fd < 0) return nullptr;
  void* address = ::mmap(nullptr, sizeof(FaultPage), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  return address == MAP_FAILED ? nullptr : static_cast<FaultPage*>(address);
}

// Null: the process was started without a page.
FaultPage* page() {
  static FaultPage* const mapped = map_page();
  return mapped;
}

WallStep read_wall_step() {
  const char* text = std::getenv(kWallStepVariable);
  if (text == nullptr) return {};
  char* end = nullptr;
  const std::int64_t by_us = std::strtoll(text, &end, 10);
  const std::int64_t after_ms = *end == '@' ? std::strtoll(end + 1, nullptr, 10) : 0;
  return {by_us, monotonic_us() + after_ms * kUsPerMs};
}

std::int64_t wall_offset_us() {
  static const WallStep step = read_wall_step();
  std::int64_t offset = page() == nullptr ? 0 : page()->wall_offset_us.load();
  if (step.by_us != 0 && monotonic_us() >= step.at_us) offset += step.by_us;
  return offset;
}

// SplitMix64. Each process has its own sequence, the same for the same seed and the same calls.
std::uint64_t next_random() {
  static std::atomic<std::uint64_t> state{page()->seed.load() * 0x9e3779b97f4a7c15ULL};
  std::uint64_t x = state.fetch_add(0x9e3779b97f4a7c15ULL) + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Whether this call has to fail; counts it then.
bool should_inject(CallFault fault) {
  if (page() == nullptr) return false;
  const auto index = static_cast<std::size_t>(fault);
  const std::uint32_t rate = page()->per_million[index].load();
  if (rate == 0 || next_random() % kRateScale >= rate) return false;
  page()->injected[index].fetch_add(1);
  return true;
}

int fail_with_one_of(std::span<const int> errors) {
  errno = errors[next_random() % errors.size()];
  return -1;
}

bool inject_interrupt() {
  if (!should_inject(CallFault::kInterrupted)) return false;
  errno = EINTR;
  return true;
}

std::size_t shorten_transfer(std::size_t size) {
  if (size < 2 || !should_inject(CallFault::kShortTransfer)) return size;
  return 1 + next_random() % (size - 1);
}

constexpr int kDescriptorErrors[] = {EMFILE, ENFILE, ENOMEM};

// Descriptors that this process connected itself. Streams of clients are not broken here: a request that was
// lost with its stream could not be distinguished from one that the program lost.
constexpr std::size_t kMaxDescriptors = 4096;
std::array<std::atomic<bool>, kMaxDescriptors> connected_here{};

void set_connected_here(int fd, bool here) {
  if (fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors)
    connected_here[static_cast<std::size_t>(fd)] = here;
}

bool connected_by_this_process(int fd) {
  return fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors &&
         connected_here[static_cast<std::size_t>(fd)];
}

// Whether kOpenFails concerns this path.
bool open_may_fail(const char* path) {
  const FaultPage* faults = page();
  return faults != nullptr && std::string_view(path).ends_with(faults->open_path_end.data());
}

}  // namespace
}  // namespace orchidgw::faults

using orchidgw::faults::CallFault;

extern "C" {

int clock_gettime(clockid_t clock, timespec* out) {
  const long failed = ::syscall(SYS_clock_gettime, clock, out);
  if (failed != 0) return -1;
  if (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE) return 0;
  std::int64_t us = out->tv_nsec / orchidgw::faults::kNsPerUs + orchidgw::faults::wall_offset_us();
  std::int64_t seconds = us / orchidgw::faults::kUsPerSecond;
  us %= orchidgw::faults::kUsPerSecond;
  if (us < 0) {
    us += orchidgw::faults::kUsPerSecond;
    --seconds;
  }
  out->tv_sec += seconds;
  out->tv_nsec = us * orchidgw::faults::kNsPerUs + out->tv_nsec % orchidgw::faults::kNsPerUs;
  return 0;
}

int gettimeofday(timeval* out, void*) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  out->tv_sec = now.tv_sec;
  out->tv_usec = now.tv_nsec / orchidgw::faults::kNsPerUs;
  return 0;
}

time_t time(time_t* out) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = now.tv_sec;
  return now.tv_sec;
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout_ms) {
  if (orchidgw::faults::inject_interrupt()) return -1;
  return static_cast<int>(::syscall(SYS_epoll_pwait, fd, events, max_events, timeout_ms, nullptr, 0));
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  constexpr int kErrors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
  if (orchidgw::faults::inject_interrupt()) return -1;
  if (orchidgw::faults::connected_by_this_process(fd) &&
      orchidgw::faults::should_inject(CallFault::kReceiveFails)) {
    ::shutdown(fd, SHUT_RDWR);  // the peer sees the end of the stream, too
    return orchidgw::faults::fail_with_one_of(kErrors);
  }
  return ::syscall(SYS_recvfrom, fd, buffer, orchidgw::faults::shorten_transfer(size), flags, nullptr,
                   nullptr);
}

ssize_t send(int fd, const void* data, size_t size, int flags) {
  if (orchidgw::faults::inject_interrupt()) return -1;
  return ::syscall(SYS_sendto, fd, data, orchidgw::faults::shorten_transfer(size), flags, nullptr, 0);
}

int accept4(int fd, sockaddr* peer, socklen_t* size, int flags) {
  constexpr int kErrors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM};
  if (orchidgw::faults::inject_interrupt()) return -1;
  if (orchidgw::faults::should_inject(CallFault::kAcceptFails))
    return orchidgw::faults::fail_with_one_of(kErrors);
  const int accepted = static_cast<int>(::syscall(SYS_accept4, fd, peer, size, flags));
  orchidgw::faults::set_connected_here(accepted, false);
  return accepted;
}

int connect(int fd, const sockaddr* peer, socklen_t size) {
  constexpr int kErrors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EAGAIN};
  if (orchidgw::faults::should_inject(CallFault::kConnectFails))
    return orchidgw::faults::fail_with_one_of(kErrors);
  orchidgw::faults::set_connected_here(fd, true);
  return static_cast<int>(::syscall(SYS_connect, fd, peer, size));
}

int socket(int domain, int type, int protocol) noexcept {
  constexpr int kErrors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
  if (domain == AF_INET && orchidgw::faults::should_inject(CallFault::kSocketFails))
    return orchidgw::faults::fail_with_one_of(kErrors);
  return static_cast<int>(::syscall(SYS_socket, domain, type, protocol));
}

int bind(int fd, const sockaddr* address, socklen_t size) noexcept {
  constexpr int kErrors[] = {ENOMEM, ENOBUFS};
  if (orchidgw::faults::should_inject(CallFault::kBindFails))
    return orchidgw::faults::fail_with_one_of(kErrors);
  return static_cast<int>(::syscall(SYS_bind, fd, address, size));
}

int listen(int fd, int backlog) noexcept {
  constexpr int kErrors[] = {ENOMEM, ENOBUFS};
  if (orchidgw::faults::should_inject(CallFault::kListenFails))
    return orchidgw::faults::fail_with_one_of(kErrors);
  return static_cast<int>(::syscall(SYS_listen, fd, backlog));
}

int epoll_create(int) noexcept {
  if (orchidgw::faults::should_inject(CallFault::kEpollFails))
    return orchidgw::faults::fail_with_one_of(orchidgw::faults::kDescriptorErrors);
  return static_cast<int>(::syscall(SYS_epoll_create1, 0));
}

int eventfd(unsigned count, int flags) noexcept {
  if (orchidgw::faults::should_inject(CallFault::kEventDescriptorFails))
    return orchidgw::faults::fail_with_one_of(orchidgw::faults::kDescriptorErrors);
  return static_cast<int>(::syscall(SYS_eventfd2, count, flags));
}

int timerfd_create(clockid_t clock, int flags) noexcept {
  if (orchidgw::faults::should_inject(CallFault::kTimerDescriptorFails))
    return orchidgw::faults::fail_with_one_of(orchidgw::faults::kDescriptorErrors);
  return static_cast<int>(::syscall(SYS_timerfd_create, clock, flags));
}

int signalfd(int fd, const sigset_t* signals, int flags) noexcept {
  constexpr std::size_t kKernelSetBytes = 8;
  if (orchidgw::faults::should_inject(CallFault::kSignalDescriptorFails))
    return orchidgw::faults::fail_with_one_of(orchidgw::faults::kDescriptorErrors);
  return static_cast<int>(::syscall(SYS_signalfd4, fd, signals, kKernelSetBytes, flags));
}

int open(const char* path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  const unsigned mode = (flags & O_CREAT) != 0 ? va_arg(arguments, unsigned) : 0U;
  va_end(arguments);
  if (orchidgw::faults::open_may_fail(path) && orchidgw::faults::should_inject(CallFault::kOpenFails))
    return orchidgw::faults::fail_with_one_of(orchidgw::faults::kDescriptorErrors);
  return static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

int flock(int fd, int operation) noexcept {
  constexpr int kErrors[] = {EWOULDBLOCK, ENOLCK};
  if (orchidgw::faults::should_inject(CallFault::kLockFails))
    return orchidgw::faults::fail_with_one_of(kErrors);
  return static_cast<int>(::syscall(SYS_flock, fd, operation));
}

}  // extern "C"
