#include "recovery/disk_claim.h"

#include <algorithm>
#include <utility>

namespace orchidgw::recovery {

std::string fault_of(const store::StoredOwner& found, const store::StoredOwner& wanted) {
  const auto name = [](const store::StoredOwner& one) {
    return "keeper " + std::to_string(one.keeper) + " of fleet " + one.fleet + " " +
           std::to_string(one.number);
  };
  const bool same =
      found.fleet == wanted.fleet && found.number == wanted.number && found.keeper == wanted.keeper;
  return same ? "" : "it is the store of " + name(found) + ", not of " + name(wanted);
}

DiskClaim::DiskClaim(const store::StoredOwner& self, std::vector<fleet::KeeperId> voters,
                     const store::Stored& found)
    : owner_(self), voters_(std::move(voters)) {
  if (found.owner) owner_.begun = found.owner->begun;
  // A store of the version before has a log and no owner: it is this keeper's, and has begun.
  if (!found.empty()) begin();
}

bool DiskClaim::is_another(fleet::KeeperId keeper) const {
  return keeper != owner_.keeper && std::find(voters_.begin(), voters_.end(), keeper) != voters_.end();
}

bool DiskClaim::told(fleet::KeeperId by, const std::vector<fleet::KeeperId>& begun) {
  if (!is_another(by)) return false;
  const auto knows = [&begun](fleet::KeeperId one) {
    return std::find(begun.begin(), begun.end(), one) != begun.end();
  };
  // What was once known is not taken back: guards against a word from before, late on another connection.
  knows_me_[by] = knows_me_[by] || knows(owner_.keeper);
  return knows(by) && met(by);
}

bool DiskClaim::met(fleet::KeeperId by) { return is_another(by) && owner_.begun.insert(by).second; }

DiskClaim::Verdict DiskClaim::verdict() const {
  if (owner_.begun.contains(owner_.keeper)) return Verdict::kMay;
  for (const auto& [keeper, knows] : knows_me_)
    if (knows) return Verdict::kMustNot;
  return waits_for().empty() ? Verdict::kMay : Verdict::kWait;
}

std::vector<fleet::KeeperId> DiskClaim::waits_for() const {
  std::vector<fleet::KeeperId> out;
  for (const fleet::KeeperId one : voters_)
    if (one != owner_.keeper && !knows_me_.contains(one)) out.push_back(one);
  return out;
}

}  // namespace orchidgw::recovery
