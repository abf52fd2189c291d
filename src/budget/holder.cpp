#include "budget/holder.h"

#include <algorithm>

namespace orchidgw::budget {
namespace {

constexpr std::size_t kRequestsKept = 16;  // an answer to an earlier request is ignored

Parts value_or_zero(const std::vector<Parts>& parts, std::size_t a) {
  return a < parts.size() ? parts[a] : 0;
}

}  // namespace

void LeaseHolder::reset_parts() {
  parts_.assign(terms_.allowances.size(), 0);
  held_.assign(terms_.allowances.size(), 0);
}

void LeaseHolder::drop_lease() {
  dropped_ = true;
  std::fill(parts_.begin(), parts_.end(), 0);
}

LeaseRequest LeaseHolder::ask(TimeUs now, std::vector<Parts> demand, const std::vector<Parts>& parts_in_use) {
  LeaseRequest request;
  request.from = self_;
  request.seq = ++seq_;
  request.revision = terms_.revision;
  request.acked = number_;
  request.leaving = leaving_;
  sent_requests_.emplace_back(request.seq, now);
  if (sent_requests_.size() > kRequestsKept) sent_requests_.pop_front();
  for (std::size_t a = 0; a < parts_.size(); ++a) {
    // What is held falls to what is in use, but not below the lease; use alone never raises it.
    const Parts lease = leased(now) ? parts_[a] : 0;
    held_[a] = std::max(lease, std::min(held_[a], value_or_zero(parts_in_use, a)));
  }
  request.held = held_;
  demand.resize(parts_.size(), 0);
  request.demand = std::move(demand);
  must_acknowledge_ = false;
  return request;
}

std::optional<TimeUs> LeaseHolder::requested_at(std::uint64_t seq) const {
  for (const auto& [sent_seq, at] : sent_requests_)
    if (sent_seq == seq) return at;
  return std::nullopt;
}

void LeaseHolder::adopt_terms(const Terms& terms) {
  // The keepers' terms apply even if they are older than the own file's: otherwise a member whose file was
  // updated before the keepers' would have no lease until theirs is updated. Late answers are rejected by
  // their lease number.
  if (terms.revision == terms_.revision) return;
  std::vector<Parts> held(terms.allowances.size(), 0);
  for (std::size_t new_index = 0; new_index < held.size(); ++new_index)
    for (std::size_t old_index = 0; old_index < held_.size(); ++old_index)
      if (terms_.allowances[old_index].name == terms.allowances[new_index].name)
        held[new_index] = held_[old_index];
  terms_ = terms;
  held_ = std::move(held);
  parts_.assign(held_.size(), 0);
}

bool LeaseHolder::answered(TimeUs now, const Grant& grant, const std::vector<Terms>& terms) {
  const auto asked = requested_at(grant.seq);
  if (grant.to != self_ || !asked) return false;
  if (grant.kind == Grant::Kind::kLeft) return left_ = leaving_;
  if (leaving_) return false;
  superseded_ = superseded_ || grant.kind == Grant::Kind::kSuperseded;
  not_admitted_ = grant.kind == Grant::Kind::kNotAdmitted;
  if (superseded_) drop_lease();
  if (grant.kind != Grant::Kind::kLease) return superseded_ || not_admitted_;
  if (superseded_ || grant.number <= number_) return false;
  for (const Terms& received : terms) adopt_terms(received);
  if (grant.revision != terms_.revision || grant.parts.size() != parts_.size()) return false;
  // A lease that has expired on arrival is not adopted: acknowledging it would give back parts that may still
  // be in use.
  if (*asked + grant.term <= now) return false;
  number_ = grant.number;
  ends_at_ = *asked + grant.term;
  dropped_ = false;
  level_ = grant.level;
  half_granted_ = grant.half_granted;
  live_ = std::max(grant.live, 1);
  place_ = std::clamp(grant.place, 0, live_ - 1);
  for (std::size_t a = 0; a < parts_.size(); ++a) {
    must_acknowledge_ = must_acknowledge_ || grant.parts[a] < parts_[a];
    held_[a] = std::max(held_[a], grant.parts[a]);
  }
  parts_ = grant.parts;
  return true;
}

Parts LeaseHolder::usable(TimeUs now, std::size_t a) const {
  if (superseded_) return 0;
  const Parts cut_off = terms_.allowances[a].cut_off;
  return leased(now) ? cut_off + parts_[a] : cut_off;
}

}  // namespace orchidgw::budget
