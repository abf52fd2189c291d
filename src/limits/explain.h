// Lists the limits that apply to one kind of query, each with its origin: a line of the operator file, a
// setting or a rule.
#pragma once

#include <string>
#include <vector>

#include "limits/limit_set.h"

namespace orchidgw::limits {

struct ExplainedLimit {
  std::string field;
  std::string value;
  std::string set_by;  // "file, line 12, for route 'lookups'", "settings: policyLimits.maxAttempts", "rule 2"
};

struct Explanation {
  std::string route;
  std::vector<ExplainedLimit> limits;
};

// `set`: null without an operator file. The effective limit is the smallest of file, settings and rules.
Explanation explain(const Settings& settings, const LimitSet* set, int class_index, std::string_view tenant,
                    std::string_view table, bool keyed);

}  // namespace orchidgw::limits
