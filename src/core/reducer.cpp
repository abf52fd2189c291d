#include "core/reducer.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

#include "core/table_group.h"

namespace orchidgw::core {

Reducer::Reducer(const Settings& settings, std::uint64_t seed, metrics::Counters& counters,
                 ProtocolBounds bounds)
    : settings_(settings),
      counters_(counters),
      bounds_(bounds),
      module_(make_workload_budget(settings, seed)),
      query_shares_(bounds.max_open_queries),
      reference_history_(bounds.max_remembered_references),
      key_history_(bounds.max_remembered_keys),
      limiter_(settings, seed) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i)
    class_indexes_[settings_.classes[i].name] = static_cast<int>(i);
}

std::vector<SideEffect> Reducer::apply(TimeUs now, Event event) {
  now_ = std::max(now_, now);
  effects_.clear();
  std::visit([this](auto& e) { on(e); }, event);
  deliver_pending_outcomes();
  erase_finished_queries();
  release_waiting_queries();
  counters_.open_queries.set(queries_.size());
  counters_.waiting_queries.set(limiter_.waiting());
  counters_.open_calls.set(calls_.size());
  return std::move(effects_);
}

void Reducer::on(EnginesChanged& event) {
  ++counters_.list_changes;
  if (event.kind != ListKind::kDelta) engines_.clear();
  std::vector<EngineEntry> entries;
  for (const EngineListing& listing : event.engines) {
    entries.push_back(listing.entry);
    if (listing.entry.state == EngineState::kGone) {
      engines_.erase(listing.entry.id);
    } else {
      engines_[listing.entry.id] = listing;
    }
  }
  for (const EngineId& id : remove_replaced_engines(event.engines)) {
    std::erase_if(entries, [&](const EngineEntry& entry) { return entry.id == id; });
    if (event.kind != ListKind::kDelta) continue;
    EngineEntry& gone = entries.emplace_back();
    gone.id = id;
    gone.state = EngineState::kGone;
  }
  engine_list_known_ = true;
  if (levels_.has_levels()) update_level_engines();
  withdraw_from_leaving_engines();
  module_->on_engines(now_, event.kind, entries, *this);
}

// Removes engines at whose address a later one is in service: no process of theirs is left there. Guards
// against work that is meant for the earlier process and reaches the new one, which may still be cold, where
// the end of the earlier one is told late or never. Of two that are told together the one that started later
// counts.
std::vector<EngineId> Reducer::remove_replaced_engines(const std::vector<EngineListing>& listings) {
  std::map<std::pair<std::string, std::uint16_t>, const EngineEntry*> latest;
  for (const EngineListing& listing : listings) {
    if (listing.entry.state != EngineState::kInService || listing.address.host.empty()) continue;
    const EngineEntry*& entry = latest[{listing.address.host, listing.address.port}];
    if (entry == nullptr || listing.entry.started_at >= entry->started_at) entry = &listing.entry;
  }
  std::vector<EngineId> replaced;
  for (const auto& [id, listing] : engines_) {
    const auto found = latest.find({listing.address.host, listing.address.port});
    if (found != latest.end() && found->second->id != id) replaced.push_back(id);
  }
  for (const EngineId& id : replaced) engines_.erase(id);
  return replaced;
}

// Withdraws starts whose first byte is not sent yet from engines that are draining or gone. Such a start was
// chosen before the drain was announced and may still be waiting for a slow connection, a descriptor or the
// hold on its key; without this it would reach the engine long after the announcement.
void Reducer::withdraw_from_leaving_engines() {
  for (auto& [id, query] : queries_) {
    for (const AttemptState& attempt : query.attempts) {
      if (attempt.phase != Phase::kRunning) continue;
      const auto it = engines_.find(attempt.engine);
      if (it == engines_.end() || it->second.entry.state != EngineState::kInService)
        withdraw_unsent_start(attempt);
    }
  }
}

