// Sends of what must not run twice wait here until the keepers of the fleet have promised that nobody else
// sends it; the loop goes on with all else. All that a turn wants goes in one message.
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
  // `send`: the promise is there. `ask`: to the keeper that leads, or that may know who does.
  Promises(Context& context, promises::MemberKey self, std::function<void(core::StartCall)> send,
           std::function<void(const promises::KeyAsk&)> ask);

  core::KeyVerdict key_status(const std::string& identity, TimeUs now) const;
  void send_when_promised(core::StartCall call, TimeUs now);
  bool drop(core::CallId call);  // says nothing of its end; false: it is not held
  void release_key(core::FreeKey key);

  void check(TimeUs now, TimeUs term);  // once a turn: asks, gives up
  std::optional<TimeUs> next_due() const { return holder_.next_due(); }
  void on_answer(TimeUs now, const promises::KeyTold& told);
  std::string status() const;

 private:
  void apply_verdicts(const std::vector<promises::KeyHolder::Verdict>& verdicts);

  Context& context_;
  std::function<void(core::StartCall)> send_;
  std::function<void(const promises::KeyAsk&)> ask_;
  promises::KeyHolder holder_;
  std::map<core::CallId, core::StartCall> waiting_;
  std::uint64_t granted_ = 0;
  std::uint64_t held_elsewhere_ = 0;
  std::uint64_t unavailable_ = 0;
};

}  // namespace orchidgw::net
