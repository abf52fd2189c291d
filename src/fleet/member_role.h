// A controller's part as a holder of leases: whom it asks, when, and what comes of it. A reducer: no I/O, no
// clock; times are on the clock of `budget::Holder`.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "budget/holder.h"
#include "fleet/messages.h"

namespace orchidgw::fleet {

class MemberRole {
 public:
  // `keepers`: in the order of the file, one at least. `seed`: of where it begins and how asks are spread.
  MemberRole(budget::MemberKey self, budget::Terms own, std::vector<KeeperId> keepers, std::uint64_t seed);

  // When the next ask is due; it goes to `asks()`.
  TimeUs next_due() const { return waits_ ? answer_by_ : due_; }
  bool due(TimeUs now) const { return now >= next_due(); }
  KeeperId asks() const { return keepers_[at_]; }
  budget::Ask ask(TimeUs now, std::vector<budget::Parts> demand, const std::vector<budget::Parts>& in_use);

  // True: what may be used has changed, or been prolonged.
  bool told(TimeUs now, const GrantTold& told);
  void told(TimeUs now, const Elsewhere& elsewhere);
  void link_down(TimeUs now, KeeperId keeper);

  // Some keeper led, by the last answer.
  bool leader_known() const { return leader_known_; }
  bool keys_settled() const { return keys_settled_; }  // likewise

  void leave(TimeUs now);
  const budget::Holder& holder() const { return holder_; }

 private:
  TimeUs renew_after() const;
  TimeUs answer_within() const;
  TimeUs spread(TimeUs time);  // 0.9 to 1.1 of it
  void try_next(TimeUs now, TimeUs in);

  budget::Holder holder_;
  std::vector<KeeperId> keepers_;
  std::size_t at_ = 0;
  std::uint64_t random_;
  std::uint64_t last_seq_ = 0;
  TimeUs asked_at_ = 0;
  TimeUs due_ = 0;
  TimeUs answer_by_ = 0;
  bool waits_ = false;
  bool leader_known_ = false;
  bool keys_settled_ = false;
  int redirects_ = 0;  // since the last answer
};

}  // namespace orchidgw::fleet
