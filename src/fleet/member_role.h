// A controller's role as a holder of leases: which keeper it sends its requests to, when, and what it does
// with the replies. A reducer: no I/O, no clock; times are on the clock of `budget::LeaseHolder`.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "budget/holder.h"
#include "fleet/messages.h"

namespace orchidgw::fleet {

class MemberRole {
 public:
  // `keepers`: at least one, in the order of the file. `seed`: for the choice of the first keeper and for the
  // jitter of request times.
  MemberRole(budget::MemberKey self, budget::Terms own, std::vector<KeeperId> keepers, std::uint64_t seed);

  // When the next request is due; it is to be sent to the keeper `keeper_to_ask()`.
  TimeUs next_due() const { return awaiting_reply_ ? reply_deadline_ : next_request_at_; }
  bool due(TimeUs now) const { return now >= next_due(); }
  KeeperId keeper_to_ask() const { return keepers_[current_keeper_]; }
  // Makes the next request. `demand`, `parts_in_use`: by allowance, see `budget::LeaseHolder::ask`.
  budget::LeaseRequest ask(TimeUs now, std::vector<budget::Parts> demand,
                           const std::vector<budget::Parts>& parts_in_use);

  // Handles a reply. False: it was ignored. True: what may be used may have changed, or was prolonged.
  bool on_reply(TimeUs now, const GrantReply& reply);
  void on_reply(TimeUs now, const Redirect& redirect);
  void link_down(TimeUs now, KeeperId keeper);  // the connection to `keeper` was lost

  // Whether there was a leader, by the last reply.
  bool leader_known() const { return leader_known_; }
  // Whether all holds of keys from before the keepers' current log have expired, by the last reply.
  bool keys_settled() const { return keys_settled_; }

  // Gives the lease back; the next request, due at once, says so to the keepers.
  void leave(TimeUs now);
  const budget::LeaseHolder& holder() const { return holder_; }

 private:
  TimeUs renewal_interval() const;
  TimeUs reply_timeout() const;
  TimeUs with_jitter(TimeUs time);  // a random time from 0.9 to 1.1 of it
  void try_next_keeper(TimeUs now, TimeUs delay);

  budget::LeaseHolder holder_;
  std::vector<KeeperId> keepers_;
  std::size_t current_keeper_ = 0;
  std::uint64_t random_state_;
  std::uint64_t last_seq_ = 0;
  TimeUs requested_at_ = 0;
  TimeUs next_request_at_ = 0;
  TimeUs reply_deadline_ = 0;
  bool awaiting_reply_ = false;
  bool leader_known_ = false;
  bool keys_settled_ = false;
  int redirect_count_ = 0;  // in a row
};

}  // namespace orchidgw::fleet
