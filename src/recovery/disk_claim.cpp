#include "recovery/disk_claim.h"

#include <algorithm>
#include <utility>

namespace orchidgw::recovery {

std::string ownership_error(const store::StoredOwner& found, const store::StoredOwner& wanted) {
  const auto describe = [](const store::StoredOwner& owner) {
    return "keeper " + std::to_string(owner.keeper) + " of fleet " + owner.fleet + " " +
           std::to_string(owner.number);
  };
  const bool same =
      found.fleet == wanted.fleet && found.number == wanted.number && found.keeper == wanted.keeper;
  return same ? "" : "it is the store of " + describe(found) + ", not of " + describe(wanted);
}

RejoinGuard::RejoinGuard(const store::StoredOwner& self, std::vector<fleet::KeeperId> voters,
                         const store::StoredLog& found)
    : owner_(self), voters_(std::move(voters)) {
  if (found.owner) owner_.bootstrapped = found.owner->bootstrapped;
  // A store written by the previous version has a log but no owner: it is this keeper's, which has begun.
  if (!found.empty()) begin();
}

bool RejoinGuard::is_other_voter(fleet::KeeperId keeper) const {
  return keeper != owner_.keeper && std::find(voters_.begin(), voters_.end(), keeper) != voters_.end();
}

bool RejoinGuard::on_greeting(fleet::KeeperId by, const std::vector<fleet::KeeperId>& bootstrapped) {
  if (!is_other_voter(by)) return false;
  const auto knows = [&bootstrapped](fleet::KeeperId keeper_id) {
    return std::find(bootstrapped.begin(), bootstrapped.end(), keeper_id) != bootstrapped.end();
  };
  // Knowledge is never withdrawn: an older greeting may arrive late on another connection.
  knows_me_[by] = knows_me_[by] || knows(owner_.keeper);
  return knows(by) && on_log_message(by);
}

bool RejoinGuard::on_log_message(fleet::KeeperId by) {
  return is_other_voter(by) && owner_.bootstrapped.insert(by).second;
}

RejoinGuard::Verdict RejoinGuard::verdict() const {
  if (owner_.bootstrapped.contains(owner_.keeper)) return Verdict::kAllowed;
  for (const auto& [keeper, knows] : knows_me_)
    if (knows) return Verdict::kForbidden;
  return waits_for().empty() ? Verdict::kAllowed : Verdict::kWait;
}

std::vector<fleet::KeeperId> RejoinGuard::waits_for() const {
  std::vector<fleet::KeeperId> out;
  for (const fleet::KeeperId keeper_id : voters_)
    if (keeper_id != owner_.keeper && !knows_me_.contains(keeper_id)) out.push_back(keeper_id);
  return out;
}

}  // namespace orchidgw::recovery
