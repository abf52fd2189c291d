#include "net/promises.h"

#include <sstream>
#include <utility>

namespace orchidgw::net {

Promises::Promises(Context& context, promises::MemberKey self, std::function<void(core::SendCall)> send,
                   std::function<void(const promises::KeyRequest&)> ask)
    : context_(context), send_(std::move(send)), ask_(std::move(ask)), holder_(std::move(self)) {}

core::KeyStatus Promises::key_status(const std::string& identity, TimeUs now) const {
  const bool room = holder_.has_room() && identity.size() <= promises::kMaxIdentityBytes;
  return room && !holder_.keepers_unresponsive(now) ? core::KeyStatus::kNew : core::KeyStatus::kUnavailable;
}

void Promises::send_when_promised(core::SendCall call, TimeUs now) {
  const core::CallId id = call.call;
  holder_.want(now, id, {call.query, call.identity, call.key_hold});
  waiting_.emplace(id, std::move(call));
}

bool Promises::drop(core::CallId call) {
  if (waiting_.erase(call) == 0) return false;
  holder_.drop(call);
  return true;
}

void Promises::release_key(core::ReleaseKey key) { holder_.release({key.query, std::move(key.identity)}); }

void Promises::check(TimeUs now, TimeUs term) {
  holder_.set_term(term);
  apply_verdicts(holder_.take_timed_out(now));
  while (const auto ask = holder_.next(now)) ask_(*ask);
}

void Promises::on_answer(TimeUs now, const promises::KeyReply& told) {
  apply_verdicts(holder_.answered(now, told));
}

void Promises::apply_verdicts(const std::vector<promises::KeyHolder::Verdict>& verdicts) {
  for (const auto& verdict : verdicts) {
    const auto it = waiting_.find(verdict.ticket);
    if (it == waiting_.end()) continue;
    core::SendCall call = std::move(it->second);
    waiting_.erase(it);
    switch (verdict.result) {
      case promises::KeyResult::kGranted:
        ++granted_;
        send_(std::move(call));
        break;
      case promises::KeyResult::kHeld:
        ++held_elsewhere_;
        context_.post(core::CallEnded{call.call, core::ConnectionEnd::kKeyHeld});
        break;
      case promises::KeyResult::kUnavailable:
        // It was never sent: another attempt, or a refusal, is harmless.
        ++unavailable_;
        context_.post(core::CallEnded{call.call, core::ConnectionEnd::kIntentNotStored});
        break;
    }
  }
}

std::string Promises::status() const {
  std::ostringstream out;
  out << "keys waiting " << holder_.waiting() << " given " << granted_ << " rest_elsewhere "
      << held_elsewhere_ << " not_now " << unavailable_ << '\n';
  return out.str();
}

}  // namespace orchidgw::net
