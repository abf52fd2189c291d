// How a thread beside the loop says that it has something: a descriptor that the reactor watches.
#pragma once

namespace orchidgw::net {

class Wake {
 public:
  Wake();  // throws SystemCallError
  ~Wake();
  Wake(const Wake&) = delete;
  Wake& operator=(const Wake&) = delete;
  // Readable from `ring` until `heard`; owned by the caller. Throws SystemCallError.
  int duplicate() const;
  void ring();
  void heard();

 private:
  int fd_;
};

// First in such a thread: signals are the loop's.
void leave_signals_to_the_loop();

}  // namespace orchidgw::net
