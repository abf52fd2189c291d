// Requests of clients that were read and not yet acted on, in the order in which they came. Removing those of
// one client takes time for that client's alone, however many others are queued.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/events.h"
#include "decision/decision.h"

namespace orchidgw::net {

struct PostedEvent {
  core::Event event;
  TimeUs at = 0;  // monotonic time at which it was read
};

class RequestQueue {
 public:
  void push(core::RequestArrived request, TimeUs at);
  std::optional<PostedEvent> pop();
  void remove_all(core::ClientId client);
  void remove(core::ClientId client, core::RequestTag tag);
  bool empty() const { return positions_.empty(); }
  std::size_t statement_bytes() const { return statement_bytes_; }

 private:
  using Positions = std::unordered_map<core::ClientId, std::vector<std::uint64_t>>;

  std::optional<PostedEvent>& slot(std::uint64_t position) { return slots_[position - first_position_]; }
  std::optional<PostedEvent> take(std::uint64_t position);

  std::deque<std::optional<PostedEvent>> slots_;  // empty: the request was removed
  std::uint64_t first_position_ = 0;              // of slots_; positions count all requests ever queued
  Positions positions_;                           // of the queued requests of each client, ascending
  std::size_t statement_bytes_ = 0;
};

}  // namespace orchidgw::net
