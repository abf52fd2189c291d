// A relay between two processes: what one says to the other passes through it, and faults are put there.
#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>

namespace orchidgw::integration {

class Relay {
 public:
  enum class Fault {
    kNone,
    kReset,        // connections are reset, new ones too
    kHold,         // nothing passes; it comes late, once that is over
    kHoldForward,  // one way only: towards the target
    kHoldBackward,
    kDrop,  // what comes is thrown away; connections so torn end with the fault
  };

  explicit Relay(std::string target);  // HOST:PORT
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::string address() const { return address_; }
  void set(Fault fault) { fault_ = fault; }
  void delay(std::chrono::milliseconds by) { delay_ms_ = static_cast<int>(by.count()); }  // each way

 private:
  void run();

  std::string target_;
  std::string address_;
  int listener_ = -1;
  std::atomic<Fault> fault_{Fault::kNone};
  std::atomic<int> delay_ms_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace orchidgw::integration