void Reducer::withdraw_unsent_start(const AttemptState& attempt) {
  const bool starting =
      attempt.phase == Phase::kRunning && attempt.open_call != 0 && attempt.call_kind == CallKind::kStart;
  if (starting) emit(WithdrawCall{attempt.open_call});
}

void Reducer::on(RequestArrived& event) {
  const auto reject = [&](const char* why) {
    ++counters_.rejected;
    emit(AnswerRejected{event.client, event.tag, why});
  };
  if (open_requests_.count({event.client, event.tag}) > 0) return reject("sequence number is in use");
  if (open_requests_of(event.client) >= bounds_.max_open_requests_per_client)
    return reject("too many open requests");
  const auto unusable = [&](const std::string& why) {
    ++counters_.rejected;
    emit(AnswerFailed{event.client, event.tag, why, true});
  };
  if (event.discarded) return fail_discarded(event);
  if (!event.request) return unusable(event.why);
  const auto known = class_indexes_.find(event.request->class_name);
  if (known == class_indexes_.end()) return unusable("unknown class");
  const ClassSettings& query_class = settings_.classes[static_cast<std::size_t>(known->second)];
  if (const std::string fault = validation_error(*event.request, query_class); !fault.empty())
    return unusable(fault);
  if (!engine_list_known_) return unusable("not ready");
  accept_request(event, known->second);
}

// The request is failed and not refused, because its key is not known: an earlier try under it may have run.
void Reducer::fail_discarded(const RequestArrived& event) {
  ++counters_.accepted_queries;
  ++counters_.failed;
  ++counters_.discarded;
  emit(AnswerFailed{event.client, event.tag, "no memory for the request", false});
}

// Finds requests that no engine can run: an engine answers them with an error, which says nothing about the
// engine but would count against it. Also finds a second open query under the same reference, since giving up
// one of the two would end the other at the engine.
std::string Reducer::validation_error(const ClientRequest& request, const ClassSettings& query_class) {
  const auto same_name = [&](const TenantSettings& t) { return t.name == request.tenant; };
  if (!settings_.tenants.empty() &&
      std::none_of(settings_.tenants.begin(), settings_.tenants.end(), same_name))
    return "unknown tenant";
  if (query_class.effect == Effect::kDeduplicated && request.idempotency_key.empty())
    return "the class needs a key";
  if (request.statement.empty()) return "no statement";
  if (request.time_budget > 2 * query_class.deadline) return "the time is out of range";
  double cores = 1;
  double memory_mb = 0;
  for (const KindSettings& kind : settings_.kinds) {
    cores = std::max<double>(cores, kind.cores);
    memory_mb = std::max(memory_mb, kind.memory_mb);
  }
  // The upper bounds are what the largest engine can do alone within the class deadline, and its memory.
  if (static_cast<double>(request.cost_estimate) > cores * static_cast<double>(query_class.deadline))
    return "the work is out of range";
  if (memory_mb > 0 && request.memory_mb > memory_mb) return "the memory is out of range";
  if (references_.count(request.reference) > 0) return "the reference is in use";
  if (query_class.effect != Effect::kIdempotent && reference_history_.contains(now_, request.reference))
    return "the reference was used before";
  return "";
}

