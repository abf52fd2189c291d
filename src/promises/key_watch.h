// The leading keeper's local state for key holds, which is not replicated: it batches key requests into log
// entries and decides by its own clock when a hold has expired. No I/O, no clock of its own; times are on
// this keeper's clock.
//
// A hold is timed from when it was applied here. Its holder sends the query less than a lease's term after
// its request, which was earlier. So a hold ends after its duration plus a term, with the drift of both
// clocks included. A new leader times all holds from when it knows that it leads and has applied all entries
// committed before.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "promises/key_table.h"

namespace orchidgw::promises {

// A lease's term divided by this: how long after its request a granted hold may be acted on, and how long the
// reply is waited for.
inline constexpr TimeUs kGrantTimeoutDivisor = 2;

class KeyArbiter {
 public:
  // This keeper leads from now on; `table` must have all entries committed before its election. `terms`: the
  // agreed ones, or this keeper's own while there are none.
  void become_leader(TimeUs now, const KeyTable& table, const budget::Terms& terms);
  // This keeper no longer leads. Queued requests are dropped; their senders repeat them.
  void step_down();

  bool asked(KeyRequest ask);  // queues a request; false: the queue is full

  // Returns the next entry to propose, which may be empty. To be called only while no proposed entry is
  // pending.
  KeyEntry next(TimeUs now, const KeyTable& table, const budget::Terms& terms);
  // An entry was applied here: the holds that it granted are timed from now.
  void applied(TimeUs now, const KeyTable& table, const std::vector<KeyReply>& told,
               const budget::Terms& terms);
  // When `next` has to be called again even if nothing arrives; none: no need.
  std::optional<TimeUs> next_due() const;

 private:
  void start_timer(TimeUs now, const KeyHold& key_hold, const budget::Terms& terms);

  std::deque<KeyRequest> requests_;
  std::multimap<TimeUs, std::uint64_t> expirations_;  // numbers of holds, some released or renewed since
  std::uint64_t last_timed_number_ = 0;               // highest number ever put into it
  TimeUs led_at_ = 0;
  TimeUs settles_at_ = 0;  // when holds of an earlier log have expired; 0: they have already, or no terms
};

}  // namespace orchidgw::promises
