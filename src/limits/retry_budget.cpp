#include "limits/retry_budget.h"

#include <algorithm>

namespace orchidgw::limits {
namespace {

constexpr double kRounding = 1e-9;  // shares are decimal fractions: 0.1 x 10 must allow one

}  // namespace

RetryBudget::RetryBudget(const RetryShare& terms)
    : terms_(terms), width_(std::max<TimeUs>((terms.window + kSlots - 1) / kSlots, 1)) {}

RetryBudget::Slot& RetryBudget::slot_at(TimeUs now) {
  const std::int64_t number = number_at(now);
  Slot& slot = slots_[static_cast<std::size_t>(number) % slots_.size()];
  if (slot.number < number) slot = {number, 0, 0};
  return slot;  // one that is later than now (the clock went back) is counted in as it stands
}

bool RetryBudget::allows_another(TimeUs now) const {
  const TimeUs from = now - terms_.window;
  std::uint64_t queries = 0;
  std::uint64_t attempts = 0;
  for (const Slot& slot : slots_) {
    if (slot.number < 0) continue;
    const TimeUs begin = slot.number * width_;
    if (begin + width_ > from) attempts += slot.attempts;       // any part of it may be inside
    if (begin > from && begin <= now) queries += slot.queries;  // all of it is inside
  }
  const double most = terms_.floor + terms_.share * static_cast<double>(queries);
  return static_cast<double>(attempts) + 1 <= most + kRounding;
}

void RetryBudget::change(TimeUs now, const RetryShare& terms) {
  if (terms.window == terms_.window) {
    terms_ = terms;
    return;
  }
  std::uint32_t spent = 0;
  for (const Slot& slot : slots_)
    if (slot.number >= 0 && (slot.number + 1) * width_ > now - terms_.window) spent += slot.attempts;
  *this = RetryBudget(terms);
  slot_at(now).attempts = spent;
}

}  // namespace orchidgw::limits
