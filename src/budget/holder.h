// A controller's own side of its leases: what it may use at a time that it is told, when to ask again, and
// what to say then. No I/O, no clock. Times are on the holder's own clock, which must go on while the machine
// sleeps and never be set (CLOCK_BOOTTIME).
//
// A lease's term counts from when it was asked for, which is before any keeper put it in force; so it is over
// here before a keeper takes it for over. Past it the cut-off part alone is left.
#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "budget/terms.h"

namespace orchidgw::budget {

class Holder {
 public:
  // `terms`: of the own file; later ones come from the keepers.
  Holder(MemberKey self, Terms terms) : self_(std::move(self)), terms_(std::move(terms)) { resize(); }

  // The next ask; from when it is made the term of the lease counts that answers it. `in_use`: what is in use
  // now beyond the cut-off part and can't be given back before it is over; by allowance, as `demand`.
  Ask ask(TimeUs now, std::vector<Parts> demand, const std::vector<Parts>& in_use);

  // False: it is no news (late, twice, not for this process).
  bool answered(TimeUs now, const Grant& grant, const std::vector<Terms>& terms);

  // What may be used now, the cut-off part within it. The check at each send.
  Parts usable(TimeUs now, std::size_t a) const;
  bool leased(TimeUs now) const { return !stopped_ && now < ends_at_; }
  TimeUs ends_at() const { return ends_at_; }  // 0: there was no lease yet

  // Gives all back: from now on the cut-off part alone is used, and the next ask says so.
  void leave() { leaving_ = true, drop_lease(); }
  bool leaving() const { return leaving_; }
  bool left() const { return left_; }              // the keepers know
  bool superseded() const { return superseded_; }  // not even the cut-off part is this process's any more
  bool no_room() const { return no_room_; }

  // The answer asks for another ask soon: a smaller lease is to be acknowledged, lest others wait for it.
  bool owes_answer() const { return owes_; }

  const Terms& terms() const { return terms_; }
  const MemberKey& self() const { return self_; }
  std::uint64_t number() const { return number_; }
  Parts part(std::size_t a) const { return parts_[a]; }  // of the last lease, whether over or not
  int live() const { return live_; }
  int place() const { return place_; }
  bool settled() const { return settled_; }  // it has half of what it is due
  Parts level() const { return level_; }     // of the fleet's ramp

 private:
  void resize();
  void drop_lease();
  void take(const Terms& terms);
  std::optional<TimeUs> asked_at(std::uint64_t seq) const;

  MemberKey self_;
  Terms terms_;
  std::uint64_t seq_ = 0;
  std::uint64_t number_ = 0;
  std::deque<std::pair<std::uint64_t, TimeUs>> asked_;  // the last few, with when
  std::vector<Parts> parts_;                            // by the last lease
  std::vector<Parts> held_;                             // at the most in use: falls only as use falls
  TimeUs ends_at_ = 0;
  int live_ = 1;
  int place_ = 0;
  Parts level_ = kFullLevel;
  bool settled_ = false;
  bool leaving_ = false;
  bool left_ = false;
  bool superseded_ = false;
  bool no_room_ = false;
  bool owes_ = false;
  bool stopped_ = false;  // the lease was dropped before its end
};

}  // namespace orchidgw::budget
