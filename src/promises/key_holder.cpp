#include "promises/key_holder.h"

#include <algorithm>
#include <utility>

#include "promises/key_watch.h"

namespace orchidgw::promises {
namespace {

constexpr std::size_t kWaitingMost = 4096;
constexpr std::size_t kWantsMost = 256;  // in one ask, and as many freed
constexpr std::size_t kFreedMost = 4096;
constexpr TimeUs kRepeatPart = 12;  // of a term: an ask that has no answer is made again
constexpr TimeUs kStuckPart = 6;    // of a term: after that, one is tried again

}  // namespace

TimeUs KeyHolder::patience() const { return term_ / kSendPart; }

TimeUs KeyHolder::repeat_after() const { return term_ / kRepeatPart; }

bool KeyHolder::has_room() const { return waiting_.size() < kWaitingMost; }

void KeyHolder::want(TimeUs now, Ticket ticket, Want want) { waiting_[ticket] = {std::move(want), now, now}; }

bool KeyHolder::drop(Ticket ticket) { return waiting_.erase(ticket) > 0; }

// Past the bound a key rests in vain: that is safe.
void KeyHolder::let_go(const Free& free) {
  if (freed_.size() >= kFreedMost) return;
  freed_[{free.identity, free.query}] = 0;
  freed_due_ = 0;
}

std::optional<KeyAsk> KeyHolder::next(TimeUs now) {
  KeyAsk out;
  Flight flight;
  for (auto& [ticket, waiting] : waiting_) {
    if (waiting.ask_at > now || out.wants.size() >= kWantsMost) continue;
    waiting.ask_at = now + repeat_after();
    out.wants.push_back(waiting.want);
    flight.tickets.push_back(ticket);
  }
  say_freed(now, out);
  if (out.wants.empty() && out.free.empty()) return std::nullopt;
  out.from = self_;
  out.seq = ++last_seq_;
  flight.sent_at = now;
  flight.free = out.free;
  flights_.emplace(out.seq, std::move(flight));
  return out;
}

// Guards against a query that is turned away by the rest of one before it, which never ran: its keeper was
// lost, or another leads, before the word that it is free was agreed on.
void KeyHolder::say_freed(TimeUs now, KeyAsk& ask) {
  if (freed_.empty()) return;
  const auto say = [&](Freed::iterator it) {
    if (ask.free.size() >= kWantsMost) return false;
    ask.free.push_back({it->first.second, it->first.first});
    it->second = now + patience();
    return true;
  };
  for (const Want& want : ask.wants)
    for (auto it = freed_.lower_bound({want.identity, 0}); it != freed_.end(); ++it)
      if (it->first.first != want.identity || !say(it)) break;
  if (freed_due_ > now) return;
  freed_due_ = now + patience();
  for (auto it = freed_.begin(); it != freed_.end(); ++it)
    if (it->second <= now && !say(it))
      freed_due_ = now;
    else
      freed_due_ = std::min(freed_due_, it->second);
}

// Guards against an answer that comes so late that the rest may be over before the query is: a process that
// was stopped, or keepers that were. It is as if there were none.
std::vector<KeyHolder::Verdict> KeyHolder::answered(TimeUs now, const KeyTold& told) {
  std::vector<Verdict> out;
  const auto it = flights_.find(told.seq);
  if (told.to != self_ || it == flights_.end()) return out;
  const Flight flight = std::move(it->second);
  flights_.erase(it);
  for (const Free& one : flight.free) freed_.erase({one.identity, one.query});
  stuck_until_ = 0;
  if (now - flight.sent_at > patience() || told.wants.size() != flight.tickets.size()) return out;
  for (std::size_t i = 0; i < flight.tickets.size(); ++i)
    if (waiting_.erase(flight.tickets[i]) > 0) out.push_back({flight.tickets[i], told.wants[i]});
  return out;
}

std::vector<KeyHolder::Verdict> KeyHolder::given_up(TimeUs now) {
  std::vector<Verdict> out;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now - it->second.since < patience()) {
      ++it;
      continue;
    }
    out.push_back({it->first, Told::kNotNow});
    it = waiting_.erase(it);
  }
  if (!out.empty()) stuck_until_ = now + term_ / kStuckPart;
  while (!flights_.empty() && now - flights_.begin()->second.sent_at > patience())
    flights_.erase(flights_.begin());
  return out;
}

std::optional<TimeUs> KeyHolder::next_due() const {
  std::optional<TimeUs> due;
  const auto by = [&due](TimeUs at) { due = std::min(due.value_or(at), at); };
  for (const auto& [ticket, waiting] : waiting_) by(std::min(waiting.ask_at, waiting.since + patience()));
  if (!freed_.empty()) by(freed_due_);
  if (!flights_.empty()) by(flights_.begin()->second.sent_at + patience() + 1);
  return due;
}

}  // namespace orchidgw::promises
