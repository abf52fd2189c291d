#include "fleet/keeper_role.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace orchidgw::fleet {

void KeeperRole::asked(const AgreedLog& log, LinkId from, budget::Ask ask) {
  const std::uint64_t seq = ask.seq;
  const std::uint64_t revision = ask.revision;
  const budget::MemberKey key = ask.from;
  const bool leads = log.leads() && arbiter_.leads();
  if (!leads || arbiter_.waits_out() || !arbiter_.asked(std::move(ask))) {
    const KeeperId leader = log.leads() && !arbiter_.waits_out() ? 0 : log.leader();
    replies_.push_back({from, Elsewhere{seq, leader}});
    return;
  }
  askers_[key] = {from, seq, revision};
}

void KeeperRole::link_gone(LinkId link) {
  std::erase_if(askers_, [link](const auto& one) { return one.second.link == link; });
  std::erase_if(key_askers_, [link](const auto& one) { return one.second == link; });
}

// Not told where else to go: who asks follows the leader by its leases.
void KeeperRole::asked(const AgreedLog& log, LinkId from, promises::KeyAsk ask) {
  if (!log.leads() || !arbiter_.leads()) return;
  const std::pair key{ask.from, ask.seq};
  if (watch_.asked(std::move(ask))) key_askers_[key] = from;
}

const budget::Terms& KeeperRole::terms() const {
  return state_.ledger.terms().revision > 0 ? state_.ledger.terms() : own_;
}

void KeeperRole::run(TimeUs now, AgreedLog& log) {
  // Guards against a leadership that was lost and won again between two runs: others granted in between.
  if (arbiter_.leads() && (!log.leads() || log.term() != term_)) {
    arbiter_.follow();
    watch_.follow();
    askers_.clear();
    key_askers_.clear();
    proposed_ = log.finished();
  }
  if (!arbiter_.leads() && log.leads()) {
    arbiter_.lead(now, state_.ledger);
    watch_.lead(now, state_.keys, terms());
    term_ = log.term();
    proposed_ = log.finished();
  }
  // An entry that granted nothing counts too: guards against an expiry that is said again and again, an entry
  // each turn, until somebody's grant comes by.
  if (std::exchange(news_, false)) {
    const std::vector<budget::Grant> granted(granted_.begin(), granted_.end());
    granted_.clear();
    arbiter_.applied(now, state_.ledger, granted);
    for (const budget::Grant& grant : granted) answer(grant);
    std::vector<promises::KeyTold> told = std::exchange(keys_told_, {});
    if (arbiter_.leads()) watch_.applied(now, state_.keys, told, terms());
    for (promises::KeyTold& one : told) answer(std::move(one));
  }
  on_its_way_ = arbiter_.leads() && log.finished() < proposed_;
  if (!arbiter_.leads() || on_its_way_) return;
  Entry entry{arbiter_.next(now, state_.ledger).value_or(budget::Entry{}),
              watch_.next(now, state_.keys, terms())};
  if (entry.empty()) return;
  if (log.propose(entry)) {
    ++proposed_;
    on_its_way_ = true;
    return;
  }
  // Its asks come again by themselves.
  for (const promises::KeyAsk& ask : entry.keys.asks) key_askers_.erase({ask.from, ask.seq});
}

std::optional<TimeUs> KeeperRole::next_due() const {
  if (!arbiter_.leads() || on_its_way_) return std::nullopt;  // what is on its way comes through first
  const auto a = arbiter_.next_due();
  const auto b = watch_.next_due();
  return a && b ? std::min(*a, *b) : a ? a : b;
}

void KeeperRole::apply(const Entry& entry) {
  ++entries_;
  news_ = true;
  for (budget::Grant& grant : state_.ledger.apply(entry.budget)) granted_.push_back(std::move(grant));
  for (promises::KeyTold& told : state_.keys.apply(entry.keys)) keys_told_.push_back(std::move(told));
  if (!arbiter_.leads()) granted_.clear(), keys_told_.clear();  // the leader answers, and counts terms
}

void KeeperRole::answer(promises::KeyTold told) {
  const auto it = key_askers_.find({told.to, told.seq});
  if (it == key_askers_.end()) return;
  replies_.push_back({it->second, std::move(told)});
  key_askers_.erase(it);
}

// An earlier ask than its last is answered too: guards against a disk so slow that a member has asked anew
// before each answer, and would never have one.
void KeeperRole::answer(const budget::Grant& grant) {
  const auto it = askers_.find(grant.to);
  if (it == askers_.end() || grant.seq > it->second.seq) return;
  GrantTold told{grant, {}, state_.keys.settled()};
  if (it->second.revision != state_.ledger.terms().revision) told.terms.push_back(state_.ledger.terms());
  const bool last = it->second.seq == grant.seq;
  replies_.push_back({it->second.link, std::move(told)});
  if (last) askers_.erase(it);
}

std::vector<KeeperRole::Reply> KeeperRole::take_replies() { return std::exchange(replies_, {}); }

std::string KeeperRole::status(const AgreedLog& log) const {
  std::ostringstream out;
  out << "keeper " << (log.leads() ? "leads" : "follows") << " leader " << log.leader() << " entries "
      << entries_ << " level_percent " << budget::percent_of(state_.ledger.level()) << " members "
      << state_.ledger.members().size() << " revision " << state_.ledger.terms().revision << '\n';
  for (std::size_t a = 0; a < state_.ledger.terms().allowances.size(); ++a) {
    const budget::Allowance& terms = state_.ledger.terms().allowances[a];
    const budget::Parts out_there = state_.ledger.outstanding(a);
    out << "allowance " << terms.name << " whole " << terms.whole << " leased " << out_there << " set_aside "
        << state_.ledger.terms().largest * terms.cut_off << " free " << state_.ledger.free(a) << '\n';
  }
  if (terms().longest_rest > 0)
    out << "keys rest " << state_.keys.rests().size() << " of " << promises::kKeysMost << " given "
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
