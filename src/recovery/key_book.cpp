#include "recovery/key_book.h"

#include <algorithm>
#include <utility>

namespace orchidgw::recovery {

IntentTracker::IntentTracker(std::string boot, TimeUs now, const std::vector<store::Intent>& found,
                             std::size_t max_intents)
    : boot_(std::move(boot)), max_intents_(max_intents) {
  for (const store::Intent& intent : found) {
    // A time in the future is not of this boot, whatever the intent says. Counted from it, the identity would
    // be held for longer than its window.
    const bool time_known = intent.boot == boot_ && intent.at <= now;
    const TimeUs until = (time_known ? intent.at : now) + intent.window;
    TimeUs& held_until = held_until_[intent.identity];
    held_until = std::max(held_until, until);
    expirations_.emplace(until, Expiration{intent.serial, intent.identity});
    last_serial_ = std::max(last_serial_, intent.serial);
  }
}

bool IntentTracker::may_have_run(const std::string& identity, TimeUs now) const {
  const auto it = held_until_.find(identity);
  return it != held_until_.end() && now < it->second;
}

store::Intent IntentTracker::create_intent(const std::string& identity, TimeUs window, TimeUs now) {
  store::Intent out;
  out.serial = ++last_serial_;
  out.identity = identity;
  out.boot = boot_;
  out.at = now;
  out.window = window;
  expirations_.emplace(now + window, Expiration{out.serial, ""});
  return out;
}

std::vector<std::uint64_t> IntentTracker::take_expired(TimeUs now) {
  std::vector<std::uint64_t> out;
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    const Expiration expired = expirations_.begin()->second;
    expirations_.erase(expirations_.begin());
    out.push_back(expired.serial);
    const auto it = held_until_.find(expired.identity);
    if (it != held_until_.end() && it->second <= now) held_until_.erase(it);
  }
  return out;
}

}  // namespace orchidgw::recovery
