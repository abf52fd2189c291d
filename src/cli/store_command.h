// What on-call staff see of a keeper's store while no process has it: nothing is changed.
#pragma once

#include <ostream>
#include <string>

#include "fleet/agreed_log.h"
#include "store/log_store.h"

namespace orchidgw::cli {

enum class StoreCommand {
  kInspect,  // whose it is, its term, vote and log, what was leased by it
  kVerify,   // all that was written is there and can be read
  kExport    // each entry of the log on a line of its own
};

// What a log leads to, as a keeper would have it after its start but for entries that were not agreed on.
struct Played {
  fleet::State state;
  std::string fault;  // empty: all of it can be read
};
Played play(const store::Stored& stored);

// Exit codes as of the other commands; a fault is one line on `err`.
int run_store(StoreCommand command, const std::string& folder, std::ostream& out, std::ostream& err);

}  // namespace orchidgw::cli
