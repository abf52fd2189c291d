// The reducer's handling of attempts: their calls, the answers to them, how calls end, and the outcomes that
// the decision module gets.
#include <algorithm>
#include <utility>

#include "core/reducer.h"

namespace orchidgw::core {

// Sends a call to the attempt's engine. An attempt has one call at a time, apart from priority changes.
void Reducer::send_call(QueryId id, std::size_t attempt_index, CallKind kind) {
  const QueryState& query = queries_.at(id);
  AttemptState& attempt = attempt_at(id, attempt_index);
  SendCall effect;
  effect.call = ++last_call_;
  effect.attempt = attempt.adapter_id;
  effect.kind = kind;
  effect.engine = attempt.engine;
  effect.address = attempt.address;
  effect.reference = query.request.reference;
  const bool may_be_held = kind == CallKind::kStart || kind == CallKind::kPoll;
  effect.answer_by = now_ + bounds_.answer_grace + (may_be_held ? bounds_.poll_hold : 0);
  effect.priority = query.priority;
  // A duplicate of the previous answer can arrive some milliseconds late on the attempt's connection. Read as
  // the answer to this call, it would end the attempt while the engine still runs the query.
  if (kind == CallKind::kCancel && attempt.adapter_id > 0) emit(CloseConnection{attempt.adapter_id});
  if (kind == CallKind::kPage) effect.page = static_cast<int>(attempt.result_pages.size());
  if (kind == CallKind::kStart) {
    effect.class_name = query.request.class_name;
    effect.idempotency_key = query.request.idempotency_key;
    effect.statement = query.request.statement;
    effect.grant_mb = query.grant_mb;
    if (key_lookup_) {
      const ClassSettings& query_class = class_of(query);
      effect.query = id;
      effect.identity = identity_of(query);
      effect.key_hold = key_hold_of(query_class);
    }
    effect.stop_at = attempt.stop_at;
  }
  if (kind != CallKind::kPriority) {
    attempt.open_call = effect.call;
    attempt.call_kind = kind;
  }
  calls_[effect.call] = {id, attempt_index, kind};
  ++counters_.calls;
  emit(std::move(effect));
}

// Removes a call that is over. Returns its owner if an attempt still waits for it; a dropped call may outlive
// its query.
std::optional<Reducer::CallOwner> Reducer::release_call(CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return std::nullopt;
  const CallOwner owner = it->second;
  calls_.erase(it);
  if (owner.kind == CallKind::kPriority || find_query(owner.query) == nullptr) return std::nullopt;
  AttemptState& attempt = attempt_at(owner.query, owner.attempt_index);
  if (attempt.open_call != call) return std::nullopt;
  attempt.open_call = 0;
  return owner;
}

void Reducer::on(CallAnswered& event) {
  const auto owner = release_call(event.call);
  if (!owner) return;
  attempt_at(owner->query, owner->attempt_index).may_have_started = true;
  handle_answer(owner->query, owner->attempt_index, event.answer);
}

void Reducer::on(CallEnded& event) {
  const auto owner = release_call(event.call);
  if (!owner) return;
  AttemptState& attempt = attempt_at(owner->query, owner->attempt_index);
  attempt.may_have_started = attempt.may_have_started || may_have_arrived(event.end);
  if (trace_enabled_) trace_call_ended(*owner, event.end);
  if (attempt.phase == Phase::kConcluded) return;
  if (event.end == ConnectionEnd::kKeyHeld || event.end == ConnectionEnd::kIntentNotStored)
    return handle_blocked_start(owner->query, owner->attempt_index, event.end);
  if (attempt.phase != Phase::kGivingUp)
    return handle_failed_call(owner->query, owner->attempt_index, event.end);
  if (attempt.call_kind == CallKind::kCancel)
    return handle_failed_cancel(owner->query, owner->attempt_index, event.end);
  handle_dropped_call_end(owner->query, owner->attempt_index, event.end);
}

void Reducer::handle_answer(QueryId id, std::size_t attempt_index, CallAnswer& answer) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  if (attempt.phase == Phase::kConcluded) return;
  attempt.last_answer_at = now_;
  if (attempt.call_kind == CallKind::kCancel) {  // any answer means that the engine got the call
    return conclude(id, attempt_index, attempt.give_up_outcome);
  }
  if (attempt.call_kind == CallKind::kPage) return handle_page(id, attempt_index, answer);
  switch (answer.kind) {
    case CallAnswer::Kind::kPending:
      attempt.failed_calls = 0;
      if (attempt.phase == Phase::kGivingUp) return send_call(id, attempt_index, CallKind::kCancel);
      return send_call(id, attempt_index, CallKind::kPoll);
    case CallAnswer::Kind::kServed:
      return handle_result(id, attempt_index, answer);
    case CallAnswer::Kind::kFull:
    case CallAnswer::Kind::kExpired:
      return conclude(id, attempt_index, OutcomeKind::kFull);
    case CallAnswer::Kind::kError:
    case CallAnswer::Kind::kPage:
    case CallAnswer::Kind::kDone:
      return conclude(id, attempt_index, OutcomeKind::kError);
  }
}

