// `orchidgw fleet recover`: a keeper's store goes on from its own copy, once a majority of the keepers is
// lost.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "fleet/messages.h"

namespace orchidgw::cli {

struct Recover {
  std::vector<fleet::KeeperId> lost;
  std::string confirm;  // the fleet's name, typed again; else nothing is changed
};

// Exit codes as of the other commands; a fault is one line on `err`. The store is changed whole or not at
// all.
int run_recover(const configuration::Sources& sources, const Recover& recover, std::ostream& out,
                std::ostream& err);

}  // namespace orchidgw::cli
