// Wakes the event loop from another thread: an eventfd that the reactor watches.
#pragma once

namespace orchidgw::net {

class WakeupEvent {
 public:
  WakeupEvent();  // throws SystemCallError
  ~WakeupEvent();
  WakeupEvent(const WakeupEvent&) = delete;
  WakeupEvent& operator=(const WakeupEvent&) = delete;
  // A descriptor, owned by the caller, that is readable from notify() until clear(). Throws SystemCallError.
  int duplicate() const;
  void notify();  // wakes the loop; for any thread
  void clear();   // resets the event

 private:
  int fd_;
};

// Blocks all signals in the calling thread, so that only the loop gets them. To be called first in each other
// thread.
void block_signals_in_thread();

}  // namespace orchidgw::net
