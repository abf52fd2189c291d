// A controller's part as a keeper: asks go into the agreed log, what comes out of it is the ledger, and the
// leader answers. A reducer: events in, messages out; no I/O, no clock.
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

using LinkId = std::uint64_t;  // the connection on which an ask came

class KeeperRole final : public Replica {
 public:
  struct Reply {
    LinkId link = 0;
    Answer answer;
  };

  // `own`: of this keeper's file; proposed where it leads and they are newer.
  explicit KeeperRole(const budget::Terms& own) { wants(own); }

  void wants(const budget::Terms& own) { arbiter_.wants(own), own_ = own; }
  void asked(const AgreedLog& log, LinkId from, budget::Ask ask);
  void asked(const AgreedLog& log, LinkId from, promises::KeyAsk ask);
  void link_gone(LinkId link);
  // To be called after each event, and when due: proposes what is to be agreed on.
  void run(TimeUs now, AgreedLog& log);
  std::vector<Reply> take_replies();
  std::optional<TimeUs> next_due() const;

  // Replica. What `apply` grants counts from the next `run`, which is later.
  void apply(const Entry& entry) override;
  const State& state() const override { return state_; }
  void restore(State state) override { state_ = std::move(state); }

  std::string status(const AgreedLog& log) const;  // lines for operators

 private:
  void answer(const budget::Grant& grant);
  void answer(promises::KeyTold told);
  const budget::Terms& terms() const;  // as agreed on, else its own

  State state_;
  budget::Terms own_;
  budget::Arbiter arbiter_;
  promises::KeyWatch watch_;
  std::uint64_t term_ = 0;  // of its leadership
  std::uint64_t proposed_ = 0;
  std::uint64_t entries_ = 0;
  struct Asker {
    LinkId link = 0;
    std::uint64_t seq = 0;
    std::uint64_t revision = 0;
  };
  std::map<budget::MemberKey, Asker> askers_;  // whom the leader owes an answer
  std::map<std::pair<budget::MemberKey, std::uint64_t>, LinkId> key_askers_;  // by seq
  std::deque<budget::Grant> granted_;                                         // since the last run
  std::vector<promises::KeyTold> keys_told_;                                  // likewise
  bool on_its_way_ = false;                                                   // an entry, as of the last run
  bool news_ = false;  // an entry was applied since the last run
  std::vector<Reply> replies_;
};

}  // namespace orchidgw::fleet
