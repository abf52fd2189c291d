#include "core/reducer.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include "core/table_group.h"

namespace orchidgw::core {

Reducer::Reducer(const Settings& settings, std::uint64_t seed, metrics::Counters& counters,
                 ProtocolBounds bounds)
    : settings_(settings),
      counters_(counters),
      bounds_(bounds),
      module_(make_workload_budget(settings, seed)),
      limiter_(settings, seed) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i)
    classes_[settings_.classes[i].name] = static_cast<int>(i);
}

std::vector<SideEffect> Reducer::apply(TimeUs now, Event event) {
  now_ = std::max(now_, now);
  effects_.clear();
  std::visit([this](auto& e) { on(e); }, event);
  deliver_pending();
  forget_what_is_over();
  release_those_due();
  counters_.open_queries.set(queries_.size());
  counters_.waiting_queries.set(limiter_.waiting());
  counters_.open_calls.set(calls_.size());
  return std::move(effects_);
}

// --- Engine list ------------------------------------------------------------------------------------------

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
  list_known_ = true;
  if (levels_.on()) tell_levels_of_engines();
  withdraw_from_those_leaving();
  module_->on_engines(now_, event.kind, entries, *this);
}

// Guards against a first byte that goes out long after its engine's drain was told: chosen before, it waits
// for a connection that is slow to come up, for a descriptor, or for a promise.
void Reducer::withdraw_from_those_leaving() {
  for (auto& [id, query] : queries_) {
    for (const AttemptState& a : query.attempts) {
      if (a.phase != Phase::kRunning) continue;
      const auto it = engines_.find(a.engine);
      if (it == engines_.end() || it->second.entry.state != EngineState::kInService) withdraw_unsent(a);
    }
  }
}

void Reducer::withdraw_unsent(const AttemptState& a) {
  const bool starting = a.phase == Phase::kRunning && a.call != 0 && a.call_kind == CallKind::kStart;
  if (starting) emit(WithdrawCall{a.call});
}

// --- Clients ----------------------------------------------------------------------------------------------

void Reducer::on(RequestArrived& event) {
  const auto reject = [&](const char* why) {
    ++counters_.rejected;
    emit(AnswerRejected{event.client, event.tag, why});
  };
  if (open_.count({event.client, event.tag}) > 0) return reject("sequence number is in use");
  if (open_requests_of(event.client) >= bounds_.open_per_client) return reject("too many open requests");
  const auto unusable = [&](const std::string& why) {
    ++counters_.rejected;
    emit(AnswerFailed{event.client, event.tag, why, true});
  };
  if (!event.request) return unusable(event.why);
  const auto known = classes_.find(event.request->class_name);
  if (known == classes_.end()) return unusable("unknown class");
  const ClassSettings& c = settings_.classes[static_cast<std::size_t>(known->second)];
  if (const std::string fault = fault_of(*event.request, c); !fault.empty()) return unusable(fault);
  if (!list_known_) return unusable("not ready");
  take(event, known->second);
}

// Guards against requests that engines can't use: they answer an error, which says nothing of the engine; and
// against two queries under one reference, of which giving up one would end the other.
std::string Reducer::fault_of(const ClientRequest& request, const ClassSettings& c) const {
  const auto same_name = [&](const TenantSettings& t) { return t.name == request.tenant; };
  if (!settings_.tenants.empty() &&
      std::none_of(settings_.tenants.begin(), settings_.tenants.end(), same_name))
    return "unknown tenant";
  if (c.effect == Effect::kDeduplicated && request.idempotency_key.empty()) return "the class needs a key";
  if (request.statement.empty()) return "no statement";
  if (request.time_budget > 2 * c.deadline) return "the time is out of range";
  double cores = 1;
  double memory_mb = 0;
  for (const KindSettings& kind : settings_.kinds) {
    cores = std::max<double>(cores, kind.cores);
    memory_mb = std::max(memory_mb, kind.memory_mb);
  }
  // More than the largest engine does by itself in the whole time, or has.
  if (static_cast<double>(request.cost_estimate) > cores * static_cast<double>(c.deadline))
    return "the work is out of range";
  if (memory_mb > 0 && request.memory_mb > memory_mb) return "the memory is out of range";
  if (references_.count(request.reference) > 0) return "the reference is in use";
  return "";
}

