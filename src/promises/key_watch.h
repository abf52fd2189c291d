// The leading keeper's own part in what is promised, which is not agreed on: it gathers asks into entries,
// and says when a rest is over by its clock. No I/O, no clock; times are on this keeper's clock.
//
// A rest counts from when the promise was put in force here. Its holder sends at most `slack` after it asked,
// which was earlier; so time and slack are waited out, and both clocks' drift. A new leader counts all rests
// from when it knows that it leads and has all that was agreed on before.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "promises/key_table.h"

namespace orchidgw::promises {

// How long after the ask a promise may be acted on, of a lease's term; and how long it is waited for.
inline constexpr TimeUs kSendPart = 2;

class KeyWatch {
 public:
  // `terms`: as agreed on, or this keeper's own where nothing is yet.
  void lead(TimeUs now, const KeyTable& table, const budget::Terms& terms);
  void follow();

  bool asked(KeyAsk ask);  // false: too many wait already

  // What is to be agreed on next; to be called while no entry is on its way.
  KeyEntry next(TimeUs now, const KeyTable& table, const budget::Terms& terms);
  // An entry was applied here: what it gave rests from now.
  void applied(TimeUs now, const KeyTable& table, const std::vector<KeyTold>& told,
               const budget::Terms& terms);
  std::optional<TimeUs> next_due() const;

 private:
  void count(TimeUs now, const Rest& rest, const budget::Terms& terms);

  std::deque<KeyAsk> asks_;
  std::multimap<TimeUs, std::uint64_t> due_;  // numbers of rests, some freed or begun anew meanwhile
  std::uint64_t counted_ = 0;                 // the last number that is in there
  TimeUs led_at_ = 0;
  TimeUs settles_at_ = 0;  // 0: it is settled, or there is nothing to go by
};

}  // namespace orchidgw::promises
