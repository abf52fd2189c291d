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

  core::KeyVerdict verdict(const std::string& identity, TimeUs now) const;
  void hold(core::StartCall call, TimeUs now);
  bool drop(core::CallId call);  // says nothing of its end; false: it is not held
  void free(core::FreeKey key);

  void check(TimeUs now, TimeUs term);  // once a turn: asks, gives up
  std::optional<TimeUs> next_due() const { return holder_.next_due(); }
  void told(TimeUs now, const promises::KeyTold& told);
  std::string status() const;

 private:
  void act(const std::vector<promises::KeyHolder::Verdict>& verdicts);

  Context& context_;
  std::function<void(core::StartCall)> send_;
  std::function<void(const promises::KeyAsk&)> ask_;
  promises::KeyHolder holder_;
  std::map<core::CallId, core::StartCall> held_;
  std::uint64_t given_ = 0;
  std::uint64_t rest_ = 0;
  std::uint64_t not_now_ = 0;
};

}  // namespace orchidgw::net
