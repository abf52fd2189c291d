#include "recovery/one_copy.h"

#include <algorithm>
#include <set>

namespace orchidgw::recovery {
namespace {

std::string list(const std::set<fleet::KeeperId>& ids) {
  std::string out;
  for (const fleet::KeeperId id : ids) {
    if (!out.empty()) out += ',';
    out += std::to_string(id);
  }
  return out;
}

// Guards against two logs that both grant: each of these is a way to have the other keepers go on, too.
std::string fault_of(const store::Stored& found, const std::vector<fleet::KeeperId>& voters,
                     const fleet::FleetConfig& config, const std::string& self,
                     const std::vector<fleet::KeeperId>& lost) {
  if (found.empty()) return "there is no log in it";
  if (!found.owner) return "it does not say whose it is: it was written by an earlier version";
  const fleet::KeeperPlace* place = config.keeper_named(self);
  if (place == nullptr) return "the fleet's file does not name " + self + " as a keeper";
  if (place->id != found.owner->keeper)
    return "it is keeper " + std::to_string(found.owner->keeper) + "'s, and " + self + " is keeper " +
           std::to_string(place->id) + " in the fleet's file";
  if (config.name != found.owner->fleet) return "it is of fleet " + found.owner->fleet;
  if (config.number <= found.owner->number)
    return "fleet.number has to be raised above " + std::to_string(found.owner->number) +
           " first: whoever has the old file must be a stranger";
  if (config.keepers.size() != 1)
    return "the fleet's file has to name " + self +
           " as its only keeper: others would begin a log of their own";
  if (voters.empty()) return "its log does not tell who keeps it";
  std::set<fleet::KeeperId> others(voters.begin(), voters.end());
  others.erase(place->id);
  if (others != std::set<fleet::KeeperId>(lost.begin(), lost.end()))
    return "--lost has to name all others that have kept this log: " + list(others);
  return "";
}

}  // namespace

OneCopy go_on_from_one_copy(const store::Stored& found, const std::vector<fleet::KeeperId>& voters,
                            const fleet::State& state, const fleet::FleetConfig& config,
                            const std::string& self, const std::vector<fleet::KeeperId>& lost) {
  OneCopy out;
  out.fault = fault_of(found, voters, config, self, lost);
  if (!out.fault.empty()) return out;
  out.owner = {config.name, config.number, found.owner->keeper, {found.owner->keeper}};
  out.term = found.term + 1;
  out.index = found.first + found.entries.size() - 1;
  out.index_term = !found.entries.empty() ? found.entries.back().term
                   : found.snapshot       ? found.snapshot->term
                                          : 0;
  out.state.keys.restore(state.keys.rests(), state.keys.last_number(), false);
  out.says = {
      "this copy ends at entry " + std::to_string(out.index) + " of term " + std::to_string(out.index_term) +
          "; what the lost keepers agreed on behind it is not known and will not be",
      "leases: " + std::to_string(state.ledger.members().size()) +
          " are known, all are waited out for a term before any is granted",
      "keys: " + std::to_string(state.keys.rests().size()) +
          " are known to rest; none is given before the longest rest is over, as others may",
      "lost for good: nothing else is kept in the log",
      "keepers " + list({lost.begin(), lost.end()}) +
          " must never run again with their old disks and the old file, nor any controller with that file"};
  return out;
}

}  // namespace orchidgw::recovery
