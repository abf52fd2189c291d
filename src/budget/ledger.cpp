#include "budget/ledger.h"

#include <algorithm>
#include <set>
#include <utility>

#include "budget/divide.h"

namespace orchidgw::budget {
namespace {

constexpr Parts kHysteresis = 16;  // lower demand shrinks a lease only if it does so by more than 1/16

std::vector<Parts> resized(std::vector<Parts> parts, std::size_t size) {
  parts.resize(size, 0);
  for (Parts& part : parts) part = std::max<Parts>(part, 0);
  return parts;
}

}  // namespace

std::vector<Grant> Ledger::apply(const Entry& entry) {
  bool parts_returned = terms_.revision == 0;  // nothing is leased on a new log
  for (const Terms& terms : entry.terms) adopt_terms(terms);
  for (const Parts level : entry.level) level_ = std::clamp<Parts>(level, 1, kFullLevel);
  const std::size_t members = members_.size();
  for (const Expiry& expiry : entry.expired) expire(expiry);
  parts_returned = parts_returned || members_.size() < members;
  std::vector<Grant> out;
  std::vector<const LeaseRequest*> accepted;
  for (const LeaseRequest& ask : entry.asks) {
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
  for (const LeaseRequest* ask : accepted) {
    const auto it = members_.find(ask->from);  // may have left or been superseded within this entry
    if (it != members_.end() && !it->second.superseded) out.push_back(grant(*ask, division, free_parts));
  }
  return out;
}

// Leased parts are carried over to the allowance of the same name. Where an allowance has become smaller,
// leases shrink as they are renewed.
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
  // Ignores an expiry that was decided before a renewal but follows it in the log.
  if (it != members_.end() && it->second.number == expiry.number) members_.erase(it);
}

bool Ledger::can_admit(const MemberKey& key) const {
  std::set<std::string_view> names;
  for (const auto& [member, state] : members_) names.insert(member.name);
  return names.contains(key.name) || static_cast<int>(names.size()) < terms_.largest;
}

// Records the member's request and admits new members. Returns false if no lease is to be granted; `refusal`
// is the answer then, unless its kind is still kLease: the request is stale and gets no answer.
bool Ledger::record(const LeaseRequest& ask, Grant& refusal) {
  refusal.to = ask.from;
  refusal.seq = ask.seq;
  const auto refuse = [&](Grant::Kind kind) {
    refusal.kind = kind;
    return false;
  };
  auto it = members_.find(ask.from);
  // Ignores messages that are duplicated, late or out of order.
  if (it != members_.end() && ask.seq <= it->second.seq) return false;
  if (ask.leaving) {
    if (it != members_.end()) members_.erase(it);
    return refuse(Grant::Kind::kLeft);
  }
  if (it != members_.end() && it->second.superseded) return refuse(Grant::Kind::kSuperseded);
  if (it == members_.end()) {
    // A late request of an earlier incarnation must not supersede the running one. If the clock was set back
    // between two starts, it is the later start that waits until the earlier one's lease has expired.
    for (const auto& [key, member] : members_)
      if (key.name == ask.from.name && key.incarnation > ask.from.incarnation)
        return refuse(Grant::Kind::kNotAdmitted);
    if (!can_admit(ask.from)) return refuse(Grant::Kind::kNotAdmitted);
    for (auto& [key, member] : members_)
      if (key.name == ask.from.name) member.superseded = true;
    it = members_.try_emplace(ask.from).first;
    const std::size_t count = terms_.allowances.size();
    it->second.demand = it->second.granted = it->second.held = it->second.unacked =
        std::vector<Parts>(count, 0);
  }
  Member& m = it->second;
  m.seq = ask.seq;
  // A member whose earlier leases have expired here must get higher lease numbers, since it ignores numbers
  // up to that of its last lease.
  m.number = std::max(m.number, ask.acked);
  // A request under other terms says nothing about these; the answer carries the current terms.
  if (ask.revision != terms_.revision) return true;
  m.demand = resized(ask.demand, m.demand.size());
  if (ask.acked != m.number) return true;  // a later lease may be on its way to it
  m.acked = ask.acked;
  const std::vector<Parts> held = resized(ask.held, m.held.size());
  for (std::size_t a = 0; a < held.size(); ++a) {
    // A member can't raise its parts by reporting more, nor get below the lease that it has adopted.
    m.held[a] = std::max(std::min(held[a], m.outstanding(a)), m.granted[a]);
    m.unacked[a] = m.granted[a];
  }
  return true;
}

// Starts the ramp if hardly more than the reserve is leased any more: the fleet was down, and its engines
// have been idle for a term. The initial level is high enough for the parts that new members hold already, so
// that they don't exceed it from the start.
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

// Returns the size of a member's next lease of one allowance. It grows only by free parts, of which the
// reserve is for members with less than `least`. It shrinks to the target, except by steps too small to be
// worth it while the reserve is complete.
Parts Ledger::next_lease_part(std::size_t a, const Member& member, Parts target, Parts free) const {
  const Allowance& terms = terms_.allowances[a];
  const Parts reserve = at_level(terms.reserve);
  const Parts granted = member.granted[a];
  const Parts out = member.outstanding(a);
  if (target < granted) {
    const bool small = granted - target <= granted / kHysteresis;
    return small && free >= reserve ? granted : target;
  }
  // A new member takes only its `least` from the reserve, so that some of it is left for the next one.
  const Parts beside = std::max<Parts>(free - reserve, 0);
  const Parts usable = std::max(beside, std::min(terms.least - out, free));
  return std::max(granted, std::min(target, out + std::max<Parts>(usable, 0)));
}

Grant Ledger::grant(const LeaseRequest& ask, const Division& division, std::vector<Parts>& free) {
  Member& m = members_.at(ask.from);
  Grant out;
  out.to = ask.from;
  out.seq = ask.seq;
  out.number = ++m.number;
  out.revision = terms_.revision;
  out.term = terms_.term;
  out.level = level_;
  out.half_granted = true;
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
    // Half of the target is enough: parts move with demand all the time, and a member that waits for leases
    // from before a restart to expire has far less.
    out.half_granted = out.half_granted && part >= due / 2;
    m.granted[a] = part;
    m.unacked[a] = std::max(m.unacked[a], part);
    free[a] -= m.outstanding(a) - before;
    out.parts.push_back(part);
  }
  return out;
}

}  // namespace orchidgw::budget
