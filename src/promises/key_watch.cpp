#include "promises/key_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace orchidgw::promises {
namespace {

constexpr std::size_t kWaitingMost = 8192;  // asks
constexpr std::size_t kWantsMost = 2048;    // agreed on in one step: bounds an entry's size and its delay
constexpr std::size_t kOverMost = 4096;     // likewise

TimeUs over_after(TimeUs rest, const budget::Terms& terms) {
  return budget::Terms::surely_over_after(rest + terms.term, terms.drift_ppm);
}

}  // namespace

void KeyWatch::lead(TimeUs now, const KeyTable& table, const budget::Terms& terms) {
  follow();
  led_at_ = now;
  for (const auto& [identity, rest] : table.rests()) count(now, rest, terms);
  counted_ = table.last_number();
}

void KeyWatch::follow() {
  asks_.clear();
  due_.clear();
  settles_at_ = 0;
}

void KeyWatch::count(TimeUs now, const Rest& rest, const budget::Terms& terms) {
  due_.emplace(now + over_after(rest.time, terms), rest.number);
}

bool KeyWatch::asked(KeyAsk ask) {
  if (asks_.size() >= kWaitingMost) return false;
  asks_.push_back(std::move(ask));
  return true;
}

KeyEntry KeyWatch::next(TimeUs now, const KeyTable& table, const budget::Terms& terms) {
  KeyEntry out;
  if (!table.settled() && terms.longest_rest > 0) {
    settles_at_ = led_at_ + over_after(terms.longest_rest, terms);
    out.settled = now >= settles_at_;
  }
  if (table.settled() || out.settled) settles_at_ = 0;
  // Said again until it is agreed on: guards against an entry that could not be proposed.
  for (auto it = due_.begin(); it != due_.end() && it->first <= now && out.over.size() < kOverMost;) {
    const bool rests = table.by_number(it->second) != nullptr;
    if (rests) out.over.push_back(it->second);
    it = rests ? std::next(it) : due_.erase(it);
  }
  for (std::size_t wants = 0; !asks_.empty() && wants < kWantsMost;) {
    wants += asks_.front().wants.size() + asks_.front().free.size();
    out.asks.push_back(std::move(asks_.front()));
    asks_.pop_front();
  }
  return out;
}

void KeyWatch::applied(TimeUs now, const KeyTable& table, const std::vector<KeyTold>& told,
                       const budget::Terms& terms) {
  if (told.empty()) return;
  for (std::uint64_t number = counted_ + 1; number <= table.last_number(); ++number)
    if (const Rest* rest = table.by_number(number)) count(now, *rest, terms);
  counted_ = table.last_number();
}

std::optional<TimeUs> KeyWatch::next_due() const {
  std::optional<TimeUs> due;
  if (settles_at_ > 0) due = settles_at_;
  if (!due_.empty()) due = std::min(due.value_or(due_.begin()->first), due_.begin()->first);
  return due;
}

}  // namespace orchidgw::promises
