// The course of an attempt in the reducer: its calls, their answers and ends, and what the module is told.
#include <algorithm>
#include <utility>

#include "core/reducer.h"

namespace orchidgw::core {

// Asks the engine; the call is the attempt's only one, but for changes of priority.
void Reducer::call(QueryId id, std::size_t n, CallKind kind) {
  const QueryState& query = queries_.at(id);
  AttemptState& a = attempt_at(id, n);
  StartCall start;
  start.call = ++last_call_;
  start.attempt = a.serial;
  start.kind = kind;
  start.engine = a.engine;
  start.address = a.address;
  start.reference = query.request.reference;
  const bool held = kind == CallKind::kStart || kind == CallKind::kNews;
  start.answer_by = now_ + bounds_.answer_grace + (held ? bounds_.news_hold : 0);
  start.priority = query.priority;
  // Guards against a second copy of the last answer, some milliseconds late on the connection that the
  // attempt has: taken for the answer to this call, the attempt passed for over while its engine still ran
  // it.
  if (kind == CallKind::kGiveUp && a.serial > 0) emit(CloseConnection{a.serial});
  if (kind == CallKind::kPage) start.page = static_cast<int>(a.rows.size());
  if (kind == CallKind::kStart) {
    start.class_name = query.request.class_name;
    start.idempotency_key = query.request.idempotency_key;
    start.statement = query.request.statement;
    start.grant_mb = query.grant_mb;
    if (keys_) {
      const ClassSettings& c = class_of(query);
      start.query = id;
      start.identity = identity_of(query);
      start.rest = rest_of(c);
    }
    start.stop_at = a.stop_at;
  }
  if (kind != CallKind::kPriority) {
    a.call = start.call;
    a.call_kind = kind;
  }
  calls_[start.call] = {id, n, kind};
  ++counters_.calls;
  emit(std::move(start));
}

// The owner of a call that is over, if an attempt still waits for it: a dropped call may outlive its query.
std::optional<Reducer::CallOwner> Reducer::release(CallId call) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return std::nullopt;
  const CallOwner owner = it->second;
  calls_.erase(it);
  if (owner.kind == CallKind::kPriority || find_query(owner.query) == nullptr) return std::nullopt;
  AttemptState& a = attempt_at(owner.query, owner.attempt);
  if (a.call != call) return std::nullopt;
  a.call = 0;
  return owner;
}

void Reducer::on(CallAnswered& event) {
  const auto owner = release(event.call);
  if (!owner) return;
  attempt_at(owner->query, owner->attempt).started = true;
  answered(owner->query, owner->attempt, event.answer);
}

void Reducer::on(CallEnded& event) {
  const auto owner = release(event.call);
  if (!owner) return;
  AttemptState& a = attempt_at(owner->query, owner->attempt);
  a.started = a.started || may_have_arrived(event.end);
  if (trace_) trace_call_ended(*owner, event.end);
  if (a.phase == Phase::kOver) return;
  if (event.end == ConnectionEnd::kKeyRests || event.end == ConnectionEnd::kNoIntent)
    return not_promised(owner->query, owner->attempt, event.end);
  if (a.phase != Phase::kGivingUp) return broke(owner->query, owner->attempt, event.end);
  if (a.call_kind == CallKind::kGiveUp) return give_up_broke(owner->query, owner->attempt, event.end);
  stopped_asking(owner->query, owner->attempt, event.end);
}

void Reducer::answered(QueryId id, std::size_t n, CallAnswer& answer) {
  AttemptState& a = attempt_at(id, n);
  if (a.phase == Phase::kOver) return;
  a.heard_at = now_;
  if (a.call_kind == CallKind::kGiveUp) {  // whatever it said, the call came whole
    return conclude(id, n, a.given_up_as);
  }
  if (a.call_kind == CallKind::kPage) return page_came(id, n, answer);
  switch (answer.kind) {
    case CallAnswer::Kind::kNotYet:
      a.broken = 0;
      if (a.phase == Phase::kGivingUp) return call(id, n, CallKind::kGiveUp);
      return call(id, n, CallKind::kNews);
    case CallAnswer::Kind::kServed:
      return served(id, n, answer);
    case CallAnswer::Kind::kFull:
    case CallAnswer::Kind::kOver:
      return conclude(id, n, OutcomeKind::kFull);
    case CallAnswer::Kind::kError:
    case CallAnswer::Kind::kPage:
    case CallAnswer::Kind::kDone:
      return conclude(id, n, OutcomeKind::kError);
  }
}

void Reducer::served(QueryId id, std::size_t n, CallAnswer& answer) {
  AttemptState& a = attempt_at(id, n);
  a.told_cost = answer.told_cost;
  a.told_memory_mb = answer.told_memory_mb;
  a.pages = answer.pages;
  a.phase = Phase::kPaging;
  a.broken = 0;
  a.rows.push_back(std::move(answer.rows));
  next_page(id, n);
}

