// Who holds what of a table that all clients fill, so that a client which fills it does not keep others out.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "core/events.h"

namespace orchidgw::core {

class ClientShares {
 public:
  // Up to `capacity` entries anyone may add one; beyond it, up to twice as many, only clients that hold less
  // than an equal part of `capacity`.
  explicit ClientShares(std::size_t capacity) : capacity_(capacity) {}

  void add(ClientId client) { ++held_[client]; }
  // Does nothing for a client that has left.
  void remove(ClientId client);
  // The client has left: its entries are held by nobody.
  void forget(ClientId client) { held_.erase(client); }
  // `total`: all entries, held by clients or by nobody.
  bool admits(ClientId client, std::size_t total) const;

 private:
  std::size_t equal_part() const;

  std::size_t capacity_;
  std::unordered_map<ClientId, std::size_t> held_;
};

}  // namespace orchidgw::core
