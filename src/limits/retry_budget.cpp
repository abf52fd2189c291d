#include "limits/retry_budget.h"

#include <algorithm>

namespace orchidgw::limits {
namespace {

constexpr double kRoundingTolerance = 1e-9;  // shares are decimal fractions: 0.1 x 10 has to allow one retry

}  // namespace

RetryBudget::RetryBudget(const RetryBudgetSettings& settings)
    : settings_(settings), slot_width_(std::max<TimeUs>((settings.window + kSlots - 1) / kSlots, 1)) {}

RetryBudget::Slot& RetryBudget::slot_at(TimeUs now) {
  const std::int64_t number = slot_number_at(now);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number < number) slot = {number, 0, 0};
  return slot;  // a slot later than now (the clock went back) also counts what comes now
}

bool RetryBudget::allows_retry(TimeUs now) const {
  const TimeUs window_start = now - settings_.window;
  std::uint64_t queries = 0;
  std::uint64_t retries = 0;
  for (const Slot& slot : slots_) {
    if (slot.number < 0) continue;
    const TimeUs slot_start = slot.number * slot_width_;
    if (slot_start + slot_width_ > window_start)
      retries += slot.retries;  // part of the slot may be inside the window
    if (slot_start > window_start && slot_start <= now) queries += slot.queries;  // the whole slot is inside
  }
  const double allowed = settings_.floor + settings_.share * static_cast<double>(queries);
  return static_cast<double>(retries) + 1 <= allowed + kRoundingTolerance;
}

void RetryBudget::reconfigure(TimeUs now, const RetryBudgetSettings& settings) {
  if (settings.window == settings_.window) {
    settings_ = settings;
    return;
  }
  std::uint32_t spent = 0;
  for (const Slot& slot : slots_)
    if (slot.number >= 0 && (slot.number + 1) * slot_width_ > now - settings_.window) spent += slot.retries;
  *this = RetryBudget(settings);
  slot_at(now).retries = spent;
}

}  // namespace orchidgw::limits
