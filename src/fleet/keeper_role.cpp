#include "fleet/keeper_role.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace orchidgw::fleet {

void KeeperRole::on_request(const ReplicatedLog& log, LinkId from, budget::LeaseRequest ask) {
  const std::uint64_t seq = ask.seq;
  const std::uint64_t revision = ask.revision;
  const budget::MemberKey key = ask.from;
  const bool leads = log.leads() && arbiter_.leads();
  if (!leads || arbiter_.waits_for_old_leases() || !arbiter_.asked(std::move(ask))) {
    const KeeperId leader = log.leads() && !arbiter_.waits_for_old_leases() ? 0 : log.leader();
    replies_.push_back({from, Redirect{seq, leader}});
    return;
  }
  pending_requests_[key] = {from, seq, revision};
}

void KeeperRole::link_gone(LinkId link) {
  std::erase_if(pending_requests_, [link](const auto& request) { return request.second.link == link; });
  std::erase_if(pending_key_requests_, [link](const auto& request) { return request.second == link; });
}

// No redirect where this keeper does not lead: a member learns who leads by its lease requests.
void KeeperRole::on_request(const ReplicatedLog& log, LinkId from, promises::KeyRequest ask) {
  if (!log.leads() || !arbiter_.leads()) return;
  const std::pair key{ask.from, ask.seq};
  if (watch_.asked(std::move(ask))) pending_key_requests_[key] = from;
}

const budget::Terms& KeeperRole::terms() const {
  return state_.ledger.terms().revision > 0 ? state_.ledger.terms() : own_terms_;
}

void KeeperRole::run(TimeUs now, ReplicatedLog& log) {
  // Comparing terms guards against a leadership that was lost and won again between two runs: another leader
  // may have granted leases in between.
  if (arbiter_.leads() && (!log.leads() || log.term() != term_)) {
    arbiter_.step_down();
    watch_.step_down();
    pending_requests_.clear();
    pending_key_requests_.clear();
    proposed_count_ = log.finished_proposals();
  }
  if (!arbiter_.leads() && log.leads()) {
    arbiter_.become_leader(now, state_.ledger);
    watch_.become_leader(now, state_.keys, terms());
    term_ = log.term();
    proposed_count_ = log.finished_proposals();
  }
  // An entry that granted nothing has to be processed too: otherwise an expiry would be proposed again in
  // each run, until the next entry with a grant.
  if (std::exchange(news_, false)) {
    const std::vector<budget::Grant> granted(granted_.begin(), granted_.end());
    granted_.clear();
    arbiter_.applied(now, state_.ledger, granted);
    for (const budget::Grant& grant : granted) queue_reply(grant);
    std::vector<promises::KeyReply> replies = std::exchange(key_replies_, {});
    if (arbiter_.leads()) watch_.applied(now, state_.keys, replies, terms());
    for (promises::KeyReply& reply : replies) queue_reply(std::move(reply));
  }
  entry_in_flight_ = arbiter_.leads() && log.finished_proposals() < proposed_count_;
  if (!arbiter_.leads() || entry_in_flight_) return;
  Entry entry{arbiter_.next(now, state_.ledger).value_or(budget::Entry{}),
              watch_.next(now, state_.keys, terms())};
  if (entry.empty()) return;
  if (log.propose(entry)) {
    ++proposed_count_;
    entry_in_flight_ = true;
    return;
  }
  // Members repeat their requests by themselves.
  for (const promises::KeyRequest& ask : entry.keys.asks) pending_key_requests_.erase({ask.from, ask.seq});
}

std::optional<TimeUs> KeeperRole::next_due() const {
  // `run` proposes nothing before the entry in flight is applied.
  if (!arbiter_.leads() || entry_in_flight_) return std::nullopt;
  const auto a = arbiter_.next_due();
  const auto b = watch_.next_due();
  return a && b ? std::min(*a, *b) : a ? a : b;
}

void KeeperRole::apply(const Entry& entry) {
  ++applied_count_;
  news_ = true;
  for (budget::Grant& grant : state_.ledger.apply(entry.budget)) granted_.push_back(std::move(grant));
  for (promises::KeyReply& reply : state_.keys.apply(entry.keys)) key_replies_.push_back(std::move(reply));
  // Only the leader replies, and tracks when leases end.
  if (!arbiter_.leads()) granted_.clear(), key_replies_.clear();
}

void KeeperRole::queue_reply(promises::KeyReply reply) {
  const auto it = pending_key_requests_.find({reply.to, reply.seq});
  if (it == pending_key_requests_.end()) return;
  replies_.push_back({it->second, std::move(reply)});
  pending_key_requests_.erase(it);
}

// A request that the member has repeated since is answered too: guards against a disk so slow that a member
// repeats its request before each reply, and would never get one.
void KeeperRole::queue_reply(const budget::Grant& grant) {
  const auto it = pending_requests_.find(grant.to);
  if (it == pending_requests_.end() || grant.seq > it->second.seq) return;
  GrantReply reply{grant, {}, state_.keys.settled()};
  if (it->second.revision != state_.ledger.terms().revision) reply.terms.push_back(state_.ledger.terms());
  const bool latest = it->second.seq == grant.seq;
  replies_.push_back({it->second.link, std::move(reply)});
  if (latest) pending_requests_.erase(it);
}

std::vector<KeeperRole::Reply> KeeperRole::take_replies() { return std::exchange(replies_, {}); }

std::string KeeperRole::status(const ReplicatedLog& log) const {
  std::ostringstream out;
  out << "keeper " << (log.leads() ? "leads" : "follows") << " leader " << log.leader() << " entries "
      << applied_count_ << " level_percent " << budget::percent_of(state_.ledger.level()) << " members "
      << state_.ledger.members().size() << " revision " << state_.ledger.terms().revision << '\n';
  for (std::size_t a = 0; a < state_.ledger.terms().allowances.size(); ++a) {
    const budget::Allowance& terms = state_.ledger.terms().allowances[a];
    const budget::Parts leased = state_.ledger.outstanding(a);
    out << "allowance " << terms.name << " whole " << terms.whole << " leased " << leased << " set_aside "
        << state_.ledger.terms().largest * terms.cut_off << " free " << state_.ledger.free(a) << '\n';
  }
  if (terms().longest_key_hold > 0)
    out << "keys rest " << state_.keys.holds().size() << " of " << promises::kMaxHeldKeys << " given "
        << state_.keys.last_number() << (state_.keys.settled() ? "" : " not settled") << '\n';
  for (const auto& [key, member] : state_.ledger.members()) {
    out << "member " << key.name << ' ' << key.incarnation << " lease " << member.number
        << (member.superseded ? " superseded" : "");
    for (std::size_t a = 0; a < member.granted.size(); ++a)
      out << ' ' << state_.ledger.terms().allowances[a].name << ' ' << member.outstanding(a);
    out << '\n';
  }
  return out.str();
}

}  // namespace orchidgw::fleet
