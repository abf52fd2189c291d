#include "promises/key_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace orchidgw::promises {
namespace {

constexpr std::size_t kMaxQueuedRequests = 8192;
// Wanted or released: bounds the size of a log entry and its delay.
constexpr std::size_t kMaxKeysPerEntry = 2048;
constexpr std::size_t kMaxEndedPerEntry = 4096;  // bounds the size of a log entry, too

TimeUs hold_expiry_delay(TimeUs key_hold, const budget::Terms& terms) {
  return budget::Terms::safe_expiry_delay(key_hold + terms.term, terms.drift_ppm);
}

}  // namespace

void KeyArbiter::become_leader(TimeUs now, const KeyTable& table, const budget::Terms& terms) {
  step_down();
  led_at_ = now;
  for (const auto& [identity, key_hold] : table.holds()) start_timer(now, key_hold, terms);
  last_timed_number_ = table.last_number();
}

void KeyArbiter::step_down() {
  requests_.clear();
  expirations_.clear();
  settles_at_ = 0;
}

void KeyArbiter::start_timer(TimeUs now, const KeyHold& key_hold, const budget::Terms& terms) {
  expirations_.emplace(now + hold_expiry_delay(key_hold.time, terms), key_hold.number);
}

bool KeyArbiter::asked(KeyRequest ask) {
  if (requests_.size() >= kMaxQueuedRequests) return false;
  requests_.push_back(std::move(ask));
  return true;
}

KeyEntry KeyArbiter::next(TimeUs now, const KeyTable& table, const budget::Terms& terms) {
  KeyEntry out;
  if (!table.settled() && terms.longest_key_hold > 0) {
    settles_at_ = led_at_ + hold_expiry_delay(terms.longest_key_hold, terms);
    out.settled = now >= settles_at_;
  }
  if (table.settled() || out.settled) settles_at_ = 0;
  // An ended hold is reported again until its end is applied, in case an entry could not be proposed.
  for (auto it = expirations_.begin();
       it != expirations_.end() && it->first <= now && out.ended_holds.size() < kMaxEndedPerEntry;) {
    const bool still_held = table.find_by_number(it->second) != nullptr;
    if (still_held) out.ended_holds.push_back(it->second);
    it = still_held ? std::next(it) : expirations_.erase(it);
  }
  for (std::size_t key_count = 0; !requests_.empty() && key_count < kMaxKeysPerEntry;) {
    key_count += requests_.front().wants.size() + requests_.front().free.size();
    out.asks.push_back(std::move(requests_.front()));
    requests_.pop_front();
  }
  return out;
}

void KeyArbiter::applied(TimeUs now, const KeyTable& table, const std::vector<KeyReply>& told,
                         const budget::Terms& terms) {
  if (told.empty()) return;
  for (std::uint64_t number = last_timed_number_ + 1; number <= table.last_number(); ++number)
    if (const KeyHold* key_hold = table.find_by_number(number)) start_timer(now, *key_hold, terms);
  last_timed_number_ = table.last_number();
}

std::optional<TimeUs> KeyArbiter::next_due() const {
  std::optional<TimeUs> due;
  if (settles_at_ > 0) due = settles_at_;
  if (!expirations_.empty())
    due = std::min(due.value_or(expirations_.begin()->first), expirations_.begin()->first);
  return due;
}

}  // namespace orchidgw::promises
