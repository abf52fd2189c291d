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
  kBudgets,  // it has a lease without anything in it: others hold what it needs
  kRamp,     // budgets are divided, and the whole fleet is held to a part of them while engines are cold
  kFull
};

std::string_view name_of(Stage stage);

struct Facts {
  bool keeps = false;         // this controller is a keeper
  bool store_ok = false;      // and its disk is in use
  bool keeper_heard = false;  // any keeper, itself too
  bool leader_known = false;
  bool leased = false;
  bool any_part = false;  // of any allowance, beyond the cut-off part
  budget::Parts level = budget::kFullLevel;
};

Stage stage_of(const Facts& facts);

}  // namespace orchidgw::recovery