void Reducer::handle_result(QueryId id, std::size_t attempt_index, CallAnswer& answer) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  attempt.reported_cost = answer.reported_cost;
  attempt.reported_memory_mb = answer.reported_memory_mb;
  attempt.page_count = answer.pages;
  attempt.phase = Phase::kPaging;
  attempt.failed_calls = 0;
  attempt.result_pages.push_back(std::move(answer.rows));
  continue_paging(id, attempt_index);
}

void Reducer::handle_page(QueryId id, std::size_t attempt_index, CallAnswer& answer) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  if (answer.kind != CallAnswer::Kind::kPage) return conclude(id, attempt_index, OutcomeKind::kError);
  // A wrong page number means a duplicate of an earlier answer; reading on would take it for the next answer.
  if (answer.page != static_cast<int>(attempt.result_pages.size())) {
    emit(CloseConnection{attempt.adapter_id});
    return retry_call(id, attempt_index, CallKind::kPage, OutcomeKind::kError);
  }
  attempt.failed_calls = 0;
  attempt.result_pages.push_back(std::move(answer.rows));
  continue_paging(id, attempt_index);
}

void Reducer::continue_paging(QueryId id, std::size_t attempt_index) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  std::size_t bytes = 0;
  for (const auto& page : attempt.result_pages) bytes += page ? page->size() : 0;
  const bool whole = static_cast<int>(attempt.result_pages.size()) >= attempt.page_count;
  if (bytes > bounds_.max_result_bytes) {
    return conclude(id, attempt_index, OutcomeKind::kError);
  }
  if (!whole && !queries_.at(id).ended) return send_call(id, attempt_index, CallKind::kPage);
  conclude(id, attempt_index, OutcomeKind::kOk);
}

// Handles a call that ended without a usable answer. A query is not tied to a connection, and an engine
// repeats the answer and its pages after a query has succeeded. So the call is retried on another connection,
// as long as the engine can still have the query and few calls in a row failed. This saves queries that ran
// but whose answer was corrupted, truncated or lost.
void Reducer::handle_failed_call(QueryId id, std::size_t attempt_index, ConnectionEnd end) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  const OutcomeKind outcome = outcome_of(end, attempt.may_have_started);
  if (!attempt.may_have_started || end == ConnectionEnd::kRefused) {
    // It never ran, or no engine runs there any more.
    return conclude(id, attempt_index, outcome);
  }
  const bool may_be_there =
      attempt.phase == Phase::kPaging || now_ - attempt.last_answer_at < bounds_.engine_retention;
  if (!may_be_there) return give_up(id, attempt_index, outcome);
  retry_call(id, attempt_index, attempt.phase == Phase::kPaging ? CallKind::kPage : CallKind::kPoll, outcome);
}

// Gives the attempt up once too many calls in a row failed. For an attempt that is already being given up no
// further call is made: it ends with the timer at which its engine has dropped the query.
void Reducer::retry_call(QueryId id, std::size_t attempt_index, CallKind kind, OutcomeKind fallback_outcome) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  if (attempt.failed_calls >= bounds_.max_failed_calls) return give_up(id, attempt_index, fallback_outcome);
  ++attempt.failed_calls;
  ++counters_.asked_again;
  send_call(id, attempt_index, kind);
}

