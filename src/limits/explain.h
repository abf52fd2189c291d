// The limits that hold for one kind of query, each with what set it: a line of the file, a setting, or a
// rule.
#pragma once

#include <string>
#include <vector>

#include "limits/limit_set.h"

namespace orchidgw::limits {

struct Explained {
  std::string field;
  std::string value;
  std::string set_by;  // "routes 'lookups', line 12", "settings: policyLimits.maxAttempts", "rule 2"
};

struct Explanation {
  std::string route;
  std::vector<Explained> limits;
};

// `set`: null, no file. The effective bound is the smallest of file, settings and rules.
Explanation explain(const Settings& settings, const LimitSet* set, int class_index, std::string_view tenant,
                    std::string_view table, bool keyed);

}  // namespace orchidgw::limits
