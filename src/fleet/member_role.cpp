#include "fleet/member_role.h"

#include <algorithm>
#include <utility>

namespace orchidgw::fleet {
namespace {

// Divisors of a lease's term. A lease is renewed after a third of it, so that two requests may be lost; a
// reply that takes longer than a sixth counts as lost.
constexpr TimeUs kRenewalDivisor = 3;
constexpr TimeUs kReplyTimeoutDivisor = 6;
constexpr int kMaxRedirects = 2;           // in a row; more are taken for a loop
constexpr TimeUs kRetryPauseDivisor = 24;  // divisor of the term: pause before the next keeper is tried

std::uint64_t next_random(std::uint64_t& state) {  // SplitMix64 (Steele, Lea, Flood 2014)
  std::uint64_t mixed = state += 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace

MemberRole::MemberRole(budget::MemberKey self, budget::Terms own, std::vector<KeeperId> keepers,
                       std::uint64_t seed)
    : holder_(std::move(self), std::move(own)), keepers_(std::move(keepers)), random_state_(seed) {
  current_keeper_ = next_random(random_state_) % keepers_.size();
}

TimeUs MemberRole::renewal_interval() const { return holder_.terms().term / kRenewalDivisor; }

TimeUs MemberRole::reply_timeout() const { return holder_.terms().term / kReplyTimeoutDivisor; }

TimeUs MemberRole::with_jitter(TimeUs time) {
  return time * 9 / 10 +
         static_cast<TimeUs>(next_random(random_state_) % static_cast<std::uint64_t>(time / 5 + 1));
}

budget::LeaseRequest MemberRole::ask(TimeUs now, std::vector<budget::Parts> demand,
                                     const std::vector<budget::Parts>& parts_in_use) {
  if (awaiting_reply_)
    current_keeper_ = (current_keeper_ + 1) % keepers_.size();  // the keeper before did not reply in time
  budget::LeaseRequest request = holder_.ask(now, std::move(demand), parts_in_use);
  last_seq_ = request.seq;
  requested_at_ = now;
  awaiting_reply_ = true;
  reply_deadline_ = now + with_jitter(reply_timeout());
  return request;
}

bool MemberRole::on_reply(TimeUs now, const GrantReply& reply) {
  leader_known_ = true;
  keys_settled_ = reply.keys_settled;
  const bool accepted = holder_.answered(now, reply.grant, reply.terms);
  // A lease by an earlier request ends the wait too: the keeper is alive, and slow.
  if (reply.grant.seq != last_seq_ && !accepted) return accepted;
  awaiting_reply_ = false;
  redirect_count_ = 0;
  next_request_at_ = holder_.must_acknowledge() ? now : requested_at_ + with_jitter(renewal_interval());
  // After a reply that was ignored, such as a lease that had expired on arrival, the next request is sent a
  // reply timeout from now at the earliest.
  if (!accepted) next_request_at_ = std::max(next_request_at_, now + with_jitter(reply_timeout()));
  return accepted;
}

void MemberRole::on_reply(TimeUs now, const Redirect& redirect) {
  if (!awaiting_reply_ || redirect.seq != last_seq_) return;
  leader_known_ = redirect.leader != 0;
  if (redirect.leader == keeper_to_ask()) {  // it is the leader, and grants nothing yet
    awaiting_reply_ = false;
    redirect_count_ = 0;
    next_request_at_ = now + with_jitter(holder_.terms().term / kRetryPauseDivisor);
    return;
  }
  const auto leader_entry = std::find(keepers_.begin(), keepers_.end(), redirect.leader);
  // Guards against keepers that each take another for the leader: requests would go round in a loop, as fast
  // as they reply.
  const bool redirect_loop = ++redirect_count_ > kMaxRedirects;
  if (redirect_loop || redirect.leader == 0 || leader_entry == keepers_.end())
    return try_next_keeper(now, with_jitter(holder_.terms().term / kRetryPauseDivisor));
  current_keeper_ = static_cast<std::size_t>(leader_entry - keepers_.begin());
  awaiting_reply_ = false;
  next_request_at_ = now;
}

void MemberRole::link_down(TimeUs now, KeeperId keeper) {
  if (awaiting_reply_ && keeper == keeper_to_ask())
    try_next_keeper(now, with_jitter(holder_.terms().term / kRetryPauseDivisor));
}

void MemberRole::try_next_keeper(TimeUs now, TimeUs delay) {
  current_keeper_ = (current_keeper_ + 1) % keepers_.size();
  awaiting_reply_ = false;
  redirect_count_ = 0;
  next_request_at_ = now + delay;
}

void MemberRole::leave(TimeUs now) {
  holder_.leave();
  awaiting_reply_ = false;
  next_request_at_ = now;
}

}  // namespace orchidgw::fleet
