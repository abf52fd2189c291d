// Wakes the event loop from another thread: an eventfd that the reactor watches.
#pragma once

namespace orchidgw::net {

class Wake {
 public:
  Wake();  // throws SystemCallError
  ~Wake();
  Wake(const Wake&) = delete;
  Wake& operator=(const Wake&) = delete;
  // A descriptor, owned by the caller, that is readable from notify() until clear(). Throws SystemCallError.
  int duplicate() const;
  void ring();   // wakes the loop; for any thread
  void heard();  // resets the event

 private:
  int fd_;
};

// Blocks all signals in the calling thread, so that only the loop gets them. To be called first in each other
// thread.
void leave_signals_to_the_loop();

}  // namespace orchidgw::net
