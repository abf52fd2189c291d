#include "recovery/vote_floor.h"

#include <algorithm>
#include <utility>

namespace orchidgw::recovery {

VoteGuard::VoteGuard(fleet::KeeperId self, std::vector<fleet::KeeperId> voters, TimeUs now,
                     TimeUs greeting_timeout)
    : self_(self),
      voters_(std::move(voters)),
      wait_for_all_until_(now + greeting_timeout),
      uncommitted_counts_until_(now + 2 * greeting_timeout) {}

void VoteGuard::on_greeting(fleet::KeeperId by, const fleet::LogProgress& at) {
  if (by == self_ || std::find(voters_.begin(), voters_.end(), by) == voters_.end()) return;
  reported_terms_.emplace(by, at.term);
  reported_agreed_ = std::max(reported_agreed_, at.agreed);
  reported_last_ = std::max(reported_last_, at.last);
}

std::vector<fleet::KeeperId> VoteGuard::waits_for(TimeUs now) const {
  std::vector<fleet::KeeperId> out;
  if (now >= wait_for_all_until_) return out;
  for (const fleet::KeeperId voter : voters_)
    if (voter != self_ && !reported_terms_.contains(voter)) out.push_back(voter);
  return out;
}

// A pre-vote (Ongaro 2014, 9.6) binds nobody, so its term does not count.
bool VoteGuard::allows(const fleet::LogMessage& message, TimeUs now) const {
  if (message.kind != fleet::LogMessage::Kind::kVote) return true;
  if (!waits_for(now).empty()) return false;
  const fleet::LogPosition candidate{message.index_term, message.index};
  if (candidate < reported_agreed_ || (now < uncommitted_counts_until_ && candidate < reported_last_))
    return false;
  return message.pre_vote != 0 ||
         std::all_of(reported_terms_.begin(), reported_terms_.end(),
                     [&](const auto& reported) { return message.term > reported.second; });
}

}  // namespace orchidgw::recovery
