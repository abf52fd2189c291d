#include "recovery/one_copy.h"

#include <algorithm>
#include <set>

namespace orchidgw::recovery {
namespace {

std::string join(const std::set<fleet::KeeperId>& ids) {
  std::string out;
  for (const fleet::KeeperId id : ids) {
    if (!out.empty()) out += ',';
    out += std::to_string(id);
  }
  return out;
}

// Returns why the recovery is refused; empty: it is not. Each of these conditions would let other keepers
// continue as well, so that two logs grant leases and keys independently.
std::string refusal_text(const store::StoredLog& found, const std::vector<fleet::KeeperId>& voters,
                         const fleet::FleetConfig& config, const std::string& self,
                         const std::vector<fleet::KeeperId>& lost) {
  if (found.empty()) return "there is no log in it";
  if (!found.owner) return "it does not say whose it is: it was written by an earlier version";
  const fleet::KeeperEndpoint* self_keeper = config.find_keeper(self);
  if (self_keeper == nullptr) return "the fleet's file does not name " + self + " as a keeper";
  if (self_keeper->id != found.owner->keeper)
    return "it is keeper " + std::to_string(found.owner->keeper) + "'s, and " + self + " is keeper " +
           std::to_string(self_keeper->id) + " in the fleet's file";
  if (config.name != found.owner->fleet) return "it is of fleet " + found.owner->fleet;
  if (config.number <= found.owner->number)
    return "fleet.number has to be raised above " + std::to_string(found.owner->number) +
           " first: processes with the old file must be rejected";
  if (config.keepers.size() != 1)
    return "the fleet's file has to name " + self +
           " as its only keeper: others would begin a log of their own";
  if (voters.empty()) return "its log does not tell which keepers have it";
  std::set<fleet::KeeperId> others(voters.begin(), voters.end());
  others.erase(self_keeper->id);
  if (others != std::set<fleet::KeeperId>(lost.begin(), lost.end()))
    return "--lost has to name all others that have kept this log: " + join(others);
  return "";
}

}  // namespace

SingleCopyRecovery recover_from_single_copy(const store::StoredLog& found,
                                            const std::vector<fleet::KeeperId>& voters,
                                            const fleet::State& state, const fleet::FleetConfig& config,
                                            const std::string& self,
                                            const std::vector<fleet::KeeperId>& lost) {
  SingleCopyRecovery out;
  out.fault = refusal_text(found, voters, config, self, lost);
  if (!out.fault.empty()) return out;
  out.owner = {config.name, config.number, found.owner->keeper, {found.owner->keeper}};
  out.term = found.term + 1;
  out.index = found.first + found.entries.size() - 1;
  out.index_term = !found.entries.empty() ? found.entries.back().term
                   : found.snapshot       ? found.snapshot->term
                                          : 0;
  out.state.keys.restore(state.keys.holds(), state.keys.last_number(), false);
  out.operator_notes = {
      "this copy ends at entry " + std::to_string(out.index) + " of term " + std::to_string(out.index_term) +
          "; what the lost keepers agreed on behind it is not known and can't be recovered",
      "leases: " + std::to_string(state.ledger.members().size()) +
          " are known; all have expired after a full term, and none is granted for any member before that",
      "keys: " + std::to_string(state.keys.holds().size()) +
          " are known to be held; none is given before the longest hold is over, as others may be held",
      "lost for good: nothing else is kept in the log",
      "keepers " + join({lost.begin(), lost.end()}) +
          " must never run again with their old disks and the old file, nor any controller with that file"};
  return out;
}

}  // namespace orchidgw::recovery
