#include "cli/recover_command.h"

#include "cli/commands.h"
#include "cli/store_command.h"
#include "keeper/keeper.h"
#include "recovery/one_copy.h"
#include "store/lmdb_store.h"
#include "thrift/fleet_codec.h"

namespace orchidgw::cli {
namespace {

void write_recovered_log(store::LogStore& store, const store::StoredLog& found,
                         const recovery::SingleCopyRecovery& copy) {
  store.set_owner(copy.owner);
  store.set_term(copy.term);
  store.truncate(found.first);
  store.put_snapshot({copy.index, copy.index_term, copy.index, keeper::configuration_of({copy.owner.keeper}),
                      thrift::encode_state(copy.state)},
                     copy.index);
  store.commit();
}

}  // namespace

int run_recover(const configuration::Sources& sources, const RecoverOptions& options, std::ostream& out,
                std::ostream& err) {
  const auto fail = [&err](const std::string& what) {
    err << "orchidgw: " << what << '\n';
    return kExitFailure;
  };
  const auto loaded = load(sources, err);
  if (!loaded) return kExitFailure;
  if (!loaded->fleet) return fail("fleet recover: no fleet's file is named (--fleet)");
  const std::string& folder = loaded->fleet->store;
  try {
    store::LmdbStore store(folder, store::kMaxKeeperStoreBytes);
    const store::StoredLog found = store.load();
    const ReplayedLog replayed = replay_log(found);
    if (!replayed.fault.empty()) return fail(folder + ": " + replayed.fault);
    const recovery::SingleCopyRecovery copy =
        recovery::recover_from_single_copy(found, keeper::voters_in_log(found), replayed.state,
                                           *loaded->fleet, loaded->controller.name, options.lost);
    if (!copy.fault.empty()) return fail("fleet recover: " + folder + ": " + copy.fault);
    for (const std::string& line : copy.operator_notes) out << line << '\n';
    if (options.confirm != loaded->fleet->name) {
      out << "nothing was changed: --confirm " << loaded->fleet->name << " does it\n";
      return options.confirm.empty() ? kExitSuccess : kExitFailure;
    }
    write_recovered_log(store, found, copy);
  } catch (const std::exception& e) {
    return fail(e.what());
  }
  out << "done: start this controller first, then the others, with the same file\n";
  return kExitSuccess;
}

}  // namespace orchidgw::cli
