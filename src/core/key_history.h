// What was started under the idempotency keys of recent requests, so that a client's next try is not started
// once engines may no longer recognise it as a repeat. In memory only: another process knows nothing of it.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "core/client_shares.h"
#include "decision/decision.h"
#include "decision/key_starts.h"

namespace orchidgw::core {

// How long a key is remembered from its first start: while engines recognise a repeat, then as long as a try
// that came meanwhile can be open, and a client that goes on after that.
inline TimeUs key_retention_of(const ClassSettings& query_class) {
  return query_class.repeat_window + 2 * query_class.deadline;
}

class KeyHistory {
 public:
  explicit KeyHistory(std::size_t max_keys) : shares_(max_keys) {}

  // A query of the client under `key` is accepted: returns what has been started under it. Null if the key is
  // new and no further key can be remembered; the query must not be started then.
  std::shared_ptr<KeyStarts> open(TimeUs now, const std::string& key, ClientId client);

  // A query for which open() returned the key's starts is over. The key is remembered for `retention` from
  // its first start, and forgotten at once if nothing that was started under it may have run.
  void close(TimeUs now, const std::string& key, QueryId query, TimeUs retention);

  void client_left(ClientId client) { shares_.forget(client); }

  std::size_t size() const { return keys_.size(); }

 private:
  struct Entry {
    std::shared_ptr<KeyStarts> starts = std::make_shared<KeyStarts>();
    ClientId client = 0;  // the first that sent a query under it
    std::size_t open_queries = 0;
    TimeUs expires_at = 0;  // 0: not set, as no query under it has ended after a start
  };
  using Entries = std::map<std::string, Entry>;

  void forget(Entries::iterator entry);
  void forget_expired(TimeUs now);

  ClientShares shares_;
  Entries keys_;
  std::set<std::pair<TimeUs, const std::string*>> expirations_;  // of keys without an open query
};

}  // namespace orchidgw::core
