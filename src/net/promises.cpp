#include "net/promises.h"

#include <sstream>
#include <utility>

namespace orchidgw::net {

Promises::Promises(Context& context, promises::MemberKey self, std::function<void(core::StartCall)> send,
                   std::function<void(const promises::KeyAsk&)> ask)
    : context_(context), send_(std::move(send)), ask_(std::move(ask)), holder_(std::move(self)) {}

core::KeyVerdict Promises::verdict(const std::string& identity, TimeUs now) const {
  const bool room = holder_.has_room() && identity.size() <= promises::kIdentityMost;
  return room && !holder_.stuck(now) ? core::KeyVerdict::kNew : core::KeyVerdict::kNoRoom;
}

void Promises::hold(core::StartCall call, TimeUs now) {
  const core::CallId id = call.call;
  holder_.want(now, id, {call.query, call.identity, call.rest});
  held_.emplace(id, std::move(call));
}

bool Promises::drop(core::CallId call) {
  if (held_.erase(call) == 0) return false;
  holder_.drop(call);
  return true;
}

void Promises::free(core::FreeKey key) { holder_.let_go({key.query, std::move(key.identity)}); }

void Promises::check(TimeUs now, TimeUs term) {
  holder_.set_term(term);
  act(holder_.given_up(now));
  while (const auto ask = holder_.next(now)) ask_(*ask);
}

void Promises::told(TimeUs now, const promises::KeyTold& told) { act(holder_.answered(now, told)); }

void Promises::act(const std::vector<promises::KeyHolder::Verdict>& verdicts) {
  for (const auto& verdict : verdicts) {
    const auto it = held_.find(verdict.ticket);
    if (it == held_.end()) continue;
    core::StartCall call = std::move(it->second);
    held_.erase(it);
    switch (verdict.told) {
      case promises::Told::kGiven:
        ++given_;
        send_(std::move(call));
        break;
      case promises::Told::kRests:
        ++rest_;
        context_.post(core::CallEnded{call.call, core::ConnectionEnd::kKeyRests});
        break;
      case promises::Told::kNotNow:  // it never left: another attempt, or a refusal, is harmless
        ++not_now_;
        context_.post(core::CallEnded{call.call, core::ConnectionEnd::kNoIntent});
        break;
    }
  }
}

std::string Promises::status() const {
  std::ostringstream out;
  out << "keys waiting " << holder_.waiting() << " given " << given_ << " rest_elsewhere " << rest_
      << " not_now " << not_now_ << '\n';
  return out.str();
}

}  // namespace orchidgw::net
