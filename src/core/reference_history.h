// References of open and recent queries that may have run and must not run again, so that a client that comes
// again under the same one, after it left or had its answer, starts nothing. In memory only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "core/client_shares.h"

namespace orchidgw::core {

class ReferenceHistory {
 public:
  explicit ReferenceHistory(std::size_t max_references) : shares_(max_references) {}

  // A query of the client is accepted whose reference may have to be remembered. False: there is no room, and
  // the query must not be started.
  bool open(TimeUs now, ClientId client);
  // A query for which open() returned true is over. Its `reference`, up to 16 hexadecimal digits, is
  // remembered until that time; none: nothing of it ran.
  void close(ClientId client, const std::string& reference, std::optional<TimeUs> until);
  bool contains(TimeUs now, const std::string& reference);
  void client_left(ClientId client) { shares_.forget(client); }

 private:
  void forget_expired(TimeUs now);

  ClientShares shares_;
  std::size_t open_queries_ = 0;
  std::unordered_map<std::uint64_t, ClientId> clients_;  // by reference
  std::set<std::pair<TimeUs, std::uint64_t>> expirations_;
};

}  // namespace orchidgw::core
