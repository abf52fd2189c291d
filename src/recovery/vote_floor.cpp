#include "recovery/vote_floor.h"

#include <algorithm>
#include <utility>

namespace orchidgw::recovery {

VoteFloor::VoteFloor(fleet::KeeperId self, std::vector<fleet::KeeperId> voters, TimeUs now, TimeUs patience)
    : self_(self),
      voters_(std::move(voters)),
      waits_until_(now + patience),
      last_until_(now + 2 * patience) {}

void VoteFloor::told(fleet::KeeperId by, const fleet::LogStanding& at) {
  if (by == self_ || std::find(voters_.begin(), voters_.end(), by) == voters_.end()) return;
  terms_.emplace(by, at.term);
  agreed_ = std::max(agreed_, at.agreed);
  last_ = std::max(last_, at.last);
}

std::vector<fleet::KeeperId> VoteFloor::waits_for(TimeUs now) const {
  std::vector<fleet::KeeperId> out;
  if (now >= waits_until_) return out;
  for (const fleet::KeeperId one : voters_)
    if (one != self_ && !terms_.contains(one)) out.push_back(one);
  return out;
}

// A vote that is asked for before a candidate stands (Ongaro 2014, 9.6) binds nobody: its term does not
// count.
bool VoteFloor::lets(const fleet::LogMessage& message, TimeUs now) const {
  if (message.kind != fleet::LogMessage::Kind::kVote) return true;
  if (!waits_for(now).empty()) return false;
  const fleet::LogPosition candidate{message.index_term, message.index};
  if (candidate < agreed_ || (now < last_until_ && candidate < last_)) return false;
  return message.pre_vote != 0 || std::all_of(terms_.begin(), terms_.end(),
                                              [&](const auto& one) { return message.term > one.second; });
}

}  // namespace orchidgw::recovery
