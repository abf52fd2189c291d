#include "core/key_history.h"

#include <algorithm>

namespace orchidgw::core {

std::shared_ptr<KeyStarts> KeyHistory::open(TimeUs now, const std::string& key) {
  forget_expired(now);
  auto found = keys_.find(key);
  if (found == keys_.end()) {
    if (keys_.size() >= max_keys_) return nullptr;
    found = keys_.try_emplace(key).first;
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
    keys_.erase(found);
  } else {
    expirations_.emplace(entry.expires_at, &found->first);
  }
}

void KeyHistory::forget_expired(TimeUs now) {
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    const auto key = keys_.find(*expirations_.begin()->second);
    expirations_.erase(expirations_.begin());
    keys_.erase(key);
  }
}

}  // namespace orchidgw::core
