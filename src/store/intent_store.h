// Intents on a disk: what was sent, or is about to be, that must not run twice. Blocks while the disk writes:
// not for the loop's thread.
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
  std::string identity;  // of the query, for who sends it again
  std::string boot;      // the start of the machine that `at` counts from
  TimeUs at = 0;         // before the attempt was sent
  TimeUs window = 0;     // how long it rests from then on
  bool operator==(const Intent&) const = default;
};

class IntentStore {
 public:
  // `folder` must be there. Throws StoreError naming it and the reason; two processes can't have it at once.
  IntentStore(const std::string& folder, std::size_t bytes_most);
  ~IntentStore();

  std::vector<Intent> load();
  // All of both or nothing, durable on return. Throws StoreError.
  void commit(const std::vector<Intent>& put, const std::vector<std::uint64_t>& erase);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace orchidgw::store