void Reducer::page_came(QueryId id, std::size_t n, CallAnswer& answer) {
  AttemptState& a = attempt_at(id, n);
  if (answer.kind != CallAnswer::Kind::kPage) return conclude(id, n, OutcomeKind::kError);
  // Guards against a second copy that is taken for the answer to the next call.
  if (answer.page != static_cast<int>(a.rows.size())) {
    emit(CloseConnection{a.serial});
    return ask_again(id, n, CallKind::kPage, OutcomeKind::kError);
  }
  a.broken = 0;
  a.rows.push_back(std::move(answer.rows));
  next_page(id, n);
}

void Reducer::next_page(QueryId id, std::size_t n) {
  AttemptState& a = attempt_at(id, n);
  std::size_t bytes = 0;
  for (const auto& page : a.rows) bytes += page ? page->size() : 0;
  const bool whole = static_cast<int>(a.rows.size()) >= a.pages;
  if (bytes > bounds_.result_bytes) {
    return conclude(id, n, OutcomeKind::kError);
  }
  if (!whole && !queries_.at(id).ended) return call(id, n, CallKind::kPage);
  conclude(id, n, OutcomeKind::kOk);
}

// A call ended without an answer that can be used. A query belongs to no connection, and after a good end its
// engine gives the answer and its pages again: they are asked for on another connection, as long as the
// engine can still have the query and few calls in a row broke. Guards against spoilt, cut and lost answers,
// whose query ran.
void Reducer::broke(QueryId id, std::size_t n, ConnectionEnd end) {
  AttemptState& a = attempt_at(id, n);
  const OutcomeKind outcome = outcome_of(end, a.started);
  if (!a.started || end == ConnectionEnd::kRefused) {  // it never ran, or nothing runs there any more
    return conclude(id, n, outcome);
  }
  const bool may_be_there = a.phase == Phase::kPaging || now_ - a.heard_at < bounds_.forgotten;
  if (!may_be_there) return give_up(id, n, outcome);
  ask_again(id, n, a.phase == Phase::kPaging ? CallKind::kPage : CallKind::kNews, outcome);
}

// Once too many calls in a row broke, the attempt is given up. One that is being given up already waits for
// the timer by which its engine will have dropped it.
void Reducer::ask_again(QueryId id, std::size_t n, CallKind kind, OutcomeKind else_as) {
  AttemptState& a = attempt_at(id, n);
  if (a.broken >= bounds_.broken_most) return give_up(id, n, else_as);
  ++a.broken;
  ++counters_.asked_again;
  call(id, n, kind);
}

// Guards against two attempts at once: an attempt that is given up is out until its engine has heard of it
// or has dropped the query by itself. Its outcome is told then, or when the query's time ends.
void Reducer::give_up(QueryId id, std::size_t n, OutcomeKind as) {
  AttemptState& a = attempt_at(id, n);
  if (a.phase == Phase::kGivingUp || a.phase == Phase::kOver) return;
  a.given_up_as = as;
  const bool paging = a.phase == Phase::kPaging;  // it has ended at the engine
  if (a.call != 0) emit(DropCall{a.call});
  if (paging) {
    return conclude(id, n, as);
  }
  a.phase = Phase::kGivingUp;
  a.broken = 0;
  if (now_ >= queries_.at(id).deadline) finish(id, n, as);
  set_timer_for(TimerKind::kForgotten, now_ + bounds_.forgotten + bounds_.news_hold, id, n);
  if (a.call == 0) call(id, n, CallKind::kGiveUp);
}

// The call that was dropped has ended; unless nothing can be there, the engine is told to stop.
void Reducer::stopped_asking(QueryId id, std::size_t n, ConnectionEnd end) {
  AttemptState& a = attempt_at(id, n);
  if (a.started && end != ConnectionEnd::kRefused) return call(id, n, CallKind::kGiveUp);
  conclude(id, n, a.given_up_as);
}

// An answer that began, readable or not, says that the call came whole.
void Reducer::give_up_broke(QueryId id, std::size_t n, ConnectionEnd end) {
  AttemptState& a = attempt_at(id, n);
  const bool heard = end == ConnectionEnd::kUnreadable || end == ConnectionEnd::kClosedMidAnswer ||
                     end == ConnectionEnd::kResetMidAnswer;
  if (heard || end == ConnectionEnd::kRefused) return conclude(id, n, a.given_up_as);
  ask_again(id, n, CallKind::kGiveUp, a.given_up_as);
}

void Reducer::stop_due(QueryId id, std::size_t n) {
  AttemptState& a = attempt_at(id, n);
  if (a.phase == Phase::kOver) return;
  if (a.phase != Phase::kGivingUp) return give_up(id, n, OutcomeKind::kTimeout);
  if (now_ >= queries_.at(id).deadline) finish(id, n, a.given_up_as);
}