void Reducer::accept_request(RequestArrived& event, int class_index) {
  // Guards against memory that fills with open queries, at the cost of those clients alone that have many.
  const bool has_room = query_shares_.admits(event.client, queries_.size());
  const QueryId id = new_query_id();
  QueryState& query = queries_[id];
  query.id = id;
  query.client = event.client;
  query.tag = event.tag;
  query.request = std::move(*event.request);
  const TableUse use = table_use_of(query.request.statement);
  query.accepted_at = now_;
  query.class_index = class_index;
  query.table_group = use.group;
  statement_bytes_ += query.request.statement.size();
  references_.insert(query.request.reference);
  open_requests_[{event.client, event.tag}] = id;
  query_shares_.add(event.client);
  ++counters_.accepted_queries;
  queries_to_check_.push_back(id);
  if (class_of(query).effect == Effect::kDeduplicated && !passes_key_history(id)) return;
  if (class_of(query).effect != Effect::kIdempotent && !passes_reference_history(id)) return;
  if (key_lookup_ && !passes_key_check(id)) return;
  // Guards against answers after the client's time: the request may have waited unread, while this process
  // was stalled or memory was short.
  if (event.arrived_at > 0) query.request.time_budget -= std::max<TimeUs>(now_ - event.arrived_at, 0);
  if (query.request.time_budget <= 0) return refuse_request(id, Reason::kOutOfTime, longest_retry_after());
  // During a shutdown the time budget ends with the shutdown, and a request that arrives later is refused, so
  // that none is left without an answer.
  query.request.time_budget = std::min(query.request.time_budget, shutdown_answer_by_ - now_);
  if (query.request.time_budget <= 0) return refuse_request(id, Reason::kShutDown, longest_retry_after());
  if (event.refusal_reason != Reason::kNone)
    return refuse_request(id, event.refusal_reason, longest_retry_after());
  if (!has_room) return refuse_request(id, Reason::kQueriesFull, longest_retry_after());
  const ClientRequest& r = query.request;
  if (levels_.has_levels()) {
    levels_.meters()->query_arrived(now_, r.class_name, r.tenant);
    query.deadline = now_ + r.time_budget;
    if (levels_.shedding_level(to_shed_query(query)) != nullptr) return shed(id);
  }
  const limits::Verdict verdict =
      limiter_.admit(now_, {id, class_index, r.tenant, use.table, !r.idempotency_key.empty(), r.time_budget});
  query.deadline = now_ + limiter_.effective_timeout(id, r.time_budget);
  set_final_answer_timer(id, now_ + r.time_budget + bounds_.final_answer_grace);
  apply_verdict(id, verdict);
}

void Reducer::set_final_answer_timer(QueryId id, TimeUs due) {
  const bool shut_down_before = shutdown_answer_by_ < due;
  const TimerKind kind = shut_down_before ? TimerKind::kShutDown : TimerKind::kOverdue;
  schedule_timer(kind, std::min(due, shutdown_answer_by_), id, 0);
}

std::string Reducer::identity_of(const QueryState& query) const {
  const ClassSettings& query_class = class_of(query);
  if (query_class.effect == Effect::kIdempotent) return "";
  const bool keyed = query_class.effect == Effect::kDeduplicated && !query.request.idempotency_key.empty();
  return keyed ? "key " + query.request.idempotency_key : "reference " + query.request.reference;
}

// Prevents a second run of a query that an earlier try of this process may have run, after the time in which
// engines recognise the repeat.
bool Reducer::passes_key_history(QueryId id) {
  QueryState& query = queries_.at(id);
  query.key_starts = key_history_.open(now_, query.request.idempotency_key, query.client);
  if (!query.key_starts) {
    refuse_request(id, Reason::kKeysFull, longest_retry_after());
    return false;
  }
  const auto earlier = earlier_try_of(query);
  if (!earlier || now_ < repeat_window_end(class_of(query), std::span(&*earlier, 1))) return true;
  fail_request(id, "an earlier try may have run");
  return false;
}

bool Reducer::passes_reference_history(QueryId id) {
  QueryState& query = queries_.at(id);
  query.in_reference_history = reference_history_.open(now_, query.client);
  if (!query.in_reference_history) refuse_request(id, Reason::kKeysFull, longest_retry_after());
  return query.in_reference_history;
}

void Reducer::close_reference(const QueryState& query) {
  if (!query.in_reference_history) return;
  const bool may_have_run = std::any_of(query.attempts.begin(), query.attempts.end(),
                                        [](const AttemptState& attempt) { return attempt.may_have_run; });
  std::optional<TimeUs> until;
  if (may_have_run) until = now_ + key_retention_of(class_of(query));
  reference_history_.close(query.client, query.request.reference, until);
}

std::optional<EarlierAttempt> Reducer::earlier_try_of(const QueryState& query) const {
  return orchidgw::earlier_try_of(query.id, query.key_starts.get());
}