// An attempt that is given up stays in flight until its engine has confirmed it or has dropped the query by
// itself, so that no second attempt runs beside it. Its outcome is reported then, or at the query's deadline.
void Reducer::give_up(QueryId id, std::size_t attempt_index, OutcomeKind as) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  if (attempt.phase == Phase::kGivingUp || attempt.phase == Phase::kConcluded) return;
  attempt.give_up_outcome = as;
  const bool paging = attempt.phase == Phase::kPaging;  // the engine has finished the query
  if (attempt.open_call != 0) emit(DropCall{attempt.open_call});
  if (paging) {
    return conclude(id, attempt_index, as);
  }
  attempt.phase = Phase::kGivingUp;
  attempt.failed_calls = 0;
  if (now_ >= queries_.at(id).deadline) queue_outcome(id, attempt_index, as);
  schedule_timer(TimerKind::kEngineRetention, now_ + bounds_.engine_retention + bounds_.poll_hold, id,
                 attempt_index);
  if (attempt.open_call == 0) send_call(id, attempt_index, CallKind::kCancel);
}

// The dropped call has ended. The engine is told to stop, unless it cannot have the query.
void Reducer::handle_dropped_call_end(QueryId id, std::size_t attempt_index, ConnectionEnd end) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  if (attempt.may_have_started && end != ConnectionEnd::kRefused)
    return send_call(id, attempt_index, CallKind::kCancel);
  conclude(id, attempt_index, attempt.give_up_outcome);
}

// An answer that began, readable or not, shows that the engine got the whole call.
void Reducer::handle_failed_cancel(QueryId id, std::size_t attempt_index, ConnectionEnd end) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  const bool answer_began = end == ConnectionEnd::kUnreadable || end == ConnectionEnd::kClosedMidAnswer ||
                            end == ConnectionEnd::kResetMidAnswer;
  if (answer_began || end == ConnectionEnd::kRefused)
    return conclude(id, attempt_index, attempt.give_up_outcome);
  retry_call(id, attempt_index, CallKind::kCancel, attempt.give_up_outcome);
}

void Reducer::handle_stop_timer(QueryId id, std::size_t attempt_index) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  if (attempt.phase == Phase::kConcluded) return;
  if (attempt.phase != Phase::kGivingUp) return give_up(id, attempt_index, OutcomeKind::kTimeout);
  if (now_ >= queries_.at(id).deadline) queue_outcome(id, attempt_index, attempt.give_up_outcome);
}

void Reducer::handle_retention_timer(QueryId id, std::size_t attempt_index) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  if (attempt.phase != Phase::kGivingUp) return;
  ++counters_.unconfirmed;
  if (attempt.open_call != 0) emit(DropCall{attempt.open_call});
  conclude(id, attempt_index, attempt.give_up_outcome);
}

// Fails a request that has no final answer after its time budget, whatever kept the module from giving one.
void Reducer::fail_overdue(QueryId id) {
  const QueryState* query = find_query(id);
  if (query == nullptr || query->ended) return;
  ++counters_.answers_overdue;
  const bool with_module = query->admitted;
  fail_request(id, "its time is over");
  if (with_module) module_->on_client_gone(now_, id, *this);
}

// Answers a request that would be left without an answer when the process ends.
void Reducer::answer_for_shutdown(QueryId id) {
  const QueryState* query = find_query(id);
  if (query == nullptr || query->ended) return;
  const bool with_module = query->admitted;
  if (may_refuse(*query)) {
    refuse_request(id, Reason::kShutDown, longest_retry_after());
  } else {
    fail_request(id, "the gateway shuts down");
  }
  if (with_module) module_->on_client_gone(now_, id, *this);
}

