#include "promises/key_table.h"

#include <algorithm>
#include <utility>

namespace orchidgw::promises {

std::vector<KeyTold> KeyTable::apply(const KeyEntry& entry) {
  for (const std::uint64_t number : entry.over)
    if (const auto it = identity_by_number_.find(number); it != identity_by_number_.end())
      erase(rests_.find(it->second));
  settled_ = settled_ || entry.settled;
  std::vector<KeyTold> out;
  for (const KeyAsk& ask : entry.asks) {
    for (const Free& free : ask.free) {
      const auto it = rests_.find(free.identity);
      // Ignores a late release by a query that held the key before: it must not end another query's hold.
      if (it != rests_.end() && it->second.holder == ask.from && it->second.query == free.query) erase(it);
    }
    KeyTold told{ask.from, ask.seq, {}};
    for (const Want& one : ask.wants) told.wants.push_back(want(ask.from, one));
    out.push_back(std::move(told));
  }
  return out;
}

Told KeyTable::want(const MemberKey& from, const Want& want) {
  if (!settled_ || want.identity.size() > kIdentityMost) return Told::kNotNow;
  auto it = rests_.find(want.identity);
  if (it == rests_.end()) {
    if (rests_.size() >= kKeysMost) return Told::kNotNow;
    it = rests_.emplace(want.identity, Rest{from, want.query, 0, 0}).first;
  } else if (it->second.holder != from || it->second.query != want.query) {
    return Told::kRests;
  }
  Rest& rest = it->second;
  identity_by_number_.erase(rest.number);
  rest.number = ++last_number_;
  rest.time = std::max(rest.time, want.rest);
  identity_by_number_.emplace(rest.number, want.identity);
  return Told::kGiven;
}

void KeyTable::erase(Rests::iterator it) {
  identity_by_number_.erase(it->second.number);
  rests_.erase(it);
}

const Rest* KeyTable::find_by_number(std::uint64_t number) const {
  const auto it = identity_by_number_.find(number);
  return it == identity_by_number_.end() ? nullptr : &rests_.at(it->second);
}

void KeyTable::restore(Rests rests, std::uint64_t last_number, bool settled) {
  rests_ = std::move(rests);
  identity_by_number_.clear();
  for (const auto& [identity, rest] : rests_) identity_by_number_.emplace(rest.number, identity);
  last_number_ = last_number;
  settled_ = settled;
}

}  // namespace orchidgw::promises