void Reducer::take(RequestArrived& event, int class_index) {
  const QueryId id = new_query_id();
  QueryState& query = queries_[id];
  query.client = event.client;
  query.tag = event.tag;
  query.request = std::move(*event.request);
  const TableUse use = table_use_of(query.request.statement);
  query.taken_at = now_;
  query.class_index = class_index;
  query.table_group = use.group;
  held_bytes_ += query.request.statement.size();
  references_.insert(query.request.reference);
  open_[{event.client, event.tag}] = id;
  ++counters_.taken;
  touched_.push_back(id);
  if (keys_ && !may_be_taken_on(id)) return;
  // Guards against a request that a shutdown leaves unanswered: it has the time until then, or is refused.
  query.request.time_budget = std::min(query.request.time_budget, answer_by_ - now_);
  if (query.request.time_budget <= 0) return turn_away(id, Reason::kShutDown, longest_advice());
  if (event.refuse_as != Reason::kNone) return turn_away(id, event.refuse_as, longest_advice());
  const ClientRequest& r = query.request;
  if (levels_.on()) {
    levels_.meters()->taken(now_, r.class_name, r.tenant);
    query.deadline = now_ + r.time_budget;
    if (levels_.sheds(as_shed_sees(query)) != nullptr) return shed(id);
  }
  const limits::Verdict verdict =
      limiter_.admit(now_, {id, class_index, r.tenant, use.table, !r.idempotency_key.empty(), r.time_budget});
  query.deadline = now_ + limiter_.time_for(id, r.time_budget);
  set_final_answer_timer(id, now_ + r.time_budget + bounds_.overdue_after);
  follow(id, verdict);
}

void Reducer::set_final_answer_timer(QueryId id, TimeUs due) {
  const bool shut_down_before = answer_by_ < due;
  const TimerKind kind = shut_down_before ? TimerKind::kShutDown : TimerKind::kOverdue;
  set_timer_for(kind, std::min(due, answer_by_), id, 0);
}

std::string Reducer::identity_of(const QueryState& query) const {
  const ClassSettings& c = class_of(query);
  if (c.effect == Effect::kIdempotent) return "";
  const bool keyed = c.effect == Effect::kDeduplicated && !query.request.idempotency_key.empty();
  return keyed ? "key " + query.request.idempotency_key : "reference " + query.request.reference;
}

// Guards against a second run of what a process before this one sent and did not see the end of: no refusal,
// which would call another try harmless, and no attempt.
bool Reducer::may_be_taken_on(QueryId id) {
  const std::string identity = identity_of(queries_.at(id));
  if (identity.empty()) return true;
  switch (keys_(identity)) {
    case KeyVerdict::kNew:
      return true;
    case KeyVerdict::kMayHaveRun:
      fail_because(id, "it may have run before this controller's start");
      return false;
    case KeyVerdict::kNoRoom:
      turn_away(id, Reason::kNoIntent, longest_advice());
      return false;
  }
  return true;
}

// It was not sent, and would not be by another attempt: answered at once. A key that rests may have run by
// another controller, as may an earlier attempt of this one: no refusal then. The engine did nothing wrong:
// guards against one that is taken for out of order by what keepers or disks do.
void Reducer::not_promised(QueryId id, std::size_t n, ConnectionEnd end) {
  conclude(id, n, OutcomeKind::kMoot);
  const auto& attempts = queries_.at(id).attempts;
  const bool ran = std::any_of(attempts.begin(), attempts.end(), [](const AttemptState& a) { return a.ran; });
  if (end == ConnectionEnd::kKeyRests) {
    fail_because(id, "it may have run by another controller");
  } else if (ran) {
    fail_because(id, "another attempt may have run");
  } else {
    turn_away(id, Reason::kNoIntent, longest_advice());
  }
  module_->on_client_gone(now_, id, *this);
}

