// Measures how fast a keeper's store writes records, by how many are committed together, and how long it
// takes to load and apply its log, by the log's length. Run by `make store-sizes`; uses the disk of the
// folder for temporary files.
#include <sys/resource.h>

#include <chrono>
#include <filesystem>
#include <iomanip>
#include <iostream>

#include "store/lmdb_store.h"
#include "thrift/fleet_codec.h"

namespace {

using namespace orchidgw;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kStoreBytes = std::size_t{2} * 1024 * 1024 * 1024;

double seconds_since(Clock::time_point from) {
  return std::chrono::duration<double>(Clock::now() - from).count();
}

std::string make_entry(std::uint64_t n) {
  fleet::Entry out;
  const std::string identity = "key " + std::to_string(1'000'000'000'000'000 + n);
  promises::KeyRequest& ask = out.keys.asks.emplace_back();
  ask.from.name = "c4";
  ask.seq = n;
  ask.wants.push_back({n, identity, 12'000'000});
  if (n == 1) out.keys.settled = true;
  if (n > 10'000) out.keys.ended_holds = {n - 10'000};
  return thrift::encode_entry(out);
}

}  // namespace

int main() {
  std::string folder = (std::filesystem::temp_directory_path() / "orchidgw-sizes-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) return 1;
  std::cout << std::fixed;
  for (const std::uint64_t batch_size : {1, 16, 256}) {
    store::LmdbStore store(folder, kStoreBytes);
    std::uint64_t at = store.load().first + store.load().entries.size();
    const auto from = Clock::now();
    std::uint64_t written = 0;
    for (; seconds_since(from) < 2; written += batch_size, at += batch_size) {
      std::vector<store::StoredEntry> entries;
      for (std::uint64_t k = 0; k < batch_size; ++k)
        entries.push_back({1, store::kCommandEntry, make_entry(at + k)});
      store.append(at, std::move(entries));
      store.commit();
    }
    std::cout << "committed together " << batch_size << ": " << std::setprecision(0)
              << static_cast<double>(written) / seconds_since(from) << " records a second" << std::endl;
  }
  for (const std::uint64_t size : {10'000, 100'000, 1'000'000}) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directory(folder);
    {
      store::LmdbStore store(folder, kStoreBytes);
      for (std::uint64_t at = 1; at <= size; at += 1'000) {
        std::vector<store::StoredEntry> entries;
        for (std::uint64_t k = 0; k < 1'000; ++k)
          entries.push_back({1, store::kCommandEntry, make_entry(at + k)});
        store.append(at, std::move(entries));
        store.commit();
      }
    }
    const auto from = Clock::now();
    store::LmdbStore store(folder, kStoreBytes);
    const store::StoredLog found = store.load();
    const double loaded = seconds_since(from);
    fleet::State state;
    for (const store::StoredEntry& one : found.entries)
      if (const auto read = thrift::decode_entry(one.data)) state.keys.apply(read->keys);
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    std::cout << size << " records: found in " << std::setprecision(3) << loaded << " s, applied after "
              << seconds_since(from) << " s, " << state.keys.holds().size() << " keys rest, "
              << std::filesystem::file_size(folder + "/data.mdb") / 1'000'000 << " MB on disk, most memory "
              << use.ru_maxrss / 1000 << " MB" << std::endl;
  }
  std::filesystem::remove_all(folder);
}
