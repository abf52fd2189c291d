#include "promises/key_holder.h"

#include <algorithm>
#include <utility>

#include "promises/key_watch.h"

namespace orchidgw::promises {
namespace {

constexpr std::size_t kMaxWaiting = 4096;
constexpr std::size_t kMaxWantsPerRequest = 256;  // and as many releases
constexpr std::size_t kMaxPendingReleases = 4096;
constexpr TimeUs kRetryDivisor = 12;        // a request without a reply is repeated after 1/12 of a term
constexpr TimeUs kUnresponsiveDivisor = 6;  // after a timeout, requests are made again after 1/6 of a term

}  // namespace

TimeUs KeyHolder::answer_timeout() const { return term_ / kGrantTimeoutDivisor; }

TimeUs KeyHolder::retry_delay() const { return term_ / kRetryDivisor; }

bool KeyHolder::has_room() const { return waiting_.size() < kMaxWaiting; }

void KeyHolder::want(TimeUs now, Ticket ticket, HoldRequest want) {
  waiting_[ticket] = {std::move(want), now, now};
}

bool KeyHolder::drop(Ticket ticket) { return waiting_.erase(ticket) > 0; }

// Beyond the bound the release is dropped: the key stays held until its hold expires, which is safe.
void KeyHolder::release(const HoldRelease& free) {
  if (releases_.size() >= kMaxPendingReleases) return;
  releases_[{free.identity, free.query}] = 0;
  next_release_due_ = 0;
}

std::optional<KeyRequest> KeyHolder::next(TimeUs now) {
  KeyRequest out;
  InFlight flight;
  for (auto& [ticket, waiting] : waiting_) {
    if (waiting.next_request_at > now || out.wants.size() >= kMaxWantsPerRequest) continue;
    waiting.next_request_at = now + retry_delay();
    out.wants.push_back(waiting.want);
    flight.tickets.push_back(ticket);
  }
  add_releases(now, out);
  if (out.wants.empty() && out.free.empty()) return std::nullopt;
  out.from = self_;
  out.seq = ++last_seq_;
  flight.sent_at = now;
  flight.free = out.free;
  in_flight_.emplace(out.seq, std::move(flight));
  return out;
}

// Adds the releases that are due, and those of the wanted identities. Otherwise a query could be refused
// because of the hold of an earlier one that never ran, if the keeper was lost, or another became leader,
// before the release was committed.
void KeyHolder::add_releases(TimeUs now, KeyRequest& ask) {
  if (releases_.empty()) return;
  const auto add = [&](PendingReleases::iterator it) {
    if (ask.free.size() >= kMaxWantsPerRequest) return false;
    ask.free.push_back({it->first.second, it->first.first});
    it->second = now + answer_timeout();
    return true;
  };
  for (const HoldRequest& want : ask.wants)
    for (auto it = releases_.lower_bound({want.identity, 0}); it != releases_.end(); ++it)
      if (it->first.first != want.identity || !add(it)) break;
  if (next_release_due_ > now) return;
  next_release_due_ = now + answer_timeout();
  for (auto it = releases_.begin(); it != releases_.end(); ++it)
    if (it->second <= now && !add(it))
      next_release_due_ = now;
    else
      next_release_due_ = std::min(next_release_due_, it->second);
}

// Ignores a reply that comes so late that the hold could expire before the query ends, because this process
// or the keepers were paused.
std::vector<KeyHolder::Verdict> KeyHolder::answered(TimeUs now, const KeyReply& told) {
  std::vector<Verdict> out;
  const auto it = in_flight_.find(told.seq);
  if (told.to != self_ || it == in_flight_.end()) return out;
  const InFlight flight = std::move(it->second);
  in_flight_.erase(it);
  for (const HoldRelease& one : flight.free) releases_.erase({one.identity, one.query});
  unresponsive_until_ = 0;
  if (now - flight.sent_at > answer_timeout() || told.wants.size() != flight.tickets.size()) return out;
  for (std::size_t i = 0; i < flight.tickets.size(); ++i)
    if (waiting_.erase(flight.tickets[i]) > 0) out.push_back({flight.tickets[i], told.wants[i]});
  return out;
}

std::vector<KeyHolder::Verdict> KeyHolder::take_timed_out(TimeUs now) {
  std::vector<Verdict> out;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now - it->second.since < answer_timeout()) {
      ++it;
      continue;
    }
    out.push_back({it->first, KeyResult::kUnavailable});
    it = waiting_.erase(it);
  }
  if (!out.empty()) unresponsive_until_ = now + term_ / kUnresponsiveDivisor;
  while (!in_flight_.empty() && now - in_flight_.begin()->second.sent_at > answer_timeout())
    in_flight_.erase(in_flight_.begin());
  return out;
}

std::optional<TimeUs> KeyHolder::next_due() const {
  std::optional<TimeUs> due;
  const auto consider = [&due](TimeUs at) { due = std::min(due.value_or(at), at); };
  for (const auto& [ticket, waiting] : waiting_)
    consider(std::min(waiting.next_request_at, waiting.since + answer_timeout()));
  if (!releases_.empty()) consider(next_release_due_);
  if (!in_flight_.empty()) consider(in_flight_.begin()->second.sent_at + answer_timeout() + 1);
  return due;
}

}  // namespace orchidgw::promises