// Guards against a client that is refused here and would be turned away elsewhere, by a key that rests for
// nothing.
void Reducer::free_key(QueryId id, const QueryState& query) {
  const std::string identity = identity_of(query);
  bool sent = false;
  for (const AttemptState& a : query.attempts) {
    if (a.ran) return;
    sent = sent || a.serial > 0;
  }
  if (sent && !identity.empty()) emit(FreeKey{id, identity});
}

// What the limits say of a query that is new, or whose wait is over.
void Reducer::follow(QueryId id, const limits::Verdict& verdict) {
  switch (verdict.kind) {
    case limits::Verdict::Kind::kLetIn:
      return let_in(id);
    case limits::Verdict::Kind::kWait:
      if (trace_) trace_answered(id, "waits", queries_.at(id));
      return;
    case limits::Verdict::Kind::kRefuse:  // never sent: a refusal is always harmless
      return turn_away(id, verdict.reason, verdict.retry_after);
  }
}

void Reducer::let_in(QueryId id) {
  QueryState& query = queries_.at(id);
  query.let_in = true;
  Query q;
  q.id = id;
  q.tenant = query.request.tenant;
  q.class_index = query.class_index;
  q.table_group = query.table_group;
  q.time_budget = query.deadline - now_;
  q.memory_mb = query.request.memory_mb;
  q.cost_estimate = query.request.cost_estimate;
  q.repeat = query.request.repeat;
  q.waited = now_ - query.taken_at;
  q.limits = levels_.over(limiter_.pass_of(id), query.request.tenant, query.taken_at);
  if (trace_) trace_taken(q, query);
  module_->on_query(now_, q, *this);
}

// Each is let in or answered in turn; what one sets free may be the next one's place.
void Reducer::release_those_due() {
  while (const auto release = limiter_.next_release(now_)) {
    touched_.push_back(release->id);
    follow(release->id, release->verdict);
    deliver_pending();
    forget_what_is_over();
  }
}

void Reducer::on(LimitsChanged& event) {
  levels_.put_in_force(now_, std::move(event.levels));
  if (event.set) limiter_.put_in_force(now_, std::move(event.set));
  limiter_.set_scale(now_, levels_.limits_scale());
  if (levels_.on()) tell_levels_of_engines();
  if (!levels_.on() || sampling_) return;
  sampling_ = true;
  set_timer_for(TimerKind::kSample, now_ + service_level::kSampleEvery, 0, 0);
}

void Reducer::on(LevelSet& event) { levels_.set_by_hand(event.level, event.until); }

void Reducer::on(FleetShared& event) {
  ++counters_.fleet_shares;
  limiter_.set_fleet(now_, std::move(event.limits));
  module_->on_share(now_, event.module, *this);
}

