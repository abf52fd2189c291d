// For whom may a keeper vote after its start? Its disk may be a copy from before: it does not know then what
// it acknowledged since, and that it has voted. It can't tell that by itself; so each keeper says in its
// greeting where it stands, and this one votes for no candidate that lacks what it was told of, and in no
// term that it may have voted in. No I/O, no clock.
//
// What was agreed on holds for good. Where all come back at once nobody knows what was agreed on: then what
// anybody has holds, for a while, as it may not have been. Until every other keeper has greeted, and for a
// bounded time at the most, it votes for nobody: guards against two that elect one of them before the third,
// who has what the old disk lost, is heard.
//
// What it does not hold against: that third one coming later than the bound.
#pragma once

#include <map>
#include <vector>

#include "fleet/messages.h"

namespace orchidgw::recovery {

class VoteFloor {
 public:
  // `patience`: how long others' greetings are waited for, and what they have without its being agreed on
  // counts for as long again.
  VoteFloor(fleet::KeeperId self, std::vector<fleet::KeeperId> voters, TimeUs now, TimeUs patience);

  void told(fleet::KeeperId by, const fleet::LogStanding& at);
  // May that word of a log come in, or leave? Only requests for votes may not.
  bool lets(const fleet::LogMessage& message, TimeUs now) const;
  std::vector<fleet::KeeperId> waits_for(TimeUs now) const;
  const fleet::LogPosition& agreed() const { return agreed_; }

 private:
  fleet::KeeperId self_;
  std::vector<fleet::KeeperId> voters_;
  TimeUs waits_until_;
  TimeUs last_until_;
  std::map<fleet::KeeperId, std::uint64_t> terms_;  // of their first greetings
  fleet::LogPosition agreed_;
  fleet::LogPosition last_;
};

}  // namespace orchidgw::recovery
