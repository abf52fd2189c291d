// What the fleet's file says, checked. Plain values.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "budget/terms.h"
#include "core/engine_listing.h"
#include "fleet/messages.h"

namespace orchidgw::fleet {

struct KeeperPlace {
  KeeperId id = 0;
  std::string name;  // of the controller that keeps, as BALANCER_NAME has it
  core::Address address;
};

// Parts of a whole that belong to all controllers together, in parts per million of it.
struct Division {
  std::int64_t cut_off_ppm = 200'000;  // set aside: a controller without a lease may use its part of this
  std::int64_t reserve_ppm = 50'000;   // kept free for newcomers
  std::int64_t least_ppm = 100'000;    // a live member has at least its part of this
};

struct FleetConfig {
  std::string name;
  std::uint64_t number = 0;    // with the name: keeps strangers' messages out, by accident only
  std::uint64_t revision = 0;  // of the file: the keepers agree on the highest that a leader has
  int largest = 1;             // controllers there may ever be at one time
  TimeUs term = 0;             // of a lease
  std::int64_t drift_ppm = 0;
  TimeUs ramp = 0;  // over which the whole is let out again after all members were lost at once; 0: at once
  Division division;
  std::optional<int>
      further_attempts;  // of all controllers together, in the rules' window; none: not divided
  bool keys = false;     // what must not run twice is known to all of the fleet before it is sent
  std::vector<KeeperPlace> keepers;
  std::string store;     // a keeper's folder
  bool careful = false;  // a keeper whose store can't be used starts as a member that keeps nothing

  const KeeperPlace* keeper_named(const std::string& controller) const {
    for (const KeeperPlace& keeper : keepers)
      if (keeper.name == controller) return &keeper;
    return nullptr;
  }
};

}  // namespace orchidgw::fleet