// Ends an attempt of which its engine has nothing left.
void Reducer::conclude(QueryId id, std::size_t attempt_index, OutcomeKind kind) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  attempt.phase = Phase::kConcluded;
  attempt.may_have_run = attempt.may_have_started && kind != OutcomeKind::kFull;
  attempt.unsent = !attempt.may_have_started && never_sent(kind);
  const QueryState& query = queries_.at(id);
  if (!attempt.may_have_run && query.key_starts)
    query.key_starts->remove(id, static_cast<int>(attempt_index));
  // Pages of an attempt that was given up would otherwise stay as long as its query waits, and a buffer pool
  // full of them stops all reading.
  if (kind != OutcomeKind::kOk) attempt.result_pages.clear();
  if (attempt.adapter_id > 0) emit(CloseConnection{attempt.adapter_id});
  queries_to_check_.push_back(id);
  queue_outcome(id, attempt_index, kind);
}

void Reducer::queue_outcome(QueryId id, std::size_t attempt_index, OutcomeKind kind) {
  AttemptState& attempt = attempt_at(id, attempt_index);
  if (attempt.outcome_reported) return;
  attempt.outcome_reported = true;
  pending_outcomes_.push_back({id, attempt_index, kind});
}

// Outcomes are reported after the event in which they arose, so that the module is never called from within
// one of its own calls.
void Reducer::deliver_pending_outcomes() {
  while (!pending_outcomes_.empty()) {
    const PendingOutcome next = pending_outcomes_.front();
    pending_outcomes_.pop_front();
    deliver_outcome(next);
  }
}

void Reducer::deliver_outcome(const PendingOutcome& pending) {
  QueryState& query = queries_.at(pending.query);
  AttemptState& attempt = query.attempts[pending.attempt_index];
  ++counters_.outcomes[static_cast<std::size_t>(pending.kind)];
  Outcome outcome;
  outcome.query = pending.query;
  outcome.attempt = static_cast<int>(pending.attempt_index);
  outcome.engine = attempt.engine;
  outcome.kind = pending.kind;
  outcome.latency = now_ - attempt.sent_at;
  outcome.ended = query.ended || pending.kind == OutcomeKind::kOk;
  if (pending.kind == OutcomeKind::kOk && settings_.engines_report_cost) {
    outcome.reported_cost = attempt.reported_cost;
    outcome.reported_memory_mb = attempt.reported_memory_mb;
  }
  const ClassSettings& query_class = class_of(query);
  const TimeUs expected = query.request.cost_estimate / query_class.threads;
  if (pending.kind == OutcomeKind::kOk && expected > 0 && levels_.has_levels() && !query_class.load)
    levels_.meters()->attempt_succeeded(now_, attempt.engine,
                                        static_cast<double>(outcome.latency) / static_cast<double>(expected));
  if (pending.kind == OutcomeKind::kOk && !query.ended) {
    const double latency_target = static_cast<double>(query_class.latency_target) +
                                  query_class.latency_target_runtime_factor * static_cast<double>(expected);
    record_answer(query, static_cast<double>(now_ - query.accepted_at) > latency_target);
    ++counters_.served;
    if (trace_enabled_) trace_answered(pending.query, "served", query);
    emit(AnswerServed{query.client, query.tag, std::move(attempt.result_pages)});
    end_request(query);
  }
  queries_to_check_.push_back(pending.query);
  limiter_.attempt_ended(now_, pending.query, pending.kind, outcome.latency, expected);
  if (trace_enabled_) trace_ended(outcome, query);
  module_->on_outcome(now_, outcome, *this);
}

// Erases the state of queries that are answered and have no attempt in flight.
void Reducer::erase_finished_queries() {
  for (const QueryId id : queries_to_check_) {
    const auto it = queries_.find(id);
    if (it == queries_.end() || !it->second.ended) continue;
    const auto& attempts = it->second.attempts;
    const bool all_concluded = std::all_of(attempts.begin(), attempts.end(), [](const AttemptState& attempt) {
      return attempt.phase == Phase::kConcluded && attempt.outcome_reported;
    });
    if (!all_concluded) continue;
    limiter_.query_ended(now_, id);
    if (key_lookup_) release_key(id, it->second);
    if (it->second.key_starts)
      key_history_.close(now_, it->second.request.idempotency_key, id,
                         key_retention_of(class_of(it->second)));
    statement_bytes_ -= it->second.request.statement.size();
    close_reference(it->second);
    references_.erase(it->second.request.reference);
    queries_.erase(it);
  }
  queries_to_check_.clear();
}

}  // namespace orchidgw::core
