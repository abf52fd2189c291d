// Which queries may have run before this start: of keyed ones by key, of those that must not run twice by the
// client's reference. An intent is on a disk before the first byte of an attempt, so what a process that died
// has sent is known to the next one. No I/O, no clock; times are on the machine's boot clock.
//
// What is believed of a time: on the same start of the machine its boot clock went on, and what is left of a
// window is known. After another start nobody knows how long the power was gone, and a wall clock may be back
// in 1970: the whole window counts from now.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/intent_store.h"

namespace orchidgw::recovery {

class KeyBook {
 public:
  // `boot`: names this start of the machine. `most`: intents at one time; past it nothing new is taken in.
  KeyBook(std::string boot, TimeUs now, const std::vector<store::Intent>& found, std::size_t most);

  // An earlier process may have had it run, and its window is not over.
  bool may_have_run(const std::string& identity, TimeUs now) const;
  bool full() const { return due_.size() >= most_; }

  // To be stored before the attempt is sent.
  store::Intent intend(const std::string& identity, TimeUs window, TimeUs now);
  // Serials of the intents whose window is over: forgotten here, to be erased there.
  std::vector<std::uint64_t> over(TimeUs now);

 private:
  struct Due {
    std::uint64_t serial = 0;
    std::string identity;  // of an earlier process's; else empty
  };

  std::string boot_;
  std::size_t most_;
  std::uint64_t last_serial_ = 0;
  std::unordered_map<std::string, TimeUs> before_;  // until when it rests
  std::multimap<TimeUs, Due> due_;
};

}  // namespace orchidgw::recovery