// Prevents a second run of a query that an earlier process sent without seeing its end. Such a query is
// failed without an attempt; it is not refused, because a refusal tells the client that a retry is harmless.
bool Reducer::passes_key_check(QueryId id) {
  const std::string identity = identity_of(queries_.at(id));
  if (identity.empty()) return true;
  switch (key_lookup_(identity)) {
    case KeyStatus::kNew:
      return true;
    case KeyStatus::kMayHaveRun:
      fail_request(id, "it may have run before this controller's start");
      return false;
    case KeyStatus::kUnavailable:
      refuse_request(id, Reason::kIntentNotStored, longest_retry_after());
      return false;
  }
  return true;
}

// The start was not sent, and a further attempt would not be sent either, so the client is answered at once.
// If another controller holds the key, or an earlier attempt of this query may have run, the request is
// failed and not refused, since the query may have run. The attempt's outcome is kNotSent: an engine must not
// be judged faulty because of the fleet's keepers or a local disk.
void Reducer::handle_blocked_start(QueryId id, std::size_t attempt_index, ConnectionEnd end) {
  conclude(id, attempt_index, OutcomeKind::kNotSent);
  const auto& attempts = queries_.at(id).attempts;
  const bool may_have_run = std::any_of(attempts.begin(), attempts.end(),
                                        [](const AttemptState& attempt) { return attempt.may_have_run; });
  if (end == ConnectionEnd::kKeyHeld) {
    fail_request(id, "it may have run by another controller");
  } else if (may_have_run) {
    fail_request(id, "another attempt may have run");
  } else {
    refuse_request(id, Reason::kIntentNotStored, longest_retry_after());
  }
  module_->on_client_gone(now_, id, *this);
}

// Frees the key of a query of which no attempt ran. Otherwise a client that was refused here would be refused
// by other controllers too, because of a key that is held for nothing.
void Reducer::release_key(QueryId id, const QueryState& query) {
  const std::string identity = identity_of(query);
  bool sent = false;
  for (const AttemptState& attempt : query.attempts) {
    if (attempt.may_have_run) return;
    sent = sent || attempt.adapter_id > 0;
  }
  if (sent && !identity.empty()) emit(ReleaseKey{id, identity});
}

// Carries out the limiter's verdict on a new query, or on one whose wait is over.
void Reducer::apply_verdict(QueryId id, const limits::Verdict& verdict) {
  switch (verdict.kind) {
    case limits::Verdict::Kind::kAdmit:
      return pass_to_module(id);
    case limits::Verdict::Kind::kWait:
      if (trace_enabled_) trace_answered(id, "waits", queries_.at(id));
      return;
    case limits::Verdict::Kind::kRefuse:  // never sent, so a refusal is always safe
      return refuse_request(id, verdict.reason, verdict.retry_after);
  }
}

void Reducer::pass_to_module(QueryId id) {
  QueryState& query = queries_.at(id);
  query.admitted = true;
  Query module_query;
  module_query.id = id;
  module_query.tenant = query.request.tenant;
  module_query.class_index = query.class_index;
  module_query.table_group = query.table_group;
  module_query.time_budget = query.deadline - now_;
  module_query.memory_mb = query.request.memory_mb;
  module_query.cost_estimate = query.request.cost_estimate;
  module_query.is_retry = query.request.is_retry;
  module_query.waited = now_ - query.accepted_at;
  module_query.key_starts = query.key_starts;
  module_query.limits =
      levels_.wrap_query_limits(limiter_.query_limits(id), query.request.tenant, query.accepted_at);
  if (trace_enabled_) trace_accepted(module_query, query);
  module_->on_query(now_, module_query, *this);
}

// Admits or answers the queries one at a time: capacity that one frees may go to the next.
void Reducer::release_waiting_queries() {
  while (const auto release = limiter_.next_ended_wait(now_)) {
    queries_to_check_.push_back(release->id);
    apply_verdict(release->id, release->verdict);
    deliver_pending_outcomes();
    erase_finished_queries();
  }
}

