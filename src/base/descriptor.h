// Owns a file descriptor and closes it in the destructor.
#pragma once

#include <unistd.h>

#include <utility>

namespace orchidgw {

class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}  // -1: none
  Descriptor(Descriptor&& other) noexcept : fd_(other.release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }

  int get() const { return fd_; }
  // Gives up the ownership: the caller has to close the descriptor.
  int release() { return std::exchange(fd_, -1); }

 private:
  int fd_ = -1;
};

}  // namespace orchidgw
