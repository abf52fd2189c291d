// An opaque page of rows. The core passes it on unread; only the adapter that created it knows its type.
#pragma once

#include <cstddef>
#include <memory>

namespace orchidgw::core {

class Payload {
 public:
  Payload() = default;
  Payload(const Payload&) = delete;
  Payload& operator=(const Payload&) = delete;
  virtual ~Payload() = default;
  virtual std::size_t size() const = 0;  // in bytes
};

using PayloadPtr = std::unique_ptr<Payload>;

}  // namespace orchidgw::core
