#include "core/key_history.h"

#include <algorithm>

namespace orchidgw::core {

std::shared_ptr<KeyStarts> KeyHistory::open(TimeUs now, const std::string& key, ClientId client) {
  forget_expired(now);
  auto found = keys_.find(key);
  if (found == keys_.end()) {
    if (!shares_.admits(client, keys_.size())) return nullptr;
    shares_.add(client);
    found = keys_.try_emplace(key).first;
    found->second.client = client;
  }
  Entry& entry = found->second;
  if (entry.open_queries++ == 0) expirations_.erase({entry.expires_at, &found->first});
  return entry.starts;
}

void KeyHistory::close(TimeUs now, const std::string& key, QueryId query, TimeUs retention) {
  const auto found = keys_.find(key);
  if (found == keys_.end()) return;
  Entry& entry = found->second;
  entry.starts->query_ended(query);
  if (const auto first = entry.starts->first_sent_at())
    entry.expires_at = std::max(entry.expires_at, *first + retention);
  else
    entry.expires_at = 0;
  if (--entry.open_queries > 0) return;
  if (entry.expires_at <= now) {
    forget(found);
  } else {
    expirations_.emplace(entry.expires_at, &found->first);
  }
}

void KeyHistory::forget(Entries::iterator entry) {
  shares_.remove(entry->second.client);
  keys_.erase(entry);
}

void KeyHistory::forget_expired(TimeUs now) {
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    const auto key = keys_.find(*expirations_.begin()->second);
    expirations_.erase(expirations_.begin());
    forget(key);
  }
}

}  // namespace orchidgw::core
