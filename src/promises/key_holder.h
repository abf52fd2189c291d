// A controller's own side of its keys: what it asks for, and what may be sent on the answers. No I/O, no
// clock; times are on the controller's clock (CLOCK_BOOTTIME).
//
// All that a turn wants goes in one ask. What is not answered in time is asked for again, and an answer to
// any of the asks counts, by the time of that ask. Past `patience` it is given up: nothing was sent, so that
// is harmless. What the keepers may still give is freed: that is said until it is heard, and with each want
// of the same identity, so that no want of ours is agreed on before it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "promises/keys.h"

namespace orchidgw::promises {

class KeyHolder {
 public:
  using Ticket = std::uint64_t;  // the caller's word for one send that waits
  struct Verdict {
    Ticket ticket = 0;
    Told told = Told::kNotNow;
  };

  explicit KeyHolder(MemberKey self) : self_(std::move(self)) {}

  // Of a lease's term: an ask is repeated after a part of it, and given up after half (kSendPart).
  void set_term(TimeUs term) { term_ = term; }

  bool has_room() const;
  // Keepers have not answered lately, and none did since: what is wanted now would only wait.
  bool stuck(TimeUs now) const { return now < stuck_until_; }
  void want(TimeUs now, Ticket ticket, Want want);
  bool drop(Ticket ticket);  // false: it does not wait
  void let_go(const Free& free);

  // What is to be sent now, if anything is.
  std::optional<KeyAsk> next(TimeUs now);
  std::vector<Verdict> answered(TimeUs now, const KeyTold& told);
  std::vector<Verdict> given_up(TimeUs now);
  std::optional<TimeUs> next_due() const;
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    Want want;
    TimeUs since = 0;
    TimeUs ask_at = 0;  // when it is to be asked for, again
  };
  struct Flight {
    TimeUs sent_at = 0;
    std::vector<Ticket> tickets;
    std::vector<Free> free;
  };
  using Freed = std::map<std::pair<std::string, std::uint64_t>, TimeUs>;  // by identity and query: when said
  TimeUs patience() const;
  TimeUs repeat_after() const;
  void say_freed(TimeUs now, KeyAsk& ask);

  MemberKey self_;
  TimeUs term_ = 0;
  std::uint64_t last_seq_ = 0;
  std::map<Ticket, Waiting> waiting_;
  std::map<std::uint64_t, Flight> flights_;  // by seq
  Freed freed_;                              // until a keeper has heard it
  TimeUs freed_due_ = 0;                     // not later than the first of those times
  TimeUs stuck_until_ = 0;
};

}  // namespace orchidgw::promises
