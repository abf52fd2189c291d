// The fleet's configuration file, validated. Plain values.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "budget/terms.h"
#include "core/engine_listing.h"
#include "fleet/messages.h"

namespace orchidgw::fleet {

struct KeeperEndpoint {
  KeeperId id = 0;
  std::string name;  // of the controller that runs this keeper, as in its BALANCER_NAME
  core::Address address;
};

// How a whole is divided: shares that belong to all controllers together, in parts per million of it.
struct Division {
  // Set aside: a controller without a lease may use this divided by the maximum number of controllers.
  std::int64_t cut_off_ppm = 200'000;
  std::int64_t reserve_ppm = 50'000;  // kept free for new members
  // A live member gets at least this divided by the maximum number of controllers.
  std::int64_t least_ppm = 100'000;
};

struct FleetConfig {
  std::string name;
  std::uint64_t number = 0;    // of the fleet; with the name guards against mix-ups, not against attacks
  std::uint64_t revision = 0;  // of the file; the keepers adopt the highest revision that a leader has
  int largest = 1;             // maximum number of controllers at any time
  TimeUs term = 0;             // duration of a lease
  std::int64_t drift_ppm = 0;  // maximum drift between two clocks
  // Time over which the whole is leased out again after all members were lost at once; 0: immediately.
  TimeUs ramp = 0;
  Division division;
  // Retry budget of all controllers together, in the rules' window; none: it is not divided.
  std::optional<int> further_attempts;
  bool keys = false;  // keys of queries that must not run twice are held by the keepers, for the whole fleet
  std::vector<KeeperEndpoint> keepers;
  std::string store;  // folder of a keeper's store
  // A keeper whose store can't be used starts as a member that is no keeper.
  bool start_with_bad_store = false;

  // The keeper that runs in the controller of that name; null: none.
  const KeeperEndpoint* find_keeper(const std::string& controller) const {
    for (const KeeperEndpoint& keeper : keepers)
      if (keeper.name == controller) return &keeper;
    return nullptr;
  }
};

}  // namespace orchidgw::fleet
