// The memory that a test shares with the fault library inside a controller process: the test sets faults, the
// library makes them and counts each one.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace orchidgw::faults {

// System calls that the library can fail. The rates are independent of each other.
enum class CallFault : std::size_t {
  kInterrupted,            // EINTR of waits, reads, writes and accepts
  kShortTransfer,          // reads and writes move a part of what they could
  kAcceptFails,            // each errno that accept(2) documents for a connection or for want of resources
  kConnectFails,           // likewise connect(2), before a byte is sent
  kSocketFails,            // likewise socket(2)
  kReceiveFails,           // ETIMEDOUT, EHOSTUNREACH, ECONNRESET in the middle of a stream
  kBindFails,              // bind(2) for want of memory
  kListenFails,            // listen(2) likewise
  kEpollFails,             // epoll_create(2)
  kEventDescriptorFails,   // eventfd(2)
  kTimerDescriptorFails,   // timerfd_create(2)
  kSignalDescriptorFails,  // signalfd(2)
  kOpenFails,              // open(2) of a file
  kLockFails,              // flock(2): another process has it, or the system has no locks left
};
inline constexpr std::size_t kCallFaults = 14;

struct FaultPage {
  std::atomic<std::int64_t> wall_offset_us{0};  // added to the wall clock; no other clock is touched
  std::atomic<std::uint64_t> seed{1};
  std::array<std::atomic<std::uint32_t>, kCallFaults> per_million{};
  std::array<std::atomic<std::uint64_t>, kCallFaults> made{};
};

// Environment variables that the library reads at its start.
inline constexpr const char* kPageVariable = "ORCHIDGW_FAULT_PAGE";  // path of a file that holds a FaultPage
// One step of the wall clock without a page: "MICROSECONDS@MILLISECONDS", the second since the library's
// start.
inline constexpr const char* kWallStepVariable = "ORCHIDGW_FAULT_WALL_STEP";

}  // namespace orchidgw::faults
