// Intents on a disk: which queries that must not run twice were sent, or are about to be. Calls block while
// the disk writes, so they must not be made in the event loop's thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "store/log_store.h"

namespace orchidgw::store {

struct Intent {
  std::uint64_t serial = 0;
  std::string identity;  // of the query, by which a repeated one is recognized
  std::string boot;      // id of the machine's boot, from which `at` counts
  TimeUs at = 0;         // a time before the attempt was sent
  TimeUs window = 0;     // how long the identity is held from then on
  bool operator==(const Intent&) const = default;
};

class IntentStore {
 public:
  // `folder` must exist; only one process at a time can have it open. `max_bytes`: bound on the file's size.
  // Throws StoreError that names the folder and the reason.
  IntentStore(const std::string& folder, std::size_t max_bytes);
  ~IntentStore();

  std::vector<Intent> load();
  // Adds the intents `added` and erases those with the serials `erased`: both whole or nothing, durable on
  // return. Throws StoreError.
  void commit(const std::vector<Intent>& added, const std::vector<std::uint64_t>& erased);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace orchidgw::store