void Reducer::on(LimitsChanged& event) {
  levels_.activate(now_, std::move(event.levels));
  if (event.set) limiter_.activate(now_, std::move(event.set));
  limiter_.set_scale(now_, levels_.limits_scale());
  if (levels_.has_levels()) update_level_engines();
  if (!levels_.has_levels() || sample_timer_set_) return;
  sample_timer_set_ = true;
  schedule_timer(TimerKind::kLevelSample, now_ + service_level::kSampleInterval, 0, 0);
}

void Reducer::on(LevelOverridden& event) { levels_.override_level(event.level, event.until); }

void Reducer::on(FleetShareChanged& event) {
  ++counters_.fleet_shares;
  limiter_.set_fleet_limits(now_, std::move(event.limits));
  module_->on_share(now_, event.module, *this);
}

// Open requests that would have time beyond `answer_by` are answered at that time.
void Reducer::on(ShutdownBegun& event) {
  shutdown_answer_by_ = std::min(shutdown_answer_by_, event.answer_by);
  for (const auto& [key, id] : open_requests_)
    schedule_timer(TimerKind::kShutDown, shutdown_answer_by_, id, 0);
}

double Reducer::cores() const {
  double sum = 0;
  for (const auto& [id, listing] : engines_) {
    if (listing.entry.state != EngineState::kInService) continue;
    for (const KindSettings& kind : settings_.kinds)
      if (kind.name == listing.entry.kind) sum += kind.cores;
  }
  return sum;
}

void Reducer::on(TimePassed&) {
  std::vector<std::pair<TimeUs, Timer>> due;  // a timer set while these fire waits for the next TimePassed
  while (auto timer = timers_.pop_due(now_)) due.push_back(*timer);
  // One call of the module does all that is due under a token; each may go through all of its queries.
  std::set<std::uint64_t> fired_tokens;
  for (const auto& [at, timer] : due) {
    if (timer.kind == TimerKind::kModule) {
      counters_.timer_lateness.add(now_ - at);
      if (fired_tokens.insert(timer.token).second) module_->on_timer(now_, timer.token, *this);
    } else if (timer.kind == TimerKind::kLevelSample) {
      sample_signals(at);
    } else if (find_query(timer.query) == nullptr) {
      continue;
    } else if (timer.kind == TimerKind::kOverdue) {
      fail_overdue(timer.query);
    } else if (timer.kind == TimerKind::kShutDown) {
      answer_for_shutdown(timer.query);
    } else if (timer.kind == TimerKind::kAttemptStop) {
      handle_stop_timer(timer.query, timer.attempt_index);
    } else {
      handle_retention_timer(timer.query, timer.attempt_index);
    }
    deliver_pending_outcomes();
  }
}

void Reducer::schedule_timer(TimerKind kind, TimeUs due, QueryId id, std::size_t attempt_index) {
  timers_.set(due, Timer{kind, 0, id, attempt_index});
}

void Reducer::send(QueryId id, const EngineId& engine, TimeUs stop_at) {
  QueryState* query = find_query(id);
  if (query == nullptr) return;
  const std::size_t attempt_index = query->attempts.size();
  AttemptState& attempt = query->attempts.emplace_back();
  attempt.engine = engine;
  attempt.sent_at = now_;
  attempt.stop_at = stop_at <= 0 ? query->deadline : std::min(stop_at, query->deadline);
  const auto it = engines_.find(engine);
  if (query->ended) return conclude(id, attempt_index, OutcomeKind::kNotSent);
  if (it == engines_.end()) return conclude(id, attempt_index, OutcomeKind::kConnectFailed);
  attempt.zone = it->second.entry.zone;
  attempt.cell = it->second.entry.cell;
  if (const Denial denial = start_denied(*query, attempt_index, now_); denial != Denial::kNone) {
    record_violation(denial, *query);
    return conclude(id, attempt_index, OutcomeKind::kNotSent);
  }
  ++counters_.sent;
  limiter_.attempt_sent(now_, id);
  attempt.adapter_id = ++last_attempt_;
  attempt.last_answer_at = now_;
  attempt.address = it->second.address;
  if (query->key_starts) query->key_starts->add(id, static_cast<int>(attempt_index), now_, it->second.entry);
  schedule_timer(TimerKind::kAttemptStop, attempt.stop_at, id, attempt_index);
  if (trace_enabled_) trace_sent(id, attempt_index, *query);
  send_call(id, attempt_index, CallKind::kStart);
}

