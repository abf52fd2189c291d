// A sliding-window budget of retries (all attempts after a query's first, second copies too): in any window
// at most floor + share x the queries admitted in that window. The window is divided into slots and is never
// looser than the exact one: a slot that is only partly inside counts its retries, but not its queries.
#pragma once

#include <array>
#include <cstdint>

#include "limits/route.h"

namespace orchidgw::limits {

class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings);

  const RetryBudgetSettings& settings() const { return settings_; }
  // Retries already spent stay spent. If the window's length changes, they count as spent now and the
  // admitted queries are forgotten, so that the budget can only be too strict.
  void reconfigure(TimeUs now, const RetryBudgetSettings& settings);

  void record_query(TimeUs now) { ++slot_at(now).queries; }
  void record_retry(TimeUs now) { ++slot_at(now).retries; }
  bool allows_retry(TimeUs now) const;

 private:
  static constexpr std::int64_t kSlots = 32;
  struct Slot {
    std::int64_t number = -1;  // time / slot width; -1: empty
    std::uint32_t queries = 0;
    std::uint32_t retries = 0;
  };
  std::int64_t slot_number_at(TimeUs now) const { return now / slot_width_; }
  Slot& slot_at(TimeUs now);

  RetryBudgetSettings settings_;
  TimeUs slot_width_;
  std::array<Slot, kSlots + 2> slots_;
};

}  // namespace orchidgw::limits
