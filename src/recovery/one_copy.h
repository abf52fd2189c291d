// Recovery of a fleet from the copy of one keeper, started by an operator after a majority of the keepers is
// lost with its disks. What the lost keepers may have committed after the end of this copy is unknown, and it
// is not assumed that there was nothing: as after a lost log, nothing is leased before all leases have
// expired, and no key is granted before the longest hold has expired. No I/O, no clock.
#pragma once

#include <string>
#include <vector>

#include "fleet/agreed_log.h"
#include "fleet/fleet_config.h"
#include "store/log_store.h"

namespace orchidgw::recovery {

struct SingleCopyRecovery {
  std::string fault;  // why the recovery is refused; empty: it is not, and the rest is set
  std::vector<std::string> operator_notes;  // shown to the operator before anything is written
  store::StoredOwner owner;                 // of the store after the recovery
  std::uint64_t term = 0;                   // of the log after the recovery
  std::uint64_t index = 0;                  // of the last entry of the copy; all of them go into one snapshot
  std::uint64_t index_term = 0;             // term of that entry
  fleet::State state;
};

// Checks whether the fleet can be recovered from this copy, and returns what is to be written. `found`: the
// content of this keeper's disk. `voters`: the keepers according to its log. `state`: the result of its
// entries. `config`: the fleet's file that applies from now on. `self`: name of this controller. `lost`: the
// keepers that the operator names as lost.
SingleCopyRecovery recover_from_single_copy(const store::StoredLog& found,
                                            const std::vector<fleet::KeeperId>& voters,
                                            const fleet::State& state, const fleet::FleetConfig& config,
                                            const std::string& self,
                                            const std::vector<fleet::KeeperId>& lost);

}  // namespace orchidgw::recovery
