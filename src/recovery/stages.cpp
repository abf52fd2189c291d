#include "recovery/stages.h"

namespace orchidgw::recovery {

std::string_view name_of(Stage stage) {
  switch (stage) {
    case Stage::kStore:
      return "store";
    case Stage::kKeepers:
      return "keepers";
    case Stage::kLog:
      return "log";
    case Stage::kTerms:
      return "terms";
    case Stage::kBudgets:
      return "budgets";
    case Stage::kRamp:
      return "ramp";
    case Stage::kKeys:
      return "keys";
    case Stage::kFull:
      return "full";
  }
  return "";
}

Stage next_stage(Stage before, const Facts& facts) {
  // A lease implies that all earlier conditions are met, whatever the state of this controller's own disk.
  if (!facts.leased) {
    if (facts.keeps && !facts.store_ok) return Stage::kStore;
    if (!facts.keeper_heard) return Stage::kKeepers;
    return facts.leader_known ? Stage::kTerms : Stage::kLog;
  }
  if (facts.level < budget::kFullLevel) return Stage::kRamp;
  const bool was_past_budgets = before == Stage::kRamp || before == Stage::kKeys || before == Stage::kFull;
  if (!was_past_budgets && !facts.half_granted) return Stage::kBudgets;
  return facts.keys_settled ? Stage::kFull : Stage::kKeys;
}

}  // namespace orchidgw::recovery
