// References of recent queries that may have run and must not run again, so that a client that comes again
// under the same one, after it left or had its answer, starts nothing. In memory only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>

#include "base/time.h"

namespace orchidgw::core {

class ReferenceHistory {
 public:
  explicit ReferenceHistory(std::size_t max_references) : max_references_(max_references) {}

  // `reference`: up to 16 hexadecimal digits. `served`: its client has the result. Such references give way
  // to others where there is no room.
  void remember(const std::string& reference, TimeUs until, bool served);
  bool contains(const std::string& reference) const;
  void forget_expired(TimeUs now);
  // No further query whose reference would have to be remembered may be accepted.
  bool full() const { return unserved_.size() >= max_references_; }

 private:
  using Expirations = std::set<std::pair<TimeUs, std::uint64_t>>;

  void forget_first(Expirations& expirations);

  std::size_t max_references_;
  std::unordered_set<std::uint64_t> references_;
  Expirations served_;
  Expirations unserved_;
};

}  // namespace orchidgw::core
