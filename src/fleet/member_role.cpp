#include "fleet/member_role.h"

#include <algorithm>
#include <utility>

namespace orchidgw::fleet {
namespace {

// Of a lease's term: it is asked for anew after a third, so that two asks may be lost; an answer that takes a
// sixth is taken for lost.
constexpr TimeUs kRenewPart = 3;
constexpr TimeUs kAnswerPart = 6;
constexpr int kRedirectsMost = 2;      // in a row
constexpr TimeUs kElsewherePart = 24;  // a pause before the next keeper is asked, where none is known to lead

std::uint64_t next_random(std::uint64_t& state) {  // SplitMix64 (Steele, Lea, Flood 2014)
  std::uint64_t x = state += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace

MemberRole::MemberRole(budget::MemberKey self, budget::Terms own, std::vector<KeeperId> keepers,
                       std::uint64_t seed)
    : holder_(std::move(self), std::move(own)), keepers_(std::move(keepers)), random_(seed) {
  at_ = next_random(random_) % keepers_.size();
}

TimeUs MemberRole::renew_after() const { return holder_.terms().term / kRenewPart; }

TimeUs MemberRole::answer_within() const { return holder_.terms().term / kAnswerPart; }

TimeUs MemberRole::spread(TimeUs time) {
  return time * 9 / 10 + static_cast<TimeUs>(next_random(random_) % static_cast<std::uint64_t>(time / 5 + 1));
}

budget::Ask MemberRole::ask(TimeUs now, std::vector<budget::Parts> demand,
                            const std::vector<budget::Parts>& in_use) {
  if (waits_) at_ = (at_ + 1) % keepers_.size();  // the one before did not answer in time
  budget::Ask out = holder_.ask(now, std::move(demand), in_use);
  last_seq_ = out.seq;
  asked_at_ = now;
  waits_ = true;
  answer_by_ = now + spread(answer_within());
  return out;
}

bool MemberRole::told(TimeUs now, const GrantTold& told) {
  leader_known_ = true;
  keys_settled_ = told.keys_settled;
  const bool news = holder_.answered(now, told.grant, told.terms);
  // A lease by an earlier ask is an answer as good: the keeper is there, and slow.
  if (told.grant.seq != last_seq_ && !news) return news;
  waits_ = false;
  redirects_ = 0;
  due_ = holder_.owes_answer() ? now : asked_at_ + spread(renew_after());
  // What did not become a lease (no room, no terms yet) is asked for again at the usual pace.
  if (!news) due_ = std::max(due_, now + spread(answer_within()));
  return news;
}

void MemberRole::told(TimeUs now, const Elsewhere& elsewhere) {
  if (!waits_ || elsewhere.seq != last_seq_) return;
  leader_known_ = elsewhere.leader != 0;
  if (elsewhere.leader == asks()) {  // it leads, and grants nothing yet
    waits_ = false;
    redirects_ = 0;
    due_ = now + spread(holder_.terms().term / kElsewherePart);
    return;
  }
  const auto known = std::find(keepers_.begin(), keepers_.end(), elsewhere.leader);
  // Guards against keepers that each take another for the leader: asked in a circle, as fast as they answer.
  const bool in_a_circle = ++redirects_ > kRedirectsMost;
  if (in_a_circle || elsewhere.leader == 0 || known == keepers_.end())
    return try_next(now, spread(holder_.terms().term / kElsewherePart));
  at_ = static_cast<std::size_t>(known - keepers_.begin());
  waits_ = false;
  due_ = now;
}

void MemberRole::link_down(TimeUs now, KeeperId keeper) {
  if (waits_ && keeper == asks()) try_next(now, spread(holder_.terms().term / kElsewherePart));
}

void MemberRole::try_next(TimeUs now, TimeUs in) {
  at_ = (at_ + 1) % keepers_.size();
  waits_ = false;
  redirects_ = 0;
  due_ = now + in;
}

void MemberRole::leave(TimeUs now) {
  holder_.leave();
  waits_ = false;
  due_ = now;
}

}  // namespace orchidgw::fleet
