// Tracks which queries may have run before this process started: keyed queries by their key, others that must
// not run twice by the client's reference. An intent is stored on disk before the first byte of an attempt is
// sent, so the next process knows what a process that died may have sent. No I/O, no clock of its own; times
// are on the machine's boot clock.
//
// During the same boot of the machine its boot clock has continued, so the remainder of a window is known.
// After another boot it is unknown how long the power was off, and the wall clock may be back in 1970: the
// whole window counts from now.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "store/intent_store.h"

namespace orchidgw::recovery {

class IntentTracker {
 public:
  // `boot`: identifies this boot of the machine. `found`: the stored intents. `max_intents`: from this
  // number on `full` is true.
  IntentTracker(std::string boot, TimeUs now, const std::vector<store::Intent>& found,
                std::size_t max_intents);

  // An earlier process may have run the query, and its window has not passed.
  bool may_have_run(const std::string& identity, TimeUs now) const;
  bool full() const { return expirations_.size() >= max_intents_; }

  // Returns a new intent, which must be stored before the attempt is sent.
  store::Intent create_intent(const std::string& identity, TimeUs window, TimeUs now);
  // Removes the intents whose window has passed; returns their serials, to be erased from the store.
  std::vector<std::uint64_t> take_expired(TimeUs now);

 private:
  struct Expiration {
    std::uint64_t serial = 0;
    std::string identity;  // of an intent of an earlier process; else empty
  };

  std::string boot_;
  std::size_t max_intents_;
  std::uint64_t last_serial_ = 0;
  std::unordered_map<std::string, TimeUs> held_until_;  // by identity: intents of earlier processes
  std::multimap<TimeUs, Expiration> expirations_;
};

}  // namespace orchidgw::recovery
