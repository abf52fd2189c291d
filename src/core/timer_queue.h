// A queue of timers, ordered by due time and then by the order in which they were set. A timer cannot be
// cancelled: its owner ignores one that it no longer needs.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "decision/decision.h"

namespace orchidgw::core {

template <typename Value>
class TimerQueue {
 public:
  void set(TimeUs due, Value value) { heap_.push(Timer{due, ++last_sequence_, std::move(value)}); }

  std::optional<TimeUs> next_due() const {
    if (heap_.empty()) return std::nullopt;
    return heap_.top().due;
  }

  // Removes the first timer that is due, and returns the time it was set for with its value; nullopt if none
  // is due.
  std::optional<std::pair<TimeUs, Value>> pop_due(TimeUs now) {
    if (heap_.empty() || heap_.top().due > now) return std::nullopt;
    std::pair<TimeUs, Value> popped{heap_.top().due, heap_.top().value};
    heap_.pop();
    return popped;
  }

  std::size_t size() const { return heap_.size(); }

 private:
  struct Timer {
    TimeUs due;
    std::uint64_t sequence;
    Value value;
    // Reversed: the top of a std::priority_queue is its greatest element.
    bool operator<(const Timer& other) const {
      return std::pair(due, sequence) > std::pair(other.due, other.sequence);
    }
  };
  std::priority_queue<Timer> heap_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace orchidgw::core
