#include "budget/holder.h"

#include <algorithm>

namespace orchidgw::budget {
namespace {

constexpr std::size_t kAsksKept = 16;  // an answer to an earlier one is of no use any more

Parts at_or_none(const std::vector<Parts>& parts, std::size_t a) { return a < parts.size() ? parts[a] : 0; }

}  // namespace

void Holder::resize() {
  parts_.assign(terms_.allowances.size(), 0);
  held_.assign(terms_.allowances.size(), 0);
}

void Holder::drop_lease() {
  stopped_ = true;
  std::fill(parts_.begin(), parts_.end(), 0);
}

Ask Holder::ask(TimeUs now, std::vector<Parts> demand, const std::vector<Parts>& in_use) {
  Ask out;
  out.from = self_;
  out.seq = ++seq_;
  out.revision = terms_.revision;
  out.acked = number_;
  out.leaving = leaving_;
  asked_.emplace_back(out.seq, now);
  if (asked_.size() > kAsksKept) asked_.pop_front();
  for (std::size_t a = 0; a < parts_.size(); ++a) {
    // What was held falls to what is in use, never below the lease and never rises by use alone.
    const Parts lease = leased(now) ? parts_[a] : 0;
    held_[a] = std::max(lease, std::min(held_[a], at_or_none(in_use, a)));
  }
  out.held = held_;
  demand.resize(parts_.size(), 0);
  out.demand = std::move(demand);
  owes_ = false;
  return out;
}

std::optional<TimeUs> Holder::asked_at(std::uint64_t seq) const {
  for (const auto& [one, at] : asked_)
    if (one == seq) return at;
  return std::nullopt;
}

void Holder::take(const Terms& terms) {
  // The keepers' terms hold, older ones too: guards against a member whose file came before the keepers',
  // which would have no lease until theirs is there. Late answers are sorted out by their number.
  if (terms.revision == terms_.revision) return;
  std::vector<Parts> held(terms.allowances.size(), 0);
  for (std::size_t n = 0; n < held.size(); ++n)
    for (std::size_t o = 0; o < held_.size(); ++o)
      if (terms_.allowances[o].name == terms.allowances[n].name) held[n] = held_[o];
  terms_ = terms;
  held_ = std::move(held);
  parts_.assign(held_.size(), 0);
}

bool Holder::answered(TimeUs now, const Grant& grant, const std::vector<Terms>& terms) {
  const auto asked = asked_at(grant.seq);
  if (grant.to != self_ || !asked) return false;
  if (grant.kind == Grant::Kind::kLeft) return left_ = leaving_;
  if (leaving_) return false;
  superseded_ = superseded_ || grant.kind == Grant::Kind::kSuperseded;
  no_room_ = grant.kind == Grant::Kind::kNoRoom;
  if (superseded_) drop_lease();
  if (grant.kind != Grant::Kind::kLease) return superseded_ || no_room_;
  if (superseded_ || grant.number <= number_) return false;
  for (const Terms& t : terms) take(t);
  if (grant.revision != terms_.revision || grant.parts.size() != parts_.size()) return false;
  // One that is over on arrival is not taken over: acknowledging it would give back what may still be in use.
  if (*asked + grant.term <= now) return false;
  number_ = grant.number;
  ends_at_ = *asked + grant.term;
  stopped_ = false;
  level_ = grant.level;
  settled_ = grant.settled;
  live_ = std::max(grant.live, 1);
  place_ = std::clamp(grant.place, 0, live_ - 1);
  for (std::size_t a = 0; a < parts_.size(); ++a) {
    owes_ = owes_ || grant.parts[a] < parts_[a];
    held_[a] = std::max(held_[a], grant.parts[a]);
  }
  parts_ = grant.parts;
  return true;
}

Parts Holder::usable(TimeUs now, std::size_t a) const {
  if (superseded_) return 0;
  const Parts cut_off = terms_.allowances[a].cut_off;
  return leased(now) ? cut_off + parts_[a] : cut_off;
}

}  // namespace orchidgw::budget