EarlierAttempt Reducer::to_earlier_attempt(const AttemptState& attempt) {
  const bool in_flight = attempt.phase != Phase::kConcluded;
  return {attempt.sent_at, in_flight,    in_flight || attempt.may_have_run,
          attempt.zone,    attempt.cell, attempt.unsent};
}

// Checks the attempt at `attempt_index`; all other attempts of its query count as earlier ones.
Denial Reducer::start_denied(const QueryState& query, std::size_t attempt_index, TimeUs now) const {
  const AttemptState& attempt = query.attempts[attempt_index];
  std::vector<EarlierAttempt> others;
  for (std::size_t i = 0; i < query.attempts.size(); ++i)
    if (i != attempt_index) others.push_back(to_earlier_attempt(query.attempts[i]));
  const auto engine = engines_.find(attempt.engine);
  const EngineEntry* to = engine == engines_.end() ? nullptr : &engine->second.entry;
  const StartRequest start{class_of(query),      to, query.ended, attempt.stop_at, settings_.limits,
                           earlier_try_of(query)};
  return orchidgw::start_denied(start, others, now);
}

// Checks again at the first byte, because a start may have become forbidden since it was chosen: it can wait
// for a slow connection, a descriptor, the hold on its key or a stored intent, or for this process to be
// scheduled again.
Denial Reducer::start_denied(TimeUs now, CallId call) {
  const auto owner = calls_.find(call);
  const QueryState* query = owner == calls_.end() ? nullptr : find_query(owner->second.query);
  Denial denial = Denial::kQueryOver;
  if (query != nullptr && query->attempts[owner->second.attempt_index].phase == Phase::kRunning)
    denial = start_denied(*query, owner->second.attempt_index, std::max(now, now_));
  if (denial != Denial::kNone) ++counters_.starts_denied[static_cast<std::size_t>(denial)];
  return denial;
}

bool Reducer::attempts_allow_refusal(const QueryState& query) const {
  return std::all_of(query.attempts.begin(), query.attempts.end(), [&](const AttemptState& attempt) {
    return refusal_denied(class_of(query), to_earlier_attempt(attempt), now_) == Denial::kNone;
  });
}

bool Reducer::earlier_try_allows_refusal(const QueryState& query) const {
  const auto earlier = earlier_try_of(query);
  return !earlier || refusal_denied(class_of(query), *earlier, now_) == Denial::kNone;
}

void Reducer::record_violation(Denial denial, const QueryState& query) {
  ++counters_.violations[static_cast<std::size_t>(denial)];
  emit(LogText{log::Level::kError, std::string("not done, as it is not allowed: ") +
                                       orchidgw::name_of(denial) + " for request " + query.request.reference +
                                       " of class " + query.request.class_name});
}

void Reducer::refuse(QueryId id, TimeUs retry_after) {
  const Reason retry_denial_reason = limiter_.retry_denial_reason(id);
  refuse_request(id, retry_denial_reason == Reason::kNone ? Reason::kDecision : retry_denial_reason,
                 retry_after);
}

