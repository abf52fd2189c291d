#include "budget/arbiter.h"

#include <algorithm>
#include <utility>

namespace orchidgw::budget {
namespace {

constexpr std::size_t kMaxQueuedRequests = 8192;   // from members and from processes that are not members
constexpr std::size_t kMaxRequestsPerEntry = 512;  // bounds the size of a log entry

}  // namespace

void Arbiter::become_leader(TimeUs now, const Ledger& ledger) {
  step_down();  // drops the state of an earlier leadership
  leads_ = true;
  for (const auto& [key, member] : ledger.members())
    running_[key] = {member.number, now + Terms::safe_expiry_delay(member.term, ledger.terms().drift_ppm)};
  if (ledger.terms().revision == 0 && own_terms_)
    not_before_ = now + Terms::safe_expiry_delay(own_terms_->term, own_terms_->drift_ppm);
}

void Arbiter::step_down() {
  leads_ = false;
  next_ramp_step_at_.reset();
  not_before_ = 0;
  requests_.clear();
  running_.clear();
}

bool Arbiter::asked(LeaseRequest request) {
  const auto it = requests_.find(request.from);
  if (it == requests_.end() && requests_.size() >= kMaxQueuedRequests) return false;
  if (it == requests_.end() || it->second.seq < request.seq) requests_[request.from] = std::move(request);
  return true;
}

std::optional<Entry> Arbiter::next(TimeUs now, const Ledger& ledger) {
  if (!leads_) return std::nullopt;
  if (now < not_before_) return std::nullopt;
  not_before_ = 0;
  Entry out;
  if (own_terms_ && own_terms_->revision > ledger.terms().revision) out.terms.push_back(*own_terms_);
  for (const auto& [key, running] : running_)
    if (running.expires_at <= now) out.expired.push_back({key, running.number});
  if (ledger.terms().revision > 0 || !out.terms.empty()) {
    while (!requests_.empty() && out.asks.size() < kMaxRequestsPerEntry) {
      out.asks.push_back(std::move(requests_.begin()->second));
      requests_.erase(requests_.begin());
    }
  }
  if (const auto level = next_ramp_level(now, ledger)) out.level.push_back(*level);
  if (out.empty()) return std::nullopt;
  return out;
}

// Returns the next level of the ramp when it is due. Levels are raised by log entries; the ledger itself
// lowers the level to the first step.
std::optional<Parts> Arbiter::next_ramp_level(TimeUs now, const Ledger& ledger) {
  const TimeUs step = ledger.terms().ramp / kRampSteps;
  if (ledger.level() == kFullLevel) {
    next_ramp_step_at_.reset();
    return std::nullopt;
  }
  if (!next_ramp_step_at_) next_ramp_step_at_ = now + step;
  if (now < *next_ramp_step_at_) return std::nullopt;
  next_ramp_step_at_ = now + step;
  if (step == 0) return kFullLevel;  // the ramp was removed from the file meanwhile
  return std::min(ledger.level() + kFullLevel / kRampSteps, kFullLevel);
}

void Arbiter::applied(TimeUs now, const Ledger& ledger, const std::vector<Grant>& grants) {
  if (!leads_) return;
  for (const Grant& grant : grants) {
    if (grant.kind != Grant::Kind::kLease) continue;
    const TimeUs expires_at = now + Terms::safe_expiry_delay(grant.term, ledger.terms().drift_ppm);
    RunningLease& running = running_[grant.to];
    // A renewal with a shorter term must not end an earlier, longer lease early.
    running = {grant.number, std::max(running.expires_at, expires_at)};
  }
  // Every member has a running lease, so any surplus leases belong to processes that are no longer members.
  if (running_.size() > ledger.members().size())
    std::erase_if(running_, [&](const auto& lease) { return !ledger.members().contains(lease.first); });
}

std::optional<TimeUs> Arbiter::next_due() const {
  std::optional<TimeUs> due;
  if (!leads_) return due;
  if (not_before_ > 0) due = not_before_;
  if (next_ramp_step_at_) due = std::min(due.value_or(*next_ramp_step_at_), *next_ramp_step_at_);
  for (const auto& [key, running] : running_)
    due = std::min(due.value_or(running.expires_at), running.expires_at);
  return due;
}

}  // namespace orchidgw::budget
