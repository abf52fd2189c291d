// `orchidgw store`: reads a keeper's store that no process has open, for operators. Changes nothing.
#pragma once

#include <ostream>
#include <string>

#include "fleet/agreed_log.h"
#include "store/log_store.h"

namespace orchidgw::cli {

enum class StoreCommand {
  kInspect,  // its owner, term, vote and log, and what is leased
  kVerify,   // whether all of it can be read
  kExport    // the entries of the log, one per line
};

// The state after all entries of a store's log, uncommitted ones included; a keeper that starts from the same
// store applies only committed entries.
struct ReplayedLog {
  fleet::State state;
  std::string fault;  // which part of the store can't be read; empty: none
};
ReplayedLog replay_log(const store::StoredLog& stored);

// Returns the exit code (command_line.h); writes an error as one line to `err`.
int run_store(StoreCommand command, const std::string& folder, std::ostream& out, std::ostream& err);

}  // namespace orchidgw::cli