void Reducer::refuse_request(QueryId id, Reason reason, TimeUs retry_after) {
  QueryState* query = find_query(id);
  if (query == nullptr || query->ended) return;
  if (!attempts_allow_refusal(*query)) {
    record_violation(Denial::kMayHaveRun, *query);
    return fail_request(id, "an attempt may have run");
  }
  if (!earlier_try_allows_refusal(*query)) return fail_request(id, "an earlier try may have run");
  ++counters_.refused;
  ++counters_.refusals[static_cast<std::size_t>(reason)];
  if (levels_.has_levels() && reason != Reason::kShed)
    levels_.meters()->query_refused(now_, query->request.class_name, query->request.tenant);
  if (trace_enabled_) trace_answered(id, name_of(reason), *query);
  emit(AnswerRefused{query->client, query->tag, retry_after});
  end_request(*query);
  queries_to_check_.push_back(id);
}

void Reducer::fail(QueryId id) { fail_request(id, ""); }

void Reducer::fail_request(QueryId id, const std::string& why) {
  QueryState* query = find_query(id);
  if (query == nullptr || query->ended) return;
  ++counters_.failed;
  record_answer(*query, true);
  if (trace_enabled_) trace_answered(id, "failed", *query);
  emit(AnswerFailed{query->client, query->tag, why});
  end_request(*query);
  queries_to_check_.push_back(id);
}

void Reducer::cancel(QueryId id, int attempt) {
  QueryState* query = find_query(id);
  if (query == nullptr || attempt < 0 || static_cast<std::size_t>(attempt) >= query->attempts.size()) return;
  give_up(id, static_cast<std::size_t>(attempt), OutcomeKind::kCancelled);
}

void Reducer::set_priority_and_grant(QueryId id, int priority, double grant_mb) {
  QueryState* query = find_query(id);
  if (query == nullptr) return;
  const service_level::CombinedEffects level = levels_.effects_for(query->request.tenant);
  const int shifted = std::clamp(priority + level.priority, 0, 3);
  const bool changed = query->priority != shifted;
  query->priority = shifted;
  query->grant_mb = level.grants < 1 ? std::floor(grant_mb * level.grants) : grant_mb;
  for (std::size_t attempt_index = 0; changed && attempt_index < query->attempts.size(); ++attempt_index) {
    if (query->attempts[attempt_index].phase == Phase::kRunning)
      send_call(id, attempt_index, CallKind::kPriority);
  }
}

void Reducer::probe(const EngineId&) {
  emit(LogText{log::Level::kDebug, "probe ignored: engines can't be probed"});
}

void Reducer::subscribe() {}  // the change log is followed from the start of the process

void Reducer::fetch_list() {}

void Reducer::broadcast_to_peers(const std::string&) {
  emit(LogText{log::Level::kDebug, "message to peers ignored: controllers can't exchange messages"});
}

void Reducer::set_timer(TimeUs delay, std::uint64_t token) {
  timers_.set(now_ + std::max<TimeUs>(delay, 0), Timer{TimerKind::kModule, token, 0, 0});
}

void Reducer::log(const std::string& text) { emit(LogText{log::Level::kDebug, text}); }

std::optional<TimeUs> Reducer::next_due() const {
  const auto timer = timers_.next_due();
  const auto limit = limiter_.next_due();
  return timer && limit ? std::min(*timer, *limit) : timer ? timer : limit;
}

std::size_t Reducer::open_requests_of(ClientId client) const {
  const auto [first, last] = open_request_range(client);
  return static_cast<std::size_t>(std::distance(first, last));
}

Reducer::OpenRequestRange Reducer::open_request_range(ClientId client) const {
  constexpr RequestTag kLeast = std::numeric_limits<RequestTag>::min();
  return {open_requests_.lower_bound({client, kLeast}), open_requests_.lower_bound({client + 1, kLeast})};
}

Reducer::QueryState* Reducer::find_query(QueryId id) {
  const auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : &it->second;
}

Reducer::AttemptState& Reducer::attempt_at(QueryId id, std::size_t attempt_index) {
  return queries_.at(id).attempts[attempt_index];
}

QueryId Reducer::new_query_id() {
  do {
    ++last_query_;
  } while (last_query_ == 0 || queries_.count(last_query_) > 0);
  return last_query_;
}

}  // namespace orchidgw::core
