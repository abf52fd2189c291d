// `orchidgw fleet recover`: makes a keeper's store continue from its own copy of the log, after the loss of a
// majority of the keepers.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "fleet/messages.h"

namespace orchidgw::cli {

struct RecoverOptions {
  std::vector<fleet::KeeperId> lost;  // all other keepers of the log
  std::string confirm;                // the fleet's name, as a confirmation; anything else changes nothing
};

// Returns the exit code (command_line.h); writes an error as one line to `err`. The store is changed in one
// commit or not at all.
int run_recover(const configuration::Sources& sources, const RecoverOptions& options, std::ostream& out,
                std::ostream& err);

}  // namespace orchidgw::cli
