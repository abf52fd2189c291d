// Holds back calls of queries that must not run twice until the fleet's keepers have promised that no other
// controller sends the query; the event loop goes on meanwhile. All keys that a turn wants go in one message.
#pragma once

#include <functional>
#include <map>

#include "core/effects.h"
#include "core/keys.h"
#include "net/context.h"
#include "promises/key_holder.h"

namespace orchidgw::net {

class Promises {
 public:
  // `send`: called for each call whose key was promised. `ask`: sends a request to the leading keeper, or to
  // one that may know the leader.
  Promises(Context& context, promises::MemberKey self, std::function<void(core::SendCall)> send,
           std::function<void(const promises::KeyRequest&)> ask);

  // Whether a query with that identity may be accepted.
  core::KeyStatus key_status(const std::string& identity, TimeUs now) const;
  // Requests the key, then passes the call to `send`; posts CallEnded if the key is not granted.
  void send_when_promised(core::SendCall call, TimeUs now);
  bool drop(core::CallId call);            // posts no event; false: the call does not wait here
  void release_key(core::ReleaseKey key);  // nothing of the query ran: others may have its key

  // Once a turn: sends requests and gives up calls that waited too long. `term`: of a lease.
  void check(TimeUs now, TimeUs term);
  std::optional<TimeUs> next_due() const { return holder_.next_due(); }
  void on_answer(TimeUs now, const promises::KeyReply& told);
  std::string status() const;  // a line for operators

 private:
  void apply_verdicts(const std::vector<promises::KeyHolder::Verdict>& verdicts);

  Context& context_;
  std::function<void(core::SendCall)> send_;
  std::function<void(const promises::KeyRequest&)> ask_;
  promises::KeyHolder holder_;
  std::map<core::CallId, core::SendCall> waiting_;
  std::uint64_t granted_ = 0;
  std::uint64_t held_elsewhere_ = 0;
  std::uint64_t unavailable_ = 0;
};

}  // namespace orchidgw::net
