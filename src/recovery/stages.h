// In which order a controller comes back, as seen by whom it has heard of and what it holds: the first thing
// that is missing names the stage. What each answers to clients is in docs/design-recovery.md. No I/O, no
// clock.
#pragma once

#include <string_view>

#include "budget/terms.h"

namespace orchidgw::recovery {

enum class Stage {
  kStore,    // a keeper's own disk is not in use: being asked about, failing, or not to be used any more
  kKeepers,  // no keeper has been heard of
  kLog,      // keepers answer, and none leads: too few of them, or an election
  kTerms,    // one leads, and gives nothing yet: leases from before are waited out
  kBudgets,  // it has a lease and not half of what it is due: leases of before the stop are waited out
  kRamp,     // budgets are divided, and the whole fleet is held to a part of them while engines are cold
  kKeys,     // what must not run twice is not let in yet: keys of a log that is lost may rest
  kFull
};

std::string_view name_of(Stage stage);

struct Facts {
  bool keeps = false;         // this controller is a keeper
  bool store_ok = false;      // and its disk is in use
  bool keeper_heard = false;  // any keeper, itself too
  bool leader_known = false;
  bool leased = false;
  bool settled = false;  // it has half of what it is due
  budget::Parts level = budget::kFullLevel;
  bool keys_settled = true;  // true where the fleet keeps none
};

// What comes after `before`. A controller that was in full service falls back only with its lease or the
// ramp: parts that move by demand are ordinary life.
Stage next_stage(Stage before, const Facts& facts);

}  // namespace orchidgw::recovery