// Those that are open and have more time than the shutdown leaves are answered at its end.
void Reducer::on(ShutdownBegun& event) {
  answer_by_ = std::min(answer_by_, event.answer_by);
  for (const auto& [key, id] : open_) set_timer_for(TimerKind::kShutDown, answer_by_, id, 0);
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

// --- Time -------------------------------------------------------------------------------------------------

void Reducer::on(TimePassed&) {
  std::vector<std::pair<TimeUs, Timer>> due;  // a timer set while these fire waits for the next turn
  while (auto timer = timers_.pop_due(now_)) due.push_back(*timer);
  for (const auto& [at, timer] : due) {
    if (timer.kind == TimerKind::kModule) {
      counters_.timers.add(now_ - at);
      module_->on_timer(now_, timer.token, *this);
    } else if (timer.kind == TimerKind::kSample) {
      sample_signals(at);
    } else if (find_query(timer.query) == nullptr) {
      continue;
    } else if (timer.kind == TimerKind::kOverdue) {
      overdue(timer.query);
    } else if (timer.kind == TimerKind::kShutDown) {
      shut_down(timer.query);
    } else if (timer.kind == TimerKind::kStop) {
      stop_due(timer.query, timer.attempt);
    } else {
      forgotten_due(timer.query, timer.attempt);
    }
    deliver_pending();
  }
}

void Reducer::set_timer_for(TimerKind kind, TimeUs due, QueryId id, std::size_t n) {
  timers_.set(due, Timer{kind, 0, id, n});
}

// --- What the module asks for -----------------------------------------------------------------------------

void Reducer::send(QueryId id, const EngineId& engine, TimeUs stop_at) {
  QueryState* query = find_query(id);
  if (query == nullptr) return;
  const std::size_t n = query->attempts.size();
  AttemptState& a = query->attempts.emplace_back();
  a.engine = engine;
  a.sent_at = now_;
  a.stop_at = stop_at <= 0 ? query->deadline : std::min(stop_at, query->deadline);
  const auto it = engines_.find(engine);
  if (query->ended) return conclude(id, n, OutcomeKind::kMoot);
  if (it == engines_.end()) return conclude(id, n, OutcomeKind::kConnectFailed);
  a.zone = it->second.entry.zone;
  a.cell = it->second.entry.cell;
  if (const Denial denial = start_denied(*query, n, now_); denial != Denial::kNone) {
    note_violation(denial, *query);
    return conclude(id, n, OutcomeKind::kMoot);
  }
  ++counters_.sent;
  limiter_.attempt_sent(now_, id);
  a.serial = ++last_attempt_;
  a.heard_at = now_;
  a.address = it->second.address;
  set_timer_for(TimerKind::kStop, a.stop_at, id, n);
  if (trace_) trace_sent(id, n, *query);
  call(id, n, CallKind::kStart);
}

EarlierAttempt Reducer::as_earlier(const AttemptState& attempt) {
  const bool out = attempt.phase != Phase::kOver;
  return {attempt.sent_at, out, out || attempt.ran, attempt.zone, attempt.cell, attempt.unsent};
}

// Of the attempt number `n`, with all others of its query taken for earlier ones.
Denial Reducer::start_denied(const QueryState& query, std::size_t n, TimeUs now) const {
  const AttemptState& a = query.attempts[n];
  std::vector<EarlierAttempt> others;
  for (std::size_t i = 0; i < query.attempts.size(); ++i)
    if (i != n) others.push_back(as_earlier(query.attempts[i]));
  const auto engine = engines_.find(a.engine);
  const EngineEntry* to = engine == engines_.end() ? nullptr : &engine->second.entry;
  return orchidgw::start_denied({class_of(query), to, query.ended, a.stop_at, settings_.limits}, others, now);
}

// Guards against starts that time overtakes on their way: chosen, they wait for a connection that comes up
// late, for a descriptor, for a promise or an intent, or for this process to get its core again.
Denial Reducer::start_denied(TimeUs now, CallId call) {
  const auto owner = calls_.find(call);
  const QueryState* query = owner == calls_.end() ? nullptr : find_query(owner->second.query);
  Denial denial = Denial::kQueryOver;
  if (query != nullptr && query->attempts[owner->second.attempt].phase == Phase::kRunning)
    denial = start_denied(*query, owner->second.attempt, std::max(now, now_));
  if (denial != Denial::kNone) ++counters_.starts_denied[static_cast<std::size_t>(denial)];
  return denial;
}

bool Reducer::may_refuse(const QueryState& query) const {
  return std::all_of(query.attempts.begin(), query.attempts.end(), [&](const AttemptState& attempt) {
    return refusal_denied(class_of(query), as_earlier(attempt)) == Denial::kNone;
  });
}

void Reducer::note_violation(Denial denial, const QueryState& query) {
  ++counters_.violations[static_cast<std::size_t>(denial)];
  emit(LogText{log::Level::kError, std::string("not done, as it is not allowed: ") +
                                       orchidgw::name_of(denial) + " for request " + query.request.reference +
                                       " of class " + query.request.class_name});
}

void Reducer::refuse(QueryId id, TimeUs retry_after) {
  const Reason forbidden = limiter_.forbidden(id);
  turn_away(id, forbidden == Reason::kNone ? Reason::kDecision : forbidden, retry_after);
}

void Reducer::turn_away(QueryId id, Reason reason, TimeUs retry_after) {
  QueryState* query = find_query(id);
  if (query == nullptr || query->ended) return;
  if (!may_refuse(*query)) {
    note_violation(Denial::kMayHaveRun, *query);
    return fail_because(id, "an attempt may have run");
  }
  ++counters_.refused;
  ++counters_.refusals[static_cast<std::size_t>(reason)];
  if (levels_.on() && reason != Reason::kShed)
    levels_.meters()->refused(now_, query->request.class_name, query->request.tenant);
  if (trace_) trace_answered(id, name_of(reason), *query);
  emit(AnswerRefused{query->client, query->tag, retry_after});
  end(*query);
  touched_.push_back(id);
}

void Reducer::fail(QueryId id) { fail_because(id, ""); }

void Reducer::fail_because(QueryId id, const std::string& why) {
  QueryState* query = find_query(id);
  if (query == nullptr || query->ended) return;
  ++counters_.failed;
  note_answered(*query, true);
  if (trace_) trace_answered(id, "failed", *query);
  emit(AnswerFailed{query->client, query->tag, why});
  end(*query);
  touched_.push_back(id);
}

void Reducer::cancel(QueryId id, int attempt) {
  QueryState* query = find_query(id);
  if (query == nullptr || attempt < 0 || static_cast<std::size_t>(attempt) >= query->attempts.size()) return;
  give_up(id, static_cast<std::size_t>(attempt), OutcomeKind::kCancelled);
}

void Reducer::set_terms(QueryId id, int priority, double grant_mb) {
  QueryState* query = find_query(id);
  if (query == nullptr) return;
  const service_level::Combined level = levels_.effects_for(query->request.tenant);
  const int shifted = std::clamp(priority + level.priority, 0, 3);
  const bool changed = query->priority != shifted;
  query->priority = shifted;
  query->grant_mb = level.grants < 1 ? std::floor(grant_mb * level.grants) : grant_mb;
  for (std::size_t n = 0; changed && n < query->attempts.size(); ++n) {
    if (query->attempts[n].phase == Phase::kRunning) call(id, n, CallKind::kPriority);
  }
}

void Reducer::probe(const EngineId&) { emit(LogText{log::Level::kDebug, "engines here can't be probed"}); }

void Reducer::subscribe() {}  // the change log is followed from the start

void Reducer::fetch_list() {}

void Reducer::tell_all(const std::string&) {
  emit(LogText{log::Level::kDebug, "controllers here can't talk to each other"});
}

void Reducer::set_timer(TimeUs delay, std::uint64_t token) {
  timers_.set(now_ + std::max<TimeUs>(delay, 0), Timer{TimerKind::kModule, token, 0, 0});
}

void Reducer::log(const std::string& text) { emit(LogText{log::Level::kDebug, text}); }

// --- Records ----------------------------------------------------------------------------------------------

std::optional<TimeUs> Reducer::next_due() const {
  const auto timer = timers_.next_due();
  const auto limit = limiter_.next_due();
  return timer && limit ? std::min(*timer, *limit) : timer ? timer : limit;
}

std::size_t Reducer::open_requests_of(ClientId client) const {
  const auto [first, last] = open_range(client);
  return static_cast<std::size_t>(std::distance(first, last));
}

Reducer::OpenRange Reducer::open_range(ClientId client) const {
  constexpr RequestTag kLeast = std::numeric_limits<RequestTag>::min();
  return {open_.lower_bound({client, kLeast}), open_.lower_bound({client + 1, kLeast})};
}

Reducer::QueryState* Reducer::find_query(QueryId id) {
  const auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : &it->second;
}

Reducer::AttemptState& Reducer::attempt_at(QueryId id, std::size_t n) { return queries_.at(id).attempts[n]; }

QueryId Reducer::new_query_id() {
  do {
    ++last_query_;
  } while (last_query_ == 0 || queries_.count(last_query_) > 0);
  return last_query_;
}

}  // namespace orchidgw::core
