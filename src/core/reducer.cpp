#include "core/reducer.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <sstream>
#include <utility>

#include "core/table_group.h"

namespace orchidgw::core {
namespace {

constexpr TimeUs kUsPerSecond = 1'000'000;

}  // namespace

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
  if (event.connection_drains || query.request.time_budget <= 0)
    return turn_away(id, Reason::kShutDown, longest_advice());
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

// --- Reduced service levels -------------------------------------------------------------------------------

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

// --- The course of an attempt -----------------------------------------------------------------------------

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
  const bool moot = query->ended || static_cast<int>(n) >= settings_.limits.max_attempts;
  if (moot || it == engines_.end()) {
    return conclude(id, n, moot ? OutcomeKind::kMoot : OutcomeKind::kConnectFailed);
  }
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

// Of the attempt number `n`, with all others of its query taken for earlier ones.
Denial Reducer::start_denied(const QueryState& query, std::size_t n, TimeUs now) const {
  const AttemptState& a = query.attempts[n];
  std::vector<EarlierAttempt> others;
  for (std::size_t i = 0; i < query.attempts.size(); ++i) {
    if (i == n) continue;
    const AttemptState& other = query.attempts[i];
    const bool out = other.phase != Phase::kOver;
    others.push_back({other.sent_at, out, out || other.ran, other.zone, other.cell});
  }
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
  return std::all_of(query.attempts.begin(), query.attempts.end(), [&](const AttemptState& a) {
    const bool out = a.phase != Phase::kOver;
    return refusal_denied(class_of(query), {a.sent_at, out, out || a.ran, a.zone, a.cell}) == Denial::kNone;
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