void Reducer::forgotten_due(QueryId id, std::size_t n) {
  AttemptState& a = attempt_at(id, n);
  if (a.phase != Phase::kGivingUp) return;
  ++counters_.unconfirmed;
  if (a.call != 0) emit(DropCall{a.call});
  conclude(id, n, a.given_up_as);
}

// Guards against a request that gets no final answer, whatever kept the module from giving one.
void Reducer::overdue(QueryId id) {
  const QueryState* query = find_query(id);
  if (query == nullptr || query->ended) return;
  ++counters_.answers_overdue;
  const bool with_module = query->let_in;
  fail_because(id, "its time is over");
  if (with_module) module_->on_client_gone(now_, id, *this);
}

// Guards against a request that the end of the process leaves without an answer.
void Reducer::shut_down(QueryId id) {
  const QueryState* query = find_query(id);
  if (query == nullptr || query->ended) return;
  const bool with_module = query->let_in;
  if (may_refuse(*query)) {
    turn_away(id, Reason::kShutDown, longest_advice());
  } else {
    fail_because(id, "the gateway shuts down");
  }
  if (with_module) module_->on_client_gone(now_, id, *this);
}

// --- An attempt's end -------------------------------------------------------------------------------------

// Nothing of it is at its engine any more.
void Reducer::conclude(QueryId id, std::size_t n, OutcomeKind kind) {
  AttemptState& a = attempt_at(id, n);
  a.phase = Phase::kOver;
  a.ran = a.started && kind != OutcomeKind::kFull;
  a.unsent = !a.started && never_sent(kind);
  // Guards against pages of an attempt that was given up staying for as long as its query waits: a pool full
  // of them stops all reading.
  if (kind != OutcomeKind::kOk) a.rows.clear();
  if (a.serial > 0) emit(CloseConnection{a.serial});
  touched_.push_back(id);
  finish(id, n, kind);
}

void Reducer::finish(QueryId id, std::size_t n, OutcomeKind kind) {
  AttemptState& a = attempt_at(id, n);
  if (a.told) return;
  a.told = true;
  pending_.push_back({id, n, kind});
}

// Outcomes are told after the event in which they arose: the module is never called from within itself.
void Reducer::deliver_pending() {
  while (!pending_.empty()) {
    const PendingOutcome next = pending_.front();
    pending_.pop_front();
    deliver(next);
  }
}

void Reducer::deliver(const PendingOutcome& pending) {
  QueryState& query = queries_.at(pending.query);
  AttemptState& a = query.attempts[pending.attempt];
  ++counters_.outcomes[static_cast<std::size_t>(pending.kind)];
  Outcome outcome;
  outcome.query = pending.query;
  outcome.attempt = static_cast<int>(pending.attempt);
  outcome.engine = a.engine;
  outcome.kind = pending.kind;
  outcome.latency = now_ - a.sent_at;
  outcome.ended = query.ended || pending.kind == OutcomeKind::kOk;
  if (pending.kind == OutcomeKind::kOk && settings_.tells_cost) {
    outcome.told_cost = a.told_cost;
    outcome.told_memory_mb = a.told_memory_mb;
  }
  const ClassSettings& c = class_of(query);
  const TimeUs expected = query.request.cost_estimate / c.threads;
  if (pending.kind == OutcomeKind::kOk && expected > 0 && levels_.on() && !c.load)
    levels_.meters()->attempt(now_, a.engine,
                              static_cast<double>(outcome.latency) / static_cast<double>(expected));
  if (pending.kind == OutcomeKind::kOk && !query.ended) {
    const double aim = static_cast<double>(c.aim) + c.aim_stretch * static_cast<double>(expected);
    note_answered(query, static_cast<double>(now_ - query.taken_at) > aim);
    ++counters_.served;
    if (trace_) trace_answered(pending.query, "served", query);
    emit(AnswerServed{query.client, query.tag, std::move(a.rows)});
    end(query);
  }
  touched_.push_back(pending.query);
  limiter_.attempt_ended(now_, pending.query, pending.kind, outcome.latency, expected);
  if (trace_) trace_ended(outcome, query);
  module_->on_outcome(now_, outcome, *this);
}

// State dies with its query: once it is answered and no attempt of it is anywhere.
void Reducer::forget_what_is_over() {
  for (const QueryId id : touched_) {
    const auto it = queries_.find(id);
    if (it == queries_.end() || !it->second.ended) continue;
    const auto& attempts = it->second.attempts;
    const bool over = std::all_of(attempts.begin(), attempts.end(),
                                  [](const AttemptState& a) { return a.phase == Phase::kOver && a.told; });
    if (!over) continue;
    limiter_.over(now_, id);
    if (keys_) free_key(id, it->second);
    held_bytes_ -= it->second.request.statement.size();
    references_.erase(it->second.request.reference);
    queries_.erase(it);
  }
  touched_.clear();
}

}  // namespace orchidgw::core
