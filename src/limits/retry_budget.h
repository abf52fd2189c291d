// A sliding budget of further attempts: in any window at most floor + share x the queries let in within it.
// Kept in slots, and never looser than the exact window: what may lie outside counts as an attempt but not as
// a query.
#pragma once

#include <array>
#include <cstdint>

#include "limits/route.h"

namespace orchidgw::limits {

class RetryBudget {
 public:
  explicit RetryBudget(const RetryShare& terms);

  const RetryShare& terms() const { return terms_; }
  // New terms; what was spent stays spent. With another window it counts as spent now, and the queries that
  // were let in are forgotten: the careful side.
  void change(TimeUs now, const RetryShare& terms);

  void query_let_in(TimeUs now) { ++slot_at(now).queries; }
  void attempt_made(TimeUs now) { ++slot_at(now).attempts; }
  bool allows_another(TimeUs now) const;

 private:
  static constexpr std::int64_t kSlots = 32;
  struct Slot {
    std::int64_t number = -1;  // time / width; -1: empty
    std::uint32_t queries = 0;
    std::uint32_t attempts = 0;
  };
  std::int64_t number_at(TimeUs now) const { return now / width_; }
  Slot& slot_at(TimeUs now);

  RetryShare terms_;
  TimeUs width_;
  std::array<Slot, kSlots + 2> slots_;
};

}  // namespace orchidgw::limits
