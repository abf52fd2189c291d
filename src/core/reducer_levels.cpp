// Reduced service levels in the reducer: sampling of their signals, level changes, and load shedding; also
// clients that abort a request or disconnect.
#include <algorithm>
#include <sstream>
#include <vector>

#include "core/reducer.h"

namespace orchidgw::core {
namespace {

constexpr TimeUs kUsPerSecond = 1'000'000;

}  // namespace

service_level::ShedCandidate Reducer::to_shed_query(const QueryState& query) const {
  const ClientRequest& request = query.request;
  const bool keyed = !request.idempotency_key.empty();
  return {request.class_name, request.tenant, keyed ? request.idempotency_key : request.statement,
          keyed && request.is_retry};
}

void Reducer::sample_signals(TimeUs due) {
  sample_timer_set_ = levels_.has_levels();
  if (!levels_.has_levels()) return;
  schedule_timer(TimerKind::kLevelSample, now_ + service_level::kSampleInterval, 0, 0);
  service_level::Readings readings;
  readings.loop_lag = now_ - due;
  readings.buffers = buffers_used_;
  for (const auto& [id, query] : queries_) {
    if (query.ended || !query.attempts.empty()) continue;
    ++readings.queue_length;
    readings.queue_age = std::max(readings.queue_age, now_ - query.accepted_at);
  }
  bool moved = false;
  for (const service_level::LadderEvent& change : levels_.sample(now_, readings)) {
    std::ostringstream line;
    line << "service level " << change.from;
    if (!change.trial) line << " -> " << change.to;
    line << ": " << change.reason << "; stayed " << change.stayed / kUsPerSecond << " s";
    emit(LogText{log::Level::kWarn, line.str()});
    moved = moved || !change.trial;
  }
  if (!moved) return;
  limiter_.set_scale(now_, levels_.limits_scale());
  shed_unsent_queries();
}

// The refusal carries a retry_after time only where the settings allow it.
void Reducer::shed(QueryId id) {
  refuse_request(id, Reason::kShed,
                 levels_.retry_after(to_shed_query(queries_.at(id)), longest_retry_after()));
}

// Applies a level change to waiting queries too: what the new level sheds is refused at once. None of these
// queries has had an attempt.
void Reducer::shed_unsent_queries() {
  std::vector<QueryId> unsent_queries;
  for (const auto& [id, query] : queries_)
    if (!query.ended && query.attempts.empty() && levels_.shedding_level(to_shed_query(query)) != nullptr)
      unsent_queries.push_back(id);
  std::sort(unsent_queries.begin(), unsent_queries.end());
  for (const QueryId id : unsent_queries) {
    QueryState& query = queries_.at(id);
    if (query.ended || !query.attempts.empty()) continue;  // sent meanwhile, as one shed before made room
    const bool with_module = query.admitted;
    shed(id);
    if (with_module) module_->on_client_gone(now_, id, *this);
  }
}

void Reducer::update_level_engines() {
  std::vector<EngineId> listed;
  std::size_t in_service = 0;
  for (const auto& [id, listing] : engines_) {
    listed.push_back(id);
    in_service += listing.entry.state == EngineState::kInService ? 1 : 0;
  }
  levels_.meters()->set_engines(listed, in_service);
}

void Reducer::record_answer(const QueryState& query, bool late) {
  if (levels_.has_levels())
    levels_.meters()->query_answered(now_, query.request.class_name, query.request.tenant, late);
}

void Reducer::on(RequestAborted& event) { abandon_request({event.client, event.tag}); }

void Reducer::on(ClientClosed& event) {
  std::vector<RequestKey> keys;
  const auto [first, last] = open_request_range(event.client);
  for (auto it = first; it != last; ++it) keys.push_back(it->first);
  for (const RequestKey& key : keys) abandon_request(key);
  reference_history_.client_left(event.client);
  key_history_.client_left(event.client);
}

// Closes a request that its client aborted, or whose client disconnected: no answer is owed.
void Reducer::abandon_request(const RequestKey& key) {
  const auto it = open_requests_.find(key);
  if (it == open_requests_.end()) return;
  const QueryId id = it->second;
  ++counters_.aborted;
  QueryState& query = queries_.at(id);
  end_request(query);
  queries_to_check_.push_back(id);
  // Where running attempts can't be cancelled, an attempt must not start for a client that no longer waits.
  for (const AttemptState& attempt : query.attempts) withdraw_unsent_start(attempt);
  if (query.admitted) module_->on_client_gone(now_, id, *this);
}

void Reducer::end_request(QueryState& query) {
  query.ended = true;
  if (open_requests_.erase({query.client, query.tag}) > 0) query_shares_.remove(query.client);
}

}  // namespace orchidgw::core
