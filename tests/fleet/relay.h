// A TCP relay between two processes that can reset, hold, drop or delay what passes through it.
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
    kReset,         // connections are reset, new ones too
    kHold,          // nothing passes; it is delivered once the fault is cleared
    kHoldForward,   // only towards the target
    kHoldBackward,  // only from the target
    // Received bytes are discarded; connections that lost bytes are closed once the fault is cleared.
    kDrop,
  };

  explicit Relay(std::string target);  // HOST:PORT; listens on a free port of 127.0.0.1, throws if it can't
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::string address() const { return address_; }
  void set(Fault fault) { fault_ = fault; }
  void delay(std::chrono::milliseconds by) { delay_ms_ = static_cast<int>(by.count()); }  // in each direction

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
