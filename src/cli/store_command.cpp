#include "cli/store_command.h"

#include <optional>

#include "cli/command_line.h"
#include "store/lmdb_store.h"
#include "thrift/fleet_codec.h"

namespace orchidgw::cli {
namespace {

constexpr std::size_t kUnusedMaxBytes = std::size_t{1024} * 1024;  // no effect on a store opened for reading

void print_summary(const store::StoredLog& stored, const fleet::State& state, std::ostream& out) {
  const budget::Ledger& ledger = state.ledger;
  if (stored.owner) {
    out << "fleet " << stored.owner->fleet << ' ' << stored.owner->number << " keeper "
        << stored.owner->keeper << " knows_begun";
    for (const std::uint32_t keeper : stored.owner->bootstrapped) out << ' ' << keeper;
    out << '\n';
  }
  out << "term " << stored.term << " vote " << stored.vote << " snapshot "
      << (stored.snapshot ? stored.snapshot->index : 0) << " entries " << stored.first << " to "
      << stored.first + stored.entries.size() - 1 << '\n';
  out << "revision " << ledger.terms().revision << " members " << ledger.members().size() << " level_percent "
      << budget::percent_of(ledger.level()) << '\n';
  for (std::size_t a = 0; a < ledger.terms().allowances.size(); ++a)
    out << "allowance " << ledger.terms().allowances[a].name << " whole "
        << ledger.terms().allowances[a].whole << " leased " << ledger.outstanding(a) << '\n';
  out << "keys rest " << state.keys.holds().size() << " given " << state.keys.last_number()
      << (state.keys.settled() ? "" : " not settled") << '\n';
}

void print_entries(const store::StoredLog& stored, std::ostream& out) {
  std::uint64_t index = stored.first;
  for (const store::StoredEntry& one : stored.entries) {
    out << "entry " << index++ << " term " << one.term;
    const auto entry = one.type == store::kCommandEntry ? thrift::decode_entry(one.data) : std::nullopt;
    if (!entry) out << " type " << one.type;
    if (entry) {
      for (const budget::Terms& terms : entry->budget.terms) out << " terms " << terms.revision;
      for (const budget::Parts level : entry->budget.level) out << " level " << level;
      for (const budget::Expiry& over : entry->budget.expired)
        out << " over " << over.member.name << '/' << over.member.incarnation << " lease " << over.number;
      for (const budget::LeaseRequest& ask : entry->budget.asks)
        out << " ask " << ask.from.name << '/' << ask.from.incarnation << " seq " << ask.seq << " acked "
            << ask.acked << (ask.leaving ? " leaving" : "");
      for (const std::uint64_t number : entry->keys.ended_holds) out << " key_over " << number;
      if (entry->keys.settled) out << " keys_settled";
      for (const promises::KeyRequest& ask : entry->keys.asks)
        out << " keys " << ask.from.name << '/' << ask.from.incarnation << " seq " << ask.seq << " wants "
            << ask.wants.size() << " free " << ask.free.size();
    }
    out << '\n';
  }
}

}  // namespace

ReplayedLog replay_log(const store::StoredLog& stored) {
  ReplayedLog out;
  if (stored.snapshot) {
    auto state = thrift::decode_state(stored.snapshot->data);
    if (!state) {
      out.fault = "the snapshot at " + std::to_string(stored.snapshot->index) + " can't be read";
      return out;
    }
    out.state = std::move(*state);
  }
  std::uint64_t index = stored.first;
  for (const store::StoredEntry& one : stored.entries) {
    const std::uint64_t entry_index = index++;
    if (one.type != store::kCommandEntry) continue;
    const auto entry = thrift::decode_entry(one.data);
    if (!entry) {
      out.fault = "entry " + std::to_string(entry_index) + " can't be read";
      return out;
    }
    if (stored.snapshot && entry_index <= stored.snapshot->index) continue;
    out.state.ledger.apply(entry->budget);
    out.state.keys.apply(entry->keys);
  }
  return out;
}

int run_store(StoreCommand command, const std::string& folder, std::ostream& out, std::ostream& err) {
  store::StoredLog stored;
  try {
    store::LmdbStore store(folder, kUnusedMaxBytes, store::LmdbStore::Open::kRead);
    stored = store.load();
  } catch (const store::StoreError& e) {
    err << "orchidgw: " << e.what() << '\n';
    return kExitFailure;
  }
  const ReplayedLog replayed = replay_log(stored);
  if (!replayed.fault.empty()) {
    err << "orchidgw: " << folder << ": " << replayed.fault << '\n';
    return kExitFailure;
  }
  if (command == StoreCommand::kInspect) print_summary(stored, replayed.state, out);
  if (command == StoreCommand::kExport) print_entries(stored, out);
  if (command == StoreCommand::kVerify)
    out << "good: " << stored.entries.size() << " entries" << (stored.snapshot ? " and a snapshot" : "")
        << '\n';
  return kExitSuccess;
}

}  // namespace orchidgw::cli
