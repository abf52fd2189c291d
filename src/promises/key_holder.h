// A controller's side of its key holds: which keys it asks for, and which queries may be sent after a reply.
// No I/O, no clock of its own; times are on the controller's clock (CLOCK_BOOTTIME).
//
// All keys that one turn of the event loop wants go into one request. A key without a reply in time is
// requested again, and a reply to any of these requests counts, by the time of that request. After a timeout
// (`answer_timeout`) the key is given up, which is harmless because nothing was sent. The keepers may still
// grant it, so it is released: the release is repeated until a keeper has replied, and goes with each request
// for the same identity, so that no later want of this controller is applied before it.
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
  using Ticket = std::uint64_t;  // chosen by the caller: identifies one send that waits
  struct Verdict {
    Ticket ticket = 0;
    KeyResult result = KeyResult::kUnavailable;
  };

  explicit KeyHolder(MemberKey self) : self_(std::move(self)) {}

  // Sets a lease's term: a request is repeated after a fraction of it, and given up after half of it
  // (kGrantTimeoutDivisor).
  void set_term(TimeUs term) { term_ = term; }

  bool has_room() const;  // one more key can wait
  // A request timed out recently and no reply has come since: a key requested now would only wait.
  bool keepers_unresponsive(TimeUs now) const { return now < unresponsive_until_; }
  // Requests a key with the next message; the result comes from `answered` or `take_timed_out`.
  void want(TimeUs now, Ticket ticket, HoldRequest want);
  bool drop(Ticket ticket);  // forgets a waiting request; false: it does not wait
  // Queues the release of a key.
  void release(const HoldRelease& free);

  // Returns the next message to send now, if any; to be called until there is none.
  std::optional<KeyRequest> next(TimeUs now);
  // Handles a reply; returns the results of the keys that no longer wait.
  std::vector<Verdict> answered(TimeUs now, const KeyReply& told);
  // Removes the keys that have waited too long and returns kUnavailable for each.
  std::vector<Verdict> take_timed_out(TimeUs now);
  // When `take_timed_out` and `next` have to be called again; none: nothing waits.
  std::optional<TimeUs> next_due() const;
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    HoldRequest want;
    TimeUs since = 0;
    TimeUs next_request_at = 0;  // time of the next request for it
  };
  struct InFlight {
    TimeUs sent_at = 0;
    std::vector<Ticket> tickets;
    std::vector<HoldRelease> free;
  };
  // By identity and query: when the release is sent next.
  using PendingReleases = std::map<std::pair<std::string, std::uint64_t>, TimeUs>;
  TimeUs answer_timeout() const;
  TimeUs retry_delay() const;
  void add_releases(TimeUs now, KeyRequest& ask);

  MemberKey self_;
  TimeUs term_ = 0;
  std::uint64_t last_seq_ = 0;
  std::map<Ticket, Waiting> waiting_;
  std::map<std::uint64_t, InFlight> in_flight_;  // by seq
  PendingReleases releases_;                     // kept until a keeper has replied
  TimeUs next_release_due_ = 0;                  // not later than the earliest time in `releases_`
  TimeUs unresponsive_until_ = 0;
};

}  // namespace orchidgw::promises
