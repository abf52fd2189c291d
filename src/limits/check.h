// Checks a file's limits against a deployment's settings and the rules: what could never hold, never match,
// or go past a rule is a fault. All faults are found, not the first alone; a file with any is not put in
// force.
#pragma once

#include <vector>

#include "limits/route.h"

namespace orchidgw::limits {

// In the order of the file's lines. `routes_most`: what the deployment's memory allows.
std::vector<Fault> check(const Settings& settings, const LimitFile& file, std::size_t routes_most);

// For a controller without a fleet: adds a fault for each limit that says `scope: fleet`.
void check_no_fleet(const LimitFile& file, std::vector<Fault>& faults);

}  // namespace orchidgw::limits
