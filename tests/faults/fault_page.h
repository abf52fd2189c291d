// The memory page that a test shares with the fault library preloaded into a controller process: the test
// sets which faults occur, the library injects them and counts each one.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace orchidgw::faults {

// Faults that the library can inject into system calls. Their rates are independent of each other.
enum class CallFault : std::size_t {
  kInterrupted,            // EINTR from waits, reads, writes and accepts
  kShortTransfer,          // reads and writes transfer only a part of the bytes they could
  kAcceptFails,            // each errno that accept(2) documents for a connection or for a lack of resources
  kConnectFails,           // errors that connect(2) documents, before a byte is sent
  kSocketFails,            // errors that socket(2) documents for a lack of resources
  kReceiveFails,           // ETIMEDOUT, EHOSTUNREACH, ECONNRESET in the middle of a stream
  kBindFails,              // bind(2) for a lack of memory
  kListenFails,            // listen(2) for a lack of memory
  kEpollFails,             // epoll_create(2)
  kEventDescriptorFails,   // eventfd(2)
  kTimerDescriptorFails,   // timerfd_create(2)
  kSignalDescriptorFails,  // signalfd(2)
  kOpenFails,              // open(2) of a file
  kLockFails,              // flock(2): another process holds the lock, or the system has no locks left
};
inline constexpr std::size_t kCallFaultCount = 14;
inline constexpr std::size_t kMaxPathBytes = 256;

// Lives in a file that both processes map.
struct FaultPage {
  std::atomic<std::int64_t> wall_offset_us{0};  // added to the wall clock; no other clock changes
  std::atomic<std::uint64_t> seed{1};
  std::array<std::atomic<std::uint32_t>, kCallFaultCount> per_million{};  // rate of each fault
  std::array<std::atomic<std::uint64_t>, kCallFaultCount> injected{};     // faults injected so far
  // kOpenFails concerns paths that end with this text alone; empty: all. Set before the rate.
  std::array<char, kMaxPathBytes> open_path_end{};
};

// Environment variables that the library reads when it first needs them.
inline constexpr const char* kPageVariable = "ORCHIDGW_FAULT_PAGE";  // path of a file with a FaultPage
// A single wall-clock step, for which no page is needed: "MICROSECONDS@MILLISECONDS", the size of the step
// and the time of it, counted from when the library first reads a wall clock.
inline constexpr const char* kWallStepVariable = "ORCHIDGW_FAULT_WALL_STEP";

}  // namespace orchidgw::faults
