#include "promises/key_table.h"

#include <algorithm>
#include <utility>

namespace orchidgw::promises {

std::vector<KeyReply> KeyTable::apply(const KeyEntry& entry) {
  for (const std::uint64_t number : entry.ended_holds)
    if (const auto it = identity_by_number_.find(number); it != identity_by_number_.end())
      erase(holds_.find(it->second));
  settled_ = settled_ || entry.settled;
  std::vector<KeyReply> out;
  for (const KeyRequest& ask : entry.asks) {
    for (const HoldRelease& free : ask.free) {
      const auto it = holds_.find(free.identity);
      // Ignores a late release by a query that held the key before: it must not end another query's hold.
      if (it != holds_.end() && it->second.holder == ask.from && it->second.query == free.query) erase(it);
    }
    KeyReply told{ask.from, ask.seq, {}};
    for (const HoldRequest& one : ask.wants) told.wants.push_back(want(ask.from, one));
    out.push_back(std::move(told));
  }
  return out;
}

KeyResult KeyTable::want(const MemberKey& from, const HoldRequest& want) {
  if (!settled_ || want.identity.size() > kMaxIdentityBytes) return KeyResult::kUnavailable;
  auto it = holds_.find(want.identity);
  if (it == holds_.end()) {
    if (holds_.size() >= kMaxHeldKeys) return KeyResult::kUnavailable;
    it = holds_.emplace(want.identity, KeyHold{from, want.query, 0, 0}).first;
  } else if (it->second.holder != from || it->second.query != want.query) {
    return KeyResult::kHeld;
  }
  KeyHold& key_hold = it->second;
  identity_by_number_.erase(key_hold.number);
  key_hold.number = ++last_number_;
  key_hold.time = std::max(key_hold.time, want.key_hold);
  identity_by_number_.emplace(key_hold.number, want.identity);
  return KeyResult::kGranted;
}

void KeyTable::erase(KeyHolds::iterator it) {
  identity_by_number_.erase(it->second.number);
  holds_.erase(it);
}

const KeyHold* KeyTable::find_by_number(std::uint64_t number) const {
  const auto it = identity_by_number_.find(number);
  return it == identity_by_number_.end() ? nullptr : &holds_.at(it->second);
}

void KeyTable::restore(KeyHolds holds, std::uint64_t last_number, bool settled) {
  holds_ = std::move(holds);
  identity_by_number_.clear();
  for (const auto& [identity, key_hold] : holds_) identity_by_number_.emplace(key_hold.number, identity);
  last_number_ = last_number;
  settled_ = settled;
}

}  // namespace orchidgw::promises
