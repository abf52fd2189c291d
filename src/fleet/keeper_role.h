// A controller's role as a keeper: requests of members go into the replicated log, applied entries change the
// ledger and the key table, and the leader replies. A reducer: events in, messages out; no I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "budget/arbiter.h"
#include "fleet/agreed_log.h"
#include "fleet/messages.h"
#include "promises/key_watch.h"

namespace orchidgw::fleet {

using LinkId = std::uint64_t;  // the connection on which a request came

class KeeperRole final : public StateMachine {
 public:
  struct Reply {
    LinkId link = 0;
    Answer answer;
  };

  // `own`: the terms of this keeper's file; a leader proposes them where they are newer than the fleet's.
  explicit KeeperRole(const budget::Terms& own) { set_own_terms(own); }

  void set_own_terms(const budget::Terms& own) { arbiter_.set_own_terms(own), own_terms_ = own; }
  // A member's request came on connection `from`. A request for a lease that can't be granted here is
  // answered with the leader's id; a request for keys is dropped then.
  void on_request(const ReplicatedLog& log, LinkId from, budget::LeaseRequest ask);
  void on_request(const ReplicatedLog& log, LinkId from, promises::KeyRequest ask);
  void link_gone(LinkId link);  // replies that are owed to that connection are dropped
  // To be called after each event, and when `next_due` is reached: applies a change of leadership, queues
  // replies and proposes the next entry.
  void run(TimeUs now, ReplicatedLog& log);
  std::vector<Reply> take_replies();       // removes the queued replies
  std::optional<TimeUs> next_due() const;  // when `run` has to be called without an event; none: not

  // Implementation of StateMachine. The time of a lease that `apply` grants counts from the next `run`, which
  // is later and so on the safe side.
  void apply(const Entry& entry) override;
  const State& state() const override { return state_; }
  void restore(State state) override { state_ = std::move(state); }

  std::string status(const ReplicatedLog& log) const;  // lines of text for operators

 private:
  void queue_reply(const budget::Grant& grant);
  void queue_reply(promises::KeyReply reply);
  const budget::Terms& terms() const;  // as committed, else this keeper's own

  State state_;
  budget::Terms own_terms_;
  budget::Arbiter arbiter_;
  promises::KeyArbiter watch_;
  std::uint64_t term_ = 0;  // in which it became the leader
  std::uint64_t proposed_count_ = 0;
  std::uint64_t applied_count_ = 0;
  struct PendingRequest {
    LinkId link = 0;
    std::uint64_t seq = 0;
    std::uint64_t revision = 0;
  };
  std::map<budget::MemberKey, PendingRequest> pending_requests_;  // by member: its latest request
  std::map<std::pair<budget::MemberKey, std::uint64_t>, LinkId> pending_key_requests_;  // by member and seq
  std::deque<budget::Grant> granted_;                                                   // since the last run
  std::vector<promises::KeyReply> key_replies_;                                         // since the last run
  bool entry_in_flight_ = false;  // an entry was proposed and not applied, as of the last run
  bool news_ = false;             // an entry was applied since the last run
  std::vector<Reply> replies_;
};

}  // namespace orchidgw::fleet
