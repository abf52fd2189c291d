#include "fleet/keeper_role.h"

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
}

void KeeperRole::run(TimeUs now, AgreedLog& log) {
  // Guards against a leadership that was lost and won again between two runs: others granted in between.
  if (arbiter_.leads() && (!log.leads() || log.term() != term_)) {
    arbiter_.follow();
    askers_.clear();
    proposed_ = log.finished();
  }
  if (!arbiter_.leads() && log.leads()) {
    arbiter_.lead(now, ledger_);
    term_ = log.term();
    proposed_ = log.finished();
  }
  // An entry that granted nothing counts too: guards against an expiry that is said again and again, an entry
  // each turn, until somebody's grant comes by.
  if (std::exchange(news_, false)) {
    const std::vector<budget::Grant> granted(granted_.begin(), granted_.end());
    granted_.clear();
    arbiter_.applied(now, ledger_, granted);
    for (const budget::Grant& grant : granted) answer(grant);
  }
  if (!arbiter_.leads()) return;
  if (log.finished() >= proposed_) arbiter_.done();
  if (const auto entry = arbiter_.next(now, ledger_)) {
    if (log.propose(*entry)) {
      ++proposed_;
    } else {
      arbiter_.done();  // its asks come again by themselves
    }
  }
}

void KeeperRole::apply(const budget::Entry& entry) {
  ++entries_;
  news_ = true;
  for (budget::Grant& grant : ledger_.apply(entry)) granted_.push_back(std::move(grant));
  if (!arbiter_.leads()) granted_.clear();  // the leader answers, and counts terms
}

// An earlier ask than its last is answered too: guards against a disk so slow that a member has asked anew
// before each answer, and would never have one.
void KeeperRole::answer(const budget::Grant& grant) {
  const auto it = askers_.find(grant.to);
  if (it == askers_.end() || grant.seq > it->second.seq) return;
  GrantTold told{grant, {}};
  if (it->second.revision != ledger_.terms().revision) told.terms.push_back(ledger_.terms());
  const bool last = it->second.seq == grant.seq;
  replies_.push_back({it->second.link, std::move(told)});
  if (last) askers_.erase(it);
}

std::vector<KeeperRole::Reply> KeeperRole::take_replies() { return std::exchange(replies_, {}); }

std::string KeeperRole::status(const AgreedLog& log) const {
  std::ostringstream out;
  out << "keeper " << (log.leads() ? "leads" : "follows") << " leader " << log.leader() << " entries "
      << entries_ << " level_percent " << budget::percent_of(ledger_.level()) << " members "
      << ledger_.members().size() << " revision " << ledger_.terms().revision << '\n';
  for (std::size_t a = 0; a < ledger_.terms().allowances.size(); ++a) {
    const budget::Allowance& terms = ledger_.terms().allowances[a];
    const budget::Parts out_there = ledger_.outstanding(a);
    out << "allowance " << terms.name << " whole " << terms.whole << " leased " << out_there << " set_aside "
        << ledger_.terms().largest * terms.cut_off << " free " << ledger_.free(a) << '\n';
  }
  for (const auto& [key, member] : ledger_.members()) {
    out << "member " << key.name << ' ' << key.incarnation << " lease " << member.number
        << (member.superseded ? " superseded" : "");
    for (std::size_t a = 0; a < member.granted.size(); ++a)
      out << ' ' << ledger_.terms().allowances[a].name << ' ' << member.outstanding(a);
    out << '\n';
  }
  return out.str();
}

}  // namespace orchidgw::fleet
