// Going on from one keeper's copy, after a majority of the keepers is lost with its disks: an operator's
// hand. What the lost ones may have agreed on behind this copy's end is not known, and nothing is built on
// that there was nothing: leases out there are waited out as after a lost log, and no key is given before the
// longest rest is over. No I/O, no clock.
#pragma once

#include <string>
#include <vector>

#include "fleet/agreed_log.h"
#include "fleet/fleet_config.h"
#include "store/log_store.h"

namespace orchidgw::recovery {

struct OneCopy {
  std::string fault;              // why it can't be; else empty
  std::vector<std::string> says;  // what the operator is to know before
  store::StoredOwner owner;       // from now on
  std::uint64_t term = 0;
  std::uint64_t index = 0;  // of the last entry of the copy; all of them go into one snapshot
  std::uint64_t index_term = 0;
  fleet::State state;
};

// `found`: of this keeper's disk, `voters`: by its log, `state`: what it leads to. `config`: of the file that
// is to hold from now on. `lost`: as the operator names them.
OneCopy go_on_from_one_copy(const store::Stored& found, const std::vector<fleet::KeeperId>& voters,
                            const fleet::State& state, const fleet::FleetConfig& config,
                            const std::string& self, const std::vector<fleet::KeeperId>& lost);

}  // namespace orchidgw::recovery
