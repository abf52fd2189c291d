#include "budget/ledger.h"

#include <algorithm>
#include <set>
#include <utility>

#include "budget/divide.h"

namespace orchidgw::budget {
namespace {

constexpr Parts kHysteresis = 16;  // a lease shrinks by demand alone only if by more than one part in so many

std::vector<Parts> resized(std::vector<Parts> parts, std::size_t new_index) {
  parts.resize(new_index, 0);
  for (Parts& p : parts) p = std::max<Parts>(p, 0);
  return parts;
}

}  // namespace

std::vector<Grant> Ledger::apply(const Entry& entry) {
  bool parts_returned = terms_.revision == 0;  // of a new log nothing is leased
  for (const Terms& terms : entry.terms) adopt_terms(terms);
  for (const Parts level : entry.level) level_ = std::clamp<Parts>(level, 1, kFullLevel);
  const std::size_t members = members_.size();
  for (const Expiry& expiry : entry.expired) expire(expiry);
  parts_returned = parts_returned || members_.size() < members;
  std::vector<Grant> out;
  std::vector<const Ask*> accepted;
  for (const Ask& ask : entry.asks) {
    Grant refusal;
    parts_returned = parts_returned || (ask.leaving && members_.contains(ask.from));
    if (record(ask, refusal)) {
      accepted.push_back(&ask);
    } else if (refusal.kind != Grant::Kind::kLease) {
      out.push_back(std::move(refusal));
    }
  }
  if (parts_returned) lower_level_if_idle();
  if (accepted.empty()) return out;
  const Division division = compute_targets();
  std::vector<Parts> free_parts(terms_.allowances.size());
  for (std::size_t a = 0; a < free_parts.size(); ++a) free_parts[a] = free(a);
  for (const Ask* ask : accepted) {
    const auto it = members_.find(ask->from);  // it may have left, or been superseded, in this very entry
    if (it != members_.end() && !it->second.superseded) out.push_back(grant(*ask, division, free_parts));
  }
  return out;
}

// Allowances keep what is out of them by name. What is smaller now is followed down to as leases are renewed.
void Ledger::adopt_terms(const Terms& terms) {
  if (terms.revision <= terms_.revision) return;
  const auto remapped = [&](const std::vector<Parts>& from) {
    std::vector<Parts> to(terms.allowances.size(), 0);
    for (std::size_t new_index = 0; new_index < to.size(); ++new_index)
      for (std::size_t old_index = 0; old_index < from.size(); ++old_index)
        if (terms_.allowances[old_index].name == terms.allowances[new_index].name)
          to[new_index] = from[old_index];
    return to;
  };
  for (auto& [key, member] : members_) {
    member.demand = remapped(member.demand);
    member.granted = remapped(member.granted);
    member.held = remapped(member.held);
    member.unacked = remapped(member.unacked);
  }
  terms_ = terms;
}

void Ledger::expire(const Expiry& expiry) {
  const auto it = members_.find(expiry.member);
  // Guards against an expiry that was decided before a renewal which then came first.
  if (it != members_.end() && it->second.number == expiry.number) members_.erase(it);
}

bool Ledger::can_admit(const MemberKey& key) const {
  std::set<std::string_view> names;
  for (const auto& [member, state] : members_) names.insert(member.name);
  return names.contains(key.name) || static_cast<int>(names.size()) < terms_.largest;
}

// Takes over what the member tells. False if no lease follows; then `refusal` says why, unless the ask is
// stale.
bool Ledger::record(const Ask& ask, Grant& refusal) {
  refusal.to = ask.from;
  refusal.seq = ask.seq;
  const auto refuse = [&](Grant::Kind kind) {
    refusal.kind = kind;
    return false;
  };
  auto it = members_.find(ask.from);
  // Guards against messages that come twice, late or out of turn.
  if (it != members_.end() && ask.seq <= it->second.seq) return false;
  if (ask.leaving) {
    if (it != members_.end()) members_.erase(it);
    return refuse(Grant::Kind::kLeft);
  }
  if (it != members_.end() && it->second.superseded) return refuse(Grant::Kind::kSuperseded);
  if (it == members_.end()) {
    // Guards against a late word of an earlier start, which must not put out the one that runs. Where a clock
    // was set back it is the later start that waits, until the earlier one's lease is over.
    for (const auto& [key, member] : members_)
      if (key.name == ask.from.name && key.incarnation > ask.from.incarnation)
        return refuse(Grant::Kind::kNoRoom);
    if (!can_admit(ask.from)) return refuse(Grant::Kind::kNoRoom);
    for (auto& [key, member] : members_)
      if (key.name == ask.from.name) member.superseded = true;
    it = members_.try_emplace(ask.from).first;
    const std::size_t new_index = terms_.allowances.size();
    it->second.demand = it->second.granted = it->second.held = it->second.unacked =
        std::vector<Parts>(new_index, 0);
  }
  Member& m = it->second;
  m.seq = ask.seq;
  // It had leases before that are over here; guards against numbers that it knows already, which it ignores.
  m.number = std::max(m.number, ask.acked);
  // One that counts by other terms tells nothing of these; it learns them by the answer.
  if (ask.revision != terms_.revision) return true;
  m.demand = resized(ask.demand, m.demand.size());
  if (ask.acked != m.number) return true;  // a later lease may be on its way to it
  m.acked = ask.acked;
  const std::vector<Parts> held = resized(ask.held, m.held.size());
  for (std::size_t a = 0; a < held.size(); ++a) {
    // Nobody comes to more by saying so, nor to less than the lease that it has taken over.
    m.held[a] = std::max(std::min(held[a], m.outstanding(a)), m.granted[a]);
    m.unacked[a] = m.granted[a];
  }
  return true;
}

// Where hardly more than the reserve is leased any more the fleet was gone, and its engines have idled for a
// term: the ramp begins. What newcomers hold by then is within the first level, lest it be passed from the
// start.
void Ledger::lower_level_if_idle() {
  if (terms_.ramp == 0) return;
  Parts least = kFullLevel / kRampSteps;
  for (std::size_t a = 0; a < terms_.allowances.size(); ++a) {
    const Parts shared = std::max<Parts>(terms_.shared(a), 1);
    const Parts out = outstanding(a);
    if (out > shared / kRampSteps + terms_.allowances[a].reserve) return;
    least =
        std::max(least, static_cast<Parts>((static_cast<WideParts>(out) * kFullLevel + shared - 1) / shared));
  }
  level_ = std::min(level_, least);
}

Ledger::Division Ledger::compute_targets() const {
  Division out;
  std::vector<const Member*> states;
  for (const auto& [key, member] : members_) {
    if (member.superseded) continue;
    out.members.push_back(&key);
    states.push_back(&member);
  }
  for (std::size_t a = 0; a < terms_.allowances.size(); ++a) {
    std::vector<Claim> claims;
    claims.reserve(states.size());
    for (const Member* member : states) claims.push_back({member->demand[a], terms_.allowances[a].least, 1});
    out.targets.push_back(divide(at_level(terms_.shared(a) - terms_.allowances[a].reserve), claims));
  }
  return out;
}

Parts Ledger::outstanding(std::size_t a) const {
  Parts sum = 0;
  for (const auto& [key, member] : members_) sum += member.outstanding(a);
  return sum;
}

void Ledger::restore(Terms terms, std::map<MemberKey, Member> members, Parts level) {
  level_ = std::clamp<Parts>(level, 1, kFullLevel);
  terms_ = std::move(terms);
  members_ = std::move(members);
}

// Grows by free parts alone, of which the reserve is for who has less than the least. Shrinks to the target,
// but for steps so small that moving them is not worth it, while nothing is missing.
Parts Ledger::next_lease_part(std::size_t a, const Member& member, Parts target, Parts free) const {
  const Allowance& terms = terms_.allowances[a];
  const Parts reserve = at_level(terms.reserve);
  const Parts granted = member.granted[a];
  const Parts out = member.outstanding(a);
  if (target < granted) {
    const bool small = granted - target <= granted / kHysteresis;
    return small && free >= reserve ? granted : target;
  }
  // Of the reserve a newcomer takes its least and no more: guards against one that leaves none to the next.
  const Parts beside = std::max<Parts>(free - reserve, 0);
  const Parts usable = std::max(beside, std::min(terms.least - out, free));
  return std::max(granted, std::min(target, out + std::max<Parts>(usable, 0)));
}

Grant Ledger::grant(const Ask& ask, const Division& division, std::vector<Parts>& free) {
  Member& m = members_.at(ask.from);
  Grant out;
  out.to = ask.from;
  out.seq = ask.seq;
  out.number = ++m.number;
  out.revision = terms_.revision;
  out.term = terms_.term;
  out.level = level_;
  out.settled = true;
  m.term = std::max(m.term, terms_.term);
  const auto at = std::lower_bound(division.members.begin(), division.members.end(), ask.from,
                                   [](const MemberKey* one, const MemberKey& key) { return *one < key; });
  const auto place = static_cast<std::size_t>(at - division.members.begin());
  out.live = static_cast<int>(division.members.size());
  out.place = static_cast<int>(place);
  for (std::size_t a = 0; a < free.size(); ++a) {
    const Parts before = m.outstanding(a);
    const Parts due = division.targets[a][place];
    Parts part = next_lease_part(a, m, due, free[a]);
    if (ask.revision != terms_.revision) part = std::min(part, m.granted[a]);
    // Half of it: parts move by demand all the time, and who waits for leases of before a stop has far less.
    out.settled = out.settled && part >= due / 2;
    m.granted[a] = part;
    m.unacked[a] = std::max(m.unacked[a], part);
    free[a] -= m.outstanding(a) - before;
    out.parts.push_back(part);
  }
  return out;
}

}  // namespace orchidgw::budget
