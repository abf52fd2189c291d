#include "budget/arbiter.h"

#include <algorithm>
#include <utility>

namespace orchidgw::budget {
namespace {

constexpr std::size_t kWaitingMost = 8192;  // asks of members and of strangers
constexpr std::size_t kEntryMost = 512;     // asks agreed on in one step: bounds an entry's size

}  // namespace

void Arbiter::lead(TimeUs now, const Ledger& ledger) {
  follow();  // nothing of an earlier leadership
  leads_ = true;
  for (const auto& [key, member] : ledger.members())
    running_[key] = {member.number, now + Terms::surely_over_after(member.term, ledger.terms().drift_ppm)};
  if (ledger.terms().revision == 0 && wanted_)
    not_before_ = now + Terms::surely_over_after(wanted_->term, wanted_->drift_ppm);
}

void Arbiter::follow() {
  leads_ = false;
  step_at_.reset();
  not_before_ = 0;
  asks_.clear();
  running_.clear();
}

bool Arbiter::asked(Ask ask) {
  const auto it = asks_.find(ask.from);
  if (it == asks_.end() && asks_.size() >= kWaitingMost) return false;
  if (it == asks_.end() || it->second.seq < ask.seq) asks_[ask.from] = std::move(ask);
  return true;
}

std::optional<Entry> Arbiter::next(TimeUs now, const Ledger& ledger) {
  if (!leads_) return std::nullopt;
  if (now < not_before_) return std::nullopt;
  not_before_ = 0;
  Entry out;
  if (wanted_ && wanted_->revision > ledger.terms().revision) out.terms.push_back(*wanted_);
  for (const auto& [key, running] : running_)
    if (running.over_at <= now) out.expired.push_back({key, running.number});
  if (ledger.terms().revision > 0 || !out.terms.empty()) {
    while (!asks_.empty() && out.asks.size() < kEntryMost) {
      out.asks.push_back(std::move(asks_.begin()->second));
      asks_.erase(asks_.begin());
    }
  }
  if (const auto level = next_level(now, ledger)) out.level.push_back(*level);
  if (out.empty()) return std::nullopt;
  return out;
}

// The ramp's next step, agreed on as all else is; the ledger itself falls to the first.
std::optional<Parts> Arbiter::next_level(TimeUs now, const Ledger& ledger) {
  const TimeUs step = ledger.terms().ramp / kRampSteps;
  if (ledger.level() == kFullLevel) {
    step_at_.reset();
    return std::nullopt;
  }
  if (!step_at_) step_at_ = now + step;
  if (now < *step_at_) return std::nullopt;
  step_at_ = now + step;
  if (step == 0) return kFullLevel;  // the ramp was taken out of the file meanwhile
  return std::min(ledger.level() + kFullLevel / kRampSteps, kFullLevel);
}

void Arbiter::applied(TimeUs now, const Ledger& ledger, const std::vector<Grant>& grants) {
  if (!leads_) return;
  for (const Grant& grant : grants) {
    if (grant.kind != Grant::Kind::kLease) continue;
    const TimeUs over_at = now + Terms::surely_over_after(grant.term, ledger.terms().drift_ppm);
    Running& running = running_[grant.to];
    // Guards against a shorter term that would end an earlier, longer lease.
    running = {grant.number, std::max(running.over_at, over_at)};
  }
  // Each member is among those that run, so that any more of these are members no longer.
  if (running_.size() > ledger.members().size())
    std::erase_if(running_, [&](const auto& one) { return !ledger.members().contains(one.first); });
}

std::optional<TimeUs> Arbiter::next_due() const {
  std::optional<TimeUs> due;
  if (!leads_) return due;
  if (not_before_ > 0) due = not_before_;
  if (step_at_) due = std::min(due.value_or(*step_at_), *step_at_);
  for (const auto& [key, running] : running_) due = std::min(due.value_or(running.over_at), running.over_at);
  return due;
}

}  // namespace orchidgw::budget
