// Validates the limits of an operator file against the settings and the rules: a limit that can never apply,
// a route that can never match or a value beyond a rule is a fault. All faults are reported, not only the
// first; a file with any fault must not be activated.
#pragma once

#include <vector>

#include "limits/route.h"

namespace orchidgw::limits {

// Returns the faults in the order of the file's lines. `max_routes`: as many as the configured memory allows.
std::vector<Fault> check(const Settings& settings, const LimitFile& file, std::size_t max_routes);

// For a controller that belongs to no fleet: appends a fault for each limit with `scope: fleet`.
void check_no_fleet_scope(const LimitFile& file, std::vector<Fault>& faults);

}  // namespace orchidgw::limits
