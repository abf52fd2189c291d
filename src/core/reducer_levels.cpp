// Reduced service levels in the reducer: signals, changes of level, and what they shed.
#include <algorithm>
#include <sstream>
#include <vector>

#include "core/reducer.h"

namespace orchidgw::core {
namespace {

constexpr TimeUs kUsPerSecond = 1'000'000;

}  // namespace

service_level::ShedQuery Reducer::as_shed_sees(const QueryState& query) const {
  const ClientRequest& r = query.request;
  const bool keyed = !r.idempotency_key.empty();
  return {r.class_name, r.tenant, keyed ? r.idempotency_key : r.statement, keyed && r.repeat};
}

void Reducer::sample_signals(TimeUs due) {
  sampling_ = levels_.on();
  if (!levels_.on()) return;
  set_timer_for(TimerKind::kSample, now_ + service_level::kSampleEvery, 0, 0);
  service_level::Readings readings;
  readings.loop_lag = now_ - due;
  readings.buffers = buffers_used_;
  for (const auto& [id, query] : queries_) {
    if (query.ended || !query.attempts.empty()) continue;
    ++readings.line;
    readings.line_age = std::max(readings.line_age, now_ - query.taken_at);
  }
  bool moved = false;
  for (const service_level::Change& change : levels_.sample(now_, readings)) {
    std::ostringstream line;
    line << "service level " << change.from;
    if (!change.trial) line << " -> " << change.to;
    line << ": " << change.reason << "; stayed " << change.stayed / kUsPerSecond << " s";
    emit(LogText{log::Level::kWarn, line.str()});
    moved = moved || !change.trial;
  }
  if (!moved) return;
  limiter_.set_scale(now_, levels_.limits_scale());
  shed_those_held();
}

// With a time to come back only where the settings let one be told.
void Reducer::shed(QueryId id) {
  turn_away(id, Reason::kShed, levels_.come_back_in(as_shed_sees(queries_.at(id)), longest_advice()));
}

// A change of level meets those that wait, too: what is shed now is answered at once. None was sent anywhere.
void Reducer::shed_those_held() {
  std::vector<QueryId> held;
  for (const auto& [id, query] : queries_)
    if (!query.ended && query.attempts.empty() && levels_.sheds(as_shed_sees(query)) != nullptr)
      held.push_back(id);
  std::sort(held.begin(), held.end());
  for (const QueryId id : held) {
    QueryState& query = queries_.at(id);
    if (query.ended || !query.attempts.empty()) continue;  // sent meanwhile, in the place of one before
    const bool with_module = query.let_in;
    shed(id);
    if (with_module) module_->on_client_gone(now_, id, *this);
  }
}

void Reducer::tell_levels_of_engines() {
  std::vector<EngineId> listed;
  std::size_t in_service = 0;
  for (const auto& [id, listing] : engines_) {
    listed.push_back(id);
    in_service += listing.entry.state == EngineState::kInService ? 1 : 0;
  }
  levels_.meters()->engines(listed, in_service);
}

void Reducer::note_answered(const QueryState& query, bool late) {
  if (levels_.on()) levels_.meters()->answered(now_, query.request.class_name, query.request.tenant, late);
}

void Reducer::on(RequestAborted& event) { leave({event.client, event.tag}); }

void Reducer::on(ClientClosed& event) {
  std::vector<OpenKey> keys;
  const auto [first, last] = open_range(event.client);
  for (auto it = first; it != last; ++it) keys.push_back(it->first);
  for (const OpenKey& key : keys) leave(key);
}

// The client went away, or gave this request up: no answer is owed.
void Reducer::leave(const OpenKey& key) {
  const auto it = open_.find(key);
  if (it == open_.end()) return;
  const QueryId id = it->second;
  ++counters_.aborted;
  QueryState& query = queries_.at(id);
  end(query);
  touched_.push_back(id);
  // Guards against an attempt that begins for nobody where running ones can't be cancelled.
  for (const AttemptState& a : query.attempts) withdraw_unsent(a);
  if (query.let_in) module_->on_client_gone(now_, id, *this);
}

void Reducer::end(QueryState& query) {
  query.ended = true;
  open_.erase({query.client, query.tag});
}

}  // namespace orchidgw::core
