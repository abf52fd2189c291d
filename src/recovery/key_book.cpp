#include "recovery/key_book.h"

#include <algorithm>
#include <utility>

namespace orchidgw::recovery {

KeyBook::KeyBook(std::string boot, TimeUs now, const std::vector<store::Intent>& found, std::size_t most)
    : boot_(std::move(boot)), most_(most) {
  for (const store::Intent& one : found) {
    // Guards against a time that is not of this boot after all: no rest is longer than its window.
    const bool known = one.boot == boot_ && one.at <= now;
    const TimeUs until = (known ? one.at : now) + one.window;
    TimeUs& rests = before_[one.identity];
    rests = std::max(rests, until);
    due_.emplace(until, Due{one.serial, one.identity});
    last_serial_ = std::max(last_serial_, one.serial);
  }
}

bool KeyBook::may_have_run(const std::string& identity, TimeUs now) const {
  const auto it = before_.find(identity);
  return it != before_.end() && now < it->second;
}

store::Intent KeyBook::intend(const std::string& identity, TimeUs window, TimeUs now) {
  store::Intent out;
  out.serial = ++last_serial_;
  out.identity = identity;
  out.boot = boot_;
  out.at = now;
  out.window = window;
  due_.emplace(now + window, Due{out.serial, ""});
  return out;
}

std::vector<std::uint64_t> KeyBook::over(TimeUs now) {
  std::vector<std::uint64_t> out;
  while (!due_.empty() && due_.begin()->first <= now) {
    const Due due = due_.begin()->second;
    due_.erase(due_.begin());
    out.push_back(due.serial);
    const auto it = before_.find(due.identity);
    if (it != before_.end() && it->second <= now) before_.erase(it);
  }
  return out;
}

}  // namespace orchidgw::recovery
