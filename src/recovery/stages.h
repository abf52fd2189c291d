// The stages in which a controller returns to service. The first condition that is not met determines the
// stage. docs/design-recovery.md states what clients are answered in each. No I/O, no clock.
#pragma once

#include <string_view>

#include "budget/terms.h"

namespace orchidgw::recovery {

enum class Stage {
  kStore,  // the keeper's own disk is not in use: not yet cleared with the others, failing, or not to be used
  kKeepers,  // no keeper has been heard from
  kLog,      // keepers answer, but none leads: too few of them, or an election
  kTerms,    // a keeper leads, but grants nothing until earlier leases have expired
  kBudgets,  // leased, but less than half of its target until leases from before the restart have expired
  kRamp,  // budgets are divided, and the fleet is limited to a part of them while engines are in slow start
  kKeys,  // queries that must not run twice are not accepted yet: keys of a lost log may still be held
  kFull   // full service
};

std::string_view name_of(Stage stage);

struct Facts {
  bool keeps = false;         // this controller is a keeper
  bool store_ok = false;      // its disk is in use
  bool keeper_heard = false;  // any keeper has been heard from, including itself
  bool leader_known = false;
  bool leased = false;
  bool half_granted = false;  // see budget::Grant::half_granted
  budget::Parts level = budget::kFullLevel;
  bool keys_settled = true;  // see KeyTable::settled; true if the fleet holds no keys
};

// Returns the stage that follows `before`. A controller that was in full service falls back only if it loses
// its lease or a ramp starts: parts that move with demand are normal operation.
Stage next_stage(Stage before, const Facts& facts);

}  // namespace orchidgw::recovery
