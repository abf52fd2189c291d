// orchidgw's decision module: workload budgets after Pinot's query resource isolation (docs/design.md;
// DESIGN in comments: the design that it starts from). Implements the interface src/decision/decision.h.
// src/decision/permission.h says whether a query may be sent, repeated or refused at all; this file alone
// chooses among what is allowed. Sections: constants | records | engine list | events | learned costs |
//      CPU budgets | routing | admission queue | checks before every send (rules 2 to 7) |
//      attempts and answers (rule 1) | engine health
#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <stdexcept>
#include <utility>

#include "decision/decision.h"
#include "decision/key_starts.h"
#include "decision/permission.h"

namespace orchidgw {
namespace {

// --- Constants: value, unit, reason -----------------------------------------------------------------------
constexpr TimeUs kMs = 1000;
// Enforcement window: CPU budgets are reset this often (DESIGN).
constexpr TimeUs kBudgetWindow = 5'000 * kMs;
constexpr double kMaxThreadsToMean = 1.25;  // bound: x this gateway's mean threads per engine (DESIGN)
constexpr double kMaxThreadsPerCore = 2.0;  // bound: threads per core, all gateways together (DESIGN)
constexpr double kHotSlowdownRatio = 1.5;   // x the mean slowdown; above: an engine's budget slices shrink
constexpr double kPressureSlowdown = 2.0;   // above: thread bounds apply; answers take twice as long
// How long a "full" answer or a wait for memory counts as pressure.
constexpr TimeUs kMemoryPressureTime = 1'000 * kMs;
// Usable part of an engine's memory: factor per wait for memory, least part, recovery per tick; an engine's
// slowdown returns to the mean at that rate too.
constexpr double kMemoryShareShrink = 0.8, kMinMemoryShare = 0.3, kRecoveryPerTick = 0.004;
// Least time before an answer is overdue; if engines send no notes, this part of the latency target if less.
constexpr double kMinAnswerWaitUs = 700 * kMs, kMinAnswerWaitPerTarget = 0.6;
constexpr TimeUs kTickPeriod = 20 * kMs;    // expiry of queued queries, overdue attempts
constexpr TimeUs kAnswerMargin = 60 * kMs;  // queued queries are answered this long before the deadline
constexpr double kOverdueFactor = 4.0;      // x what its class takes now: the answer counts as lost
constexpr double kRunawayFactor = 4.0;      // x what its class takes now, by the pace of notes: a bad plan
constexpr TimeUs kSilentNoteIntervals = 3;  // progress intervals without any message: silent
constexpr TimeUs kTrialInterval = 1'500 * kMs;    // a suspect engine gets one trial query this often
constexpr double kTrialSpreadFraction = 2.0 / 3;  // of that interval: gateways' trials spread over it
// Weight of one answer in an engine's averages; part of failed answers above which it is suspect.
constexpr double kEngineEwmaWeight = 0.2, kSuspectErrorRate = 0.3;
// Weight of one answer in a class's costs; least weight of one query in the means over all queries.
constexpr double kCostEwmaWeight = 0.05, kMinQueryEwmaWeight = 0.01;
constexpr double kMaxAnswerSlowdown = 10.0;     // one answer counts as at most this slow: loads stall readers
constexpr double kSpillTarget = 0.10;           // part of queries that may need more memory than granted
constexpr double kMaxGrantShare = 0.2;          // part of an engine's memory that one query gets at most
constexpr double kInitialGrantMultiple = 1.25;  // x the estimate, before anything is learned
constexpr double kMinGrantLogStep = 0.1;        // least step of that multiple per answer, on a log scale
// Part of an engine's slow-start allowance (rule 4) that is used; part of that for one query sent by turn.
constexpr double kSlowStartShare = 0.5, kSlowStartMaxQueryShare = 0.2;
constexpr int kTriedEngineRank = 100;      // added to the rank of engines tried before: after all others
constexpr size_t kMaxCachedOrders = 4096;  // table groups whose engine order is cached
constexpr size_t kMaxPlacementTries = 48;  // queued queries tried for an engine at one event
constexpr std::uint64_t kTickTimer = 1, kBudgetResetTimer = 2, kQueryExpiryTimer = 3;  // timer tokens

std::uint64_t mix_bits(std::uint64_t bits) {
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
  return bits ^ (bits >> 31);
}

std::uint64_t hash_string(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  return mix_bits(hash);
}

bool never_ran(OutcomeKind kind) { return kind == OutcomeKind::kFull || never_sent(kind); }

// --- Records ----------------------------------------------------------------------------------------------
struct Attempt {
  EngineEntry engine;  // as listed when the attempt was sent
  TimeUs sent_at = 0;
  TimeUs stall_at_send = 0;  // the value of gateway_stall_ then
  double charged_us = 0;     // CPU time taken from the tenant's budget
  double grant_mb = 0;       // 0: left to the engine
  bool spilled = false;      // a note said that its memory did not suffice
  bool in_flight = true;     // no outcome yet
  bool overdue = false;      // its engine may still work
  bool abandoned = false;    // its notes stayed away or, without notes, it is overdue
  OutcomeKind outcome = OutcomeKind::kOk;
};

EarlierAttempt earlier_attempt(const Attempt& attempt) {
  const bool unsent = !attempt.in_flight && never_sent(attempt.outcome);
  return {attempt.sent_at,     attempt.in_flight,   attempt.in_flight || !never_ran(attempt.outcome),
          attempt.engine.zone, attempt.engine.cell, unsent};
}

struct TrackedQuery {  // kept until it has ended and no attempt is in flight
  Query query;
  TimeUs arrived_at = 0;  // when the gateway took it, before any wait outside this module
  TimeUs deadline = 0;
  double cpu_us = 0;           // expected CPU time
  double value_per_cpu_s = 0;  // the class's value per expected CPU second
  std::uint64_t sequence = 0;  // in order of arrival, from 1
  std::vector<Attempt> attempts;
  bool ended = false;                 // answered, or its client is gone
  bool queued = false;                // in the admission queue
  bool cancelled_as_runaway = false;  // an attempt of it was cancelled for its slow progress
  std::uint64_t unplaced_epoch = 0;   // the last capacity_epoch_ in which no engine was found for it
  int in_flight() const {
    return static_cast<int>(
        std::count_if(attempts.begin(), attempts.end(), [](auto& attempt) { return attempt.in_flight; }));
  }
  AttemptCounts attempt_counts() const {
    AttemptCounts counts;
    for (const Attempt& attempt : attempts) ++(earlier_attempt(attempt).unsent ? counts.unsent : counts.sent);
    return counts;
  }
};

// Those of the query itself, and the first start by another query under its key.
std::vector<EarlierAttempt> earlier_attempts(const TrackedQuery& tracked) {
  std::vector<EarlierAttempt> earlier;
  for (const Attempt& attempt : tracked.attempts) earlier.push_back(earlier_attempt(attempt));
  const auto earlier_try = earlier_try_of(tracked.query.id, tracked.query.key_starts.get());
  if (earlier_try) earlier.push_back(*earlier_try);
  return earlier;
}

struct Engine {
  EngineEntry entry;
  std::uint64_t id_hash = 0;
  bool listed = false;  // in service by the last list
  int cores = 1;
  double memory_mb = 0;                                // 0: unknown
  double used_threads = 0;                             // by this gateway's attempts in flight
  double granted_mb = 0;                               // to this gateway's attempts in flight
  std::map<std::string, double> budget_left_us;        // by tenant: CPU time in this window; may be negative
  std::map<std::int64_t, int> loads_in_flight;         // by table group: this gateway's load queries
  std::map<std::int64_t, TimeUs> group_stalled_until;  // by table group: until then a load stalls it
  std::deque<std::pair<TimeUs, double>> slow_start_sends;  // in slow start: when, expected CPU us
  std::set<std::pair<QueryId, int>> attempts;              // in flight: query, index of the attempt
  double slowdown = 1, sample_count = 0;  // x the ideal time; answers that it rests on, decaying
  double usable_memory_share = 1;         // of this gateway's part of the memory; the rest seems taken
  double error_rate = 0;                  // moving average, 0 to 1
  TimeUs last_heard_at = 0;  // last answer or note, on a clock that leaves out this gateway's own stalls
  TimeUs memory_pressure_at = -kBudgetWindow;  // last "full" answer or wait for memory
  std::map<int, TimeUs> closed_until;          // by class: no queries until then, as it answered "full"
  bool suspect = false;                        // gets trial queries only
  TimeUs next_trial_at = 0;
};

struct ClassStats {
  double actual_us = 0, estimated_us = 0;  // moving averages of CPU time; their ratio corrects estimates
  double mean_us = 0;                      // CPU time; 0: nothing learned yet
  double slowdown = 1;                     // x the ideal time that answers take
  double calm_ratio = 0;                   // no cost reported: latency x threads per estimate when calm
  double grant_multiple = kInitialGrantMultiple, grant_samples = 0;  // x the estimate; answers learned from
};

struct EngineTotals {  // sums over the listed engines, so that no query costs a pass over the fleet
  double engines = 0, cores = 0, memory_mb = 0;
  double used_threads = 0, granted_mb = 0;  // by this gateway's attempts in flight
  double mean_slowdown = 1;                 // moving average over the answers of all engines
};

class WorkloadBudget final : public DecisionModule {
 public:
  explicit WorkloadBudget(const Settings& settings)
      : settings_(settings), share_(1.0 / settings_.gateways), stats_(settings_.classes.size()) {
    if (settings_.gateways < 1 || settings_.classes.empty())
      throw std::invalid_argument("no gateways or no classes");
    for (const auto& query_class : settings_.classes) {
      if (query_class.threads < 1 || query_class.deadline <= 0)
        throw std::invalid_argument("class without threads or deadline");
      // No deployment asks for order (rule 5) now: refused at the start rather than broken unnoticed.
      if (query_class.serial_by_key)
        throw std::invalid_argument("class " + query_class.name + " asks for order, which is not kept");
    }
    for (const auto& tenant : settings_.tenants) quota_per_s_ += tenant.quota_per_s;
  }

  // --- Engine list ----------------------------------------------------------------------------------------
  void on_engines(TimeUs now, ListKind kind, const std::vector<EngineEntry>& entries,
                  ActionSink& sink) override {
    ensure_started(now, sink);
    if (kind == ListKind::kError && settings_.must_subscribe) resubscribe_at_ = now + 1'000 * kMs;
    if (kind == ListKind::kError) return;
    if (kind != ListKind::kDelta)
      for (auto& [id, engine] : engines_) engine.listed = false;
    for (const auto& entry : entries) {
      Engine& engine = engines_[entry.id];
      if (!engine.entry.id.empty() && engine.entry.started_at != entry.started_at)
        clear_suspicion(engine), engine.slowdown = 1;
      engine.entry = entry;
      engine.id_hash = hash_string(entry.id);
      engine.listed = entry.state == EngineState::kInService;
      for (const auto& machine : settings_.kinds)
        if (machine.name == entry.kind)
          engine.cores = std::max(1, machine.cores), engine.memory_mb = machine.memory_mb;
    }
    std::erase_if(engines_,
                  [](const auto& item) { return !item.second.listed && item.second.attempts.empty(); });
    engine_orders_.clear();
    totals_.engines = totals_.cores = totals_.memory_mb = 0;
    for (const auto& [id, engine] : engines_) {
      totals_.engines += engine.listed;
      totals_.cores += engine.listed * engine.cores;
      totals_.memory_mb += engine.listed * engine.memory_mb;
    }
    place_queued(now, sink);
  }

  // --- Events ---------------------------------------------------------------------------------------------
  void on_query(TimeUs now, const Query& query, ActionSink& sink) override {
    ensure_started(now, sink);
    arrivals_.push_back(now);
    // Guards against a retry budget over too late a window: a query that waited before was accepted earlier.
    if (settings_.rules.has_retry_budget && query.waited == 0) query_times_.push_back(now);
    const ClassSettings& query_class = settings_.classes.at(static_cast<size_t>(query.class_index));
    TrackedQuery& tracked = queries_[query.id];
    tracked.query = query;
    tracked.arrived_at = now - query.waited;
    tracked.deadline = now + std::min(query.time_budget, query_class.deadline);
    tracked.sequence = ++last_sequence_;
    tracked.cpu_us = expected_cpu_us(query);
    tracked.value_per_cpu_s = query_class.value / std::max(tracked.cpu_us, 1.0) * 1e6;
    const double weight = std::max(kMinQueryEwmaWeight, 1.0 / static_cast<double>(last_sequence_));
    mean_value_ += weight * (query_class.value - mean_value_);
    mean_cpu_us_ += weight * (tracked.cpu_us - mean_cpu_us_);
    enqueue(tracked);
    place_queued(now, sink, false);
    if (const auto it = queries_.find(query.id); it != queries_.end() && it->second.queued)
      sink.set_timer(std::max<TimeUs>(give_up_at(it->second) - now, 1), kQueryExpiryTimer);
  }

  void on_outcome(TimeUs now, const Outcome& outcome, ActionSink& sink) override {
    const auto it = queries_.find(outcome.query);
    if (it == queries_.end() || outcome.attempt < 0 ||
        outcome.attempt >= static_cast<int>(it->second.attempts.size()))
      return;
    TrackedQuery& tracked = it->second;
    Attempt& attempt = tracked.attempts[static_cast<size_t>(outcome.attempt)];
    if (!attempt.in_flight) return;
    record_gateway_stall(now);
    attempt.in_flight = false;
    attempt.outcome = outcome.kind;
    apply_outcome(tracked, attempt, outcome);
    if (outcome.attempt > 0) refund_retry_budget(attempt);
    update_engine_health(now, attempt, outcome);
    if (outcome.ended) mark_ended(tracked);
    if (outcome.ended && tracked.query.limits) cancel_in_flight(tracked, sink);  // the slower copy
    if (!tracked.ended) retry_or_answer(now, tracked, sink);
    erase_if_finished(outcome.query);
    place_queued(now, sink);
  }

  void on_note(TimeUs now, const Note& note, ActionSink& sink) override {
    const auto it = queries_.find(note.query);
    if (it == queries_.end() || note.attempt < 0 ||
        note.attempt >= static_cast<int>(it->second.attempts.size()))
      return;
    TrackedQuery& tracked = it->second;
    Attempt& attempt = tracked.attempts[static_cast<size_t>(note.attempt)];
    if (!attempt.in_flight) return;
    record_gateway_stall(now);
    Engine& engine = engines_.at(attempt.engine.id);
    engine.last_heard_at = now - gateway_stall_;
    if (engine.suspect && engine.error_rate < kSuspectErrorRate) clear_suspicion(engine);
    if (note.kind == NoteKind::kSpill && !attempt.spilled) {
      attempt.spilled = true;
      // Where engines report memory used, or shrink grants when short, the answer updates the grant instead.
      if (!settings_.engines_report_cost &&
          settings_.memory_shortage_policy != MemoryShortagePolicy::kReduceGrant)
        update_grant_multiple(stats_of(tracked), attempt, true);
    }
    if (note.kind == NoteKind::kWait && note.value >= 2)
      engine.group_stalled_until[tracked.query.table_group] =
          now + 2 * std::max(settings_.progress_interval, kTickPeriod);
    if (note.kind == NoteKind::kWait && note.value < 2) record_memory_wait(engine, now);
    if (note.kind == NoteKind::kProgress && is_runaway(tracked, attempt, note.value, now))
      tracked.cancelled_as_runaway = true, sink.cancel(tracked.query.id, note.attempt);
    if (note.kind != NoteKind::kProgress) place_queued(now, sink);  // progress frees nothing; the tick places
  }

  void on_stream_started(TimeUs, QueryId, const EngineId&, ActionSink&) override {}  // no class streams

  void on_client_gone(TimeUs now, QueryId id, ActionSink& sink) override {
    const auto it = queries_.find(id);
    if (it == queries_.end()) return;
    mark_ended(it->second);
    cancel_in_flight(it->second, sink);
    erase_if_finished(id);
    place_queued(now, sink);
  }

  void on_probe(TimeUs, const EngineId&, bool, const LoadReport&, ActionSink&) override {}

  void on_peer(TimeUs, int, const std::string&, ActionSink&) override {}  // gateways do not talk

  // Changes only this gateway's share from now on; budgets already opened in this window stay as they are.
  void on_share(TimeUs now, const FleetShare& share, ActionSink& sink) override {
    fleet_ = share;
    update_gateway_share(now);
    place_queued(now, sink);
  }

  void on_timer(TimeUs now, std::uint64_t token, ActionSink& sink) override {
    record_gateway_stall(now);
    if (token == kBudgetResetTimer) {
      ++window_number_;
      last_reset_at_ = now;
      for (auto& [id, engine] : engines_) engine.budget_left_us.clear();
      sink.set_timer(kBudgetWindow, kBudgetResetTimer);
    }
    if (token == kTickTimer) {
      schedule_tick(now, sink);
      update_gateway_share(now);
      for (auto& [id, engine] : engines_) {
        if (now - engine.memory_pressure_at > kMemoryPressureTime)
          engine.usable_memory_share = std::min(1.0, engine.usable_memory_share + kRecoveryPerTick);
        engine.slowdown += kRecoveryPerTick * (totals_.mean_slowdown - engine.slowdown);
        engine.sample_count *= 1 - kRecoveryPerTick;
        std::erase_if(engine.group_stalled_until, [&](const auto& item) { return item.second <= now; });
      }
      check_overdue_attempts(now, sink);
    }
    if (resubscribe_at_ > 0 && now >= resubscribe_at_) resubscribe_at_ = 0, sink.subscribe();
    expire_queued(now, sink);
    place_queued(now, sink, token != kQueryExpiryTimer);  // an expiry frees nothing
  }

 private:
  void schedule_tick(TimeUs now, ActionSink& sink) {
    next_tick_at_ = now + kTickPeriod;
    sink.set_timer(kTickPeriod, kTickTimer);
  }

  // Guards against a gateway that was starved of CPU and then suspected all its engines at once, over answers
  // that had arrived but were unread: time by which its own tick is late counts against no engine.
  void record_gateway_stall(TimeUs now) {
    if (now - next_tick_at_ <= kTickPeriod) return;
    gateway_stall_ += now - next_tick_at_;
    next_tick_at_ = now;
  }

  void ensure_started(TimeUs now, ActionSink& sink) {
    if (started_) return record_gateway_stall(now);
    started_ = true;
    started_at_ = now;
    last_reset_at_ = now - kBudgetWindow + kBudgetWindow * (settings_.self + 1) / settings_.gateways;
    schedule_tick(now, sink);
    // Gateways reset at different moments: queued queries must not rush to the same engines at once.
    sink.set_timer(kBudgetWindow * (settings_.self + 1) / settings_.gateways, kBudgetResetTimer);
    if (settings_.must_subscribe) sink.subscribe();
  }

  const ClassSettings& class_of(const TrackedQuery& tracked) const {
    return settings_.classes[static_cast<size_t>(tracked.query.class_index)];
  }
  ClassStats& stats_of(const TrackedQuery& tracked) {
    return stats_[static_cast<size_t>(tracked.query.class_index)];
  }

  // --- Learned costs --------------------------------------------------------------------------------------
  double expected_cpu_us(const Query& query) const {
    const auto class_index = static_cast<size_t>(query.class_index);
    const ClassStats& stats = stats_[class_index];
    const double bias = stats.estimated_us > 0 ? stats.actual_us / stats.estimated_us : 1.0;
    if (query.cost_estimate > 0) return static_cast<double>(query.cost_estimate) * bias;
    return stats.mean_us > 0 ? stats.mean_us
                             : static_cast<double>(settings_.classes[class_index].latency_target) * 0.5;
  }

  // Engines that overcommit grant nothing: they admit every query and slow all of them once memory is used
  // up. There the memory estimate is counted as a grant would be (DESIGN: "memory may be checked likewise").
  bool counts_memory() const {
    return settings_.grants || settings_.memory_shortage_policy == MemoryShortagePolicy::kOvercommit;
  }
  double wanted_memory_mb(const TrackedQuery& tracked) {
    return tracked.query.memory_mb * (settings_.grants ? stats_of(tracked).grant_multiple : 1.0);
  }

  double grant_mb_for(const TrackedQuery& tracked, const Engine& engine) {
    if (!counts_memory() || tracked.query.memory_mb <= 0) return 0;
    if (!settings_.grants) return wanted_memory_mb(tracked);
    const double max_share = std::min(settings_.max_grant_share, kMaxGrantShare);
    return engine.memory_mb > 0 ? std::min(wanted_memory_mb(tracked), engine.memory_mb * max_share)
                                : wanted_memory_mb(tracked);
  }

  // Moves the multiple towards what all but kSpillTarget of the queries need; the first steps are long, as
  // estimates may be far too low.
  void update_grant_multiple(ClassStats& stats, const Attempt& attempt, bool spilled) {
    if (attempt.grant_mb <= 0 || !settings_.grants) return;
    const double log_step = std::max(kMinGrantLogStep, 1.0 / (2.0 + stats.grant_samples++));
    stats.grant_multiple = std::clamp(
        stats.grant_multiple * std::exp(log_step * (spilled ? 1 - kSpillTarget : -kSpillTarget)), 0.1, 10.0);
  }

  // Releases what the attempt used, corrects its charge, and learns costs, memory and the engine's slowdown.
  void apply_outcome(const TrackedQuery& tracked, Attempt& attempt, const Outcome& outcome) {
    Engine& engine = engines_.at(attempt.engine.id);  // kept while it has attempts in flight
    const ClassSettings& query_class = class_of(tracked);
    const TimeUs latency = std::max<TimeUs>(outcome.latency - (gateway_stall_ - attempt.stall_at_send), 0);
    const double spent_us = outcome.reported_cost && outcome.kind == OutcomeKind::kOk
                                ? static_cast<double>(*outcome.reported_cost)
                                : static_cast<double>(latency * query_class.threads);
    totals_.used_threads -= query_class.threads;
    totals_.granted_mb -= attempt.grant_mb;
    engine.used_threads -= query_class.threads;
    engine.granted_mb -= attempt.grant_mb;
    if (query_class.load && --engine.loads_in_flight[tracked.query.table_group] <= 0)
      engine.loads_in_flight.erase(tracked.query.table_group);
    engine.attempts.erase({tracked.query.id, static_cast<int>(&attempt - tracked.attempts.data())});
    // Opens no new slice after a reset: what outlives its window was charged too little.
    if (outcome.kind != OutcomeKind::kTimeout && outcome.kind != OutcomeKind::kCancelled)
      engine.budget_left_us[tracked.query.tenant] +=
          attempt.charged_us - (never_ran(outcome.kind) ? 0.0 : spent_us);
    if (outcome.kind != OutcomeKind::kOk) return;
    ClassStats& stats = stats_of(tracked);
    const double estimate_us = static_cast<double>(tracked.query.cost_estimate);
    double slowdown = 0, actual_us = spent_us;
    if (outcome.reported_cost) {
      slowdown = static_cast<double>(latency * query_class.threads) / std::max(spent_us, 1.0);
    } else if (estimate_us > 0) {
      const double ratio = spent_us / estimate_us;
      if (stats.calm_ratio <= 0) stats.calm_ratio = ratio;
      // Median without pressure: answers beyond the pressure slowdown hardly move it, or a time of overload
      // would pass for the normal state.
      stats.calm_ratio *= std::exp(kCostEwmaWeight * (ratio < stats.calm_ratio                       ? -0.5
                                                      : ratio < kPressureSlowdown * stats.calm_ratio ? 0.5
                                                                                                     : 0.03));
      actual_us = stats.calm_ratio * estimate_us;
      slowdown = ratio / stats.calm_ratio;
    }
    if (estimate_us > 0) {
      stats.actual_us += kCostEwmaWeight * (actual_us - stats.actual_us);
      stats.estimated_us += kCostEwmaWeight * (estimate_us - stats.estimated_us);
    }
    stats.mean_us += (stats.mean_us > 0 ? kCostEwmaWeight : 1) * (spent_us - stats.mean_us);
    slowdown = std::min(slowdown, kMaxAnswerSlowdown);
    if (slowdown > 0) stats.slowdown += kCostEwmaWeight * (slowdown - stats.slowdown);
    if (slowdown > 0 && !query_class.load) {
      totals_.mean_slowdown += kCostEwmaWeight * (slowdown - totals_.mean_slowdown);
      update_slowdown(engine, slowdown);
    }
    if (outcome.reported_memory_mb || !attempt.spilled)
      update_grant_multiple(stats, attempt, outcome.reported_memory_mb.value_or(0) > attempt.grant_mb);
  }

  // Hundreds of gateways each hear from an engine only once in seconds: only the first answer counts in full.
  static void update_slowdown(Engine& engine, double slowdown) {
    engine.sample_count += 1;
    engine.slowdown += std::max(kEngineEwmaWeight, 1 / engine.sample_count) * (slowdown - engine.slowdown);
  }

  // --- CPU budgets ----------------------------------------------------------------------------------------
  // An even share (DESIGN), or this gateway's arrivals as a part of the tenants' quotas where that is larger.
  void update_gateway_share(TimeUs now) {
    while (!arrivals_.empty() && arrivals_.front() < now - kBudgetWindow) arrivals_.pop_front();
    if (fleet_) return void(share_ = fleet_->bounds);
    const TimeUs observed = std::clamp<TimeUs>(now - started_at_, 1'000 * kMs, kBudgetWindow);
    const double queries_per_s = static_cast<double>(arrivals_.size()) * 1e6 / static_cast<double>(observed);
    share_ = std::clamp(quota_per_s_ > 0 ? queries_per_s / quota_per_s_ : 0.0, 1.0 / settings_.gateways, 1.0);
  }

  // CPU time that this gateway may use for the tenant on the engine in one window.
  double budget_slice_us(const Engine& engine, const std::string& tenant) const {
    const double tenant_count = static_cast<double>(std::max<size_t>(settings_.tenants.size(), 1));
    double tenant_share = share_;
    for (size_t index = 0; fleet_ && index < settings_.tenants.size(); ++index)
      if (settings_.tenants[index].name == tenant) tenant_share = fleet_->budgets.at(index);
    return engine.cores * static_cast<double>(kBudgetWindow) * tenant_share / tenant_count;
  }

  // CPU time left of the slice, which the first use in a window opens.
  double& budget_left(Engine& engine, const std::string& tenant) {
    const auto [it, inserted] = engine.budget_left_us.try_emplace(tenant, 0.0);
    if (inserted) it->second = budget_slice_us(engine, tenant);
    return it->second;
  }

  // This gateway's position, 0 to 1, in an engine's order of all gateways in a window; each has its own.
  double turn_place(const Engine& engine, std::uint64_t window) const {
    const double position =
        static_cast<double>(mix_bits(engine.id_hash ^ mix_bits(window)) >> 11) * 0x1p-53 +
        (fleet_ && fleet_->live > 0 ? static_cast<double>(fleet_->place) / fleet_->live
                                    : static_cast<double>(settings_.self) / settings_.gateways);
    return position - std::floor(position);
  }

  // Guards against slices below one charge (DESIGN's weak point): each would let one query through, all at
  // the first engine of the group's order. Such slices are given out whole by turn: in a window, the part
  // slice / charge of all gateways has its turn at an engine. Returns 0 if it is the turn, else how often
  // the slice would have to double for that. Hot engines' slices shrink.
  int turn_rank(const TrackedQuery& tracked, Engine& engine) {
    if (tracked.query.tenant.empty()) return 0;
    const double left_us = budget_left(engine, tracked.query.tenant);
    const double slice_us = budget_slice_us(engine, tracked.query.tenant);
    if (slice_us <= 0) return kTriedEngineRank - 1;  // the fleet leaves the tenant nothing: no doubling helps
    const double heat_factor = std::max(1.0, engine.slowdown / (kHotSlowdownRatio * totals_.mean_slowdown));
    const double turn = left_us < slice_us ? 1.0 : turn_place(engine, window_number_);
    const double required_growth =
        heat_factor * heat_factor *
        (tracked.cpu_us <= slice_us ? 1.0 : turn * (tracked.cpu_us + slice_us - left_us) / slice_us);
    return required_growth <= 1 ? 0 : std::ilogb(required_growth) + 1;
  }

  // --- Routing --------------------------------------------------------------------------------------------
  // Rendezvous order of the engines for a table group: the same at every gateway, stable as engines come and
  // go. Cached until the list changes, so that no query costs a ranking of the whole fleet.
  const std::vector<Engine*>& engine_order(std::int64_t group, bool load) {
    if (engine_orders_.size() > kMaxCachedOrders) engine_orders_.clear();
    std::vector<Engine*>& order = engine_orders_[{group, load}];
    if (!order.empty()) return order;
    for (auto& [id, engine] : engines_)
      if (engine.listed) order.push_back(&engine);
    const std::uint64_t salt = mix_bits(static_cast<std::uint64_t>(group) + 1);
    std::stable_sort(order.begin(), order.end(), [salt](const Engine* left, const Engine* right) {
      return mix_bits(left->id_hash ^ salt) < mix_bits(right->id_hash ^ salt);
    });
    // Readers stall where a load holds their table group: loads go to the second half of the order, away from
    // the readers' engines, and each gateway starts at another engine there.
    if (load && order.size() > 1) {
      std::reverse(order.begin(), order.end());
      order.resize((order.size() + 1) / 2);
      std::rotate(order.begin(), order.begin() + settings_.self % static_cast<long>(order.size()),
                  order.end());
    }
    return order;
  }

  bool stalled_by_load(const TrackedQuery& tracked, Engine& engine, TimeUs now) {
    if (!class_of(tracked).load && !class_of(tracked).waits_for_loads) return false;
    if (engine.loads_in_flight.count(tracked.query.table_group) > 0) return true;
    const auto it = engine.group_stalled_until.find(tracked.query.table_group);
    return it != engine.group_stalled_until.end() && it->second > now;
  }

  // Above the pressure slowdown the bounds shrink in proportion (exception "slow answers").
  static double bounds_scale(const Engine& engine) {
    return std::min(1.0, kPressureSlowdown / std::max(engine.slowdown, 0.1));
  }

  bool within_thread_bounds(const TrackedQuery& tracked, const Engine& engine) const {
    const double threads = class_of(tracked).threads;
    const double mean_limit = kMaxThreadsToMean * totals_.used_threads / std::max(totals_.engines, 1.0);
    const double core_limit = kMaxThreadsPerCore * engine.cores * share_ * bounds_scale(engine) - threads;
    return engine.used_threads <= std::min(mean_limit, std::max(core_limit, 0.0)) + 1e-9;
  }

  // Memory is checked likewise (DESIGN leaves it open): queries wait here in order of value, not in engines.
  bool memory_allows(const TrackedQuery& tracked, const Engine& engine) {
    if (!counts_memory() || engine.memory_mb <= 0 || engine.granted_mb <= 0) return true;
    return engine.granted_mb + grant_mb_for(tracked, engine) <=
           engine.memory_mb * share_ * bounds_scale(engine) * engine.usable_memory_share;
  }

  // Guards against parts of an engine that are below one query: each lets one through, and all gateways
  // together any number. So the bounds also hold for the sum over all engines, except for queries shorter
  // than the mean, which free their threads and memory soon.
  bool totals_allow(const TrackedQuery& tracked) {
    if (share_ <= 0) return false;  // no lease, and no share set aside for gateways without one
    if (tracked.cpu_us <= mean_cpu_us_ || totals_.used_threads <= 0) return true;
    const double thread_limit = kMaxThreadsPerCore * totals_.cores * share_;
    if (totals_.mean_slowdown > kPressureSlowdown &&
        totals_.used_threads + class_of(tracked).threads > thread_limit)
      return false;
    return !counts_memory() || totals_.granted_mb + wanted_memory_mb(tracked) <= totals_.memory_mb * share_;
  }

  // The first usable engine of the group's order whose turn it is, else the nearest to that; null: none
  // usable, or the bounds over all engines do not allow the query.
  Engine* choose_engine(const TrackedQuery& tracked, TimeUs now) {
    Engine* best = nullptr;
    int best_rank = 0;
    if (!totals_allow(tracked)) return nullptr;
    for (Engine* engine : engine_order(tracked.query.table_group, class_of(tracked).load)) {
      // Guards against running out of CPU in the largest fleets: the cheap test for pressure goes first.
      const bool pressed =
          engine->slowdown > kPressureSlowdown || now - engine->memory_pressure_at < kMemoryPressureTime;
      if (pressed && !within_thread_bounds(tracked, *engine)) continue;
      const bool tried =
          std::any_of(tracked.attempts.begin(), tracked.attempts.end(),
                      [&](const Attempt& attempt) { return attempt.engine.id == engine->entry.id; });
      const int rank = turn_rank(tracked, *engine) + (tried ? kTriedEngineRank : 0);
      if (best && rank >= best_rank) continue;
      if (stalled_by_load(tracked, *engine, now) || !health_allows(*engine, tracked, now)) continue;
      if (!may_send(tracked, *engine, now) || !memory_allows(tracked, *engine)) continue;
      const bool has_budget = tracked.query.tenant.empty() || budget_left(*engine, tracked.query.tenant) > 0;
      if (!has_budget && !within_thread_bounds(tracked, *engine)) continue;
      best = engine;
      best_rank = rank;
      if (rank == 0) break;
    }
    return best;
  }

  // --- Admission queue ------------------------------------------------------------------------------------
  void enqueue(TrackedQuery& tracked) {
    tracked.queued = true, queue_.insert({-tracked.value_per_cpu_s, tracked.sequence, tracked.query.id});
  }
  void dequeue(TrackedQuery& tracked) {
    tracked.queued = false, queue_.erase({-tracked.value_per_cpu_s, tracked.sequence, tracked.query.id});
  }

  // Without any slowdown.
  double ideal_us(const TrackedQuery& tracked) const { return tracked.cpu_us / class_of(tracked).threads; }

  // A queued query is started while it can meet its latency target, or up to its deadline if not refusable.
  TimeUs give_up_at(const TrackedQuery& tracked) const {
    TimeUs latest = tracked.deadline - kAnswerMargin;
    if (tracked.query.limits && tracked.attempts.empty()) latest = tracked.query.limits->hold_until(latest);
    latest = std::min(latest, repeat_window_end(class_of(tracked), earlier_attempts(tracked)));
    if (!may_refuse(tracked, tracked.arrived_at)) return latest;
    const double target_us = static_cast<double>(class_of(tracked).latency_target) +
                             class_of(tracked).latency_target_runtime_factor * ideal_us(tracked);
    return std::min(latest, tracked.arrived_at + static_cast<TimeUs>(std::max(
                                                     target_us - 1.5 * ideal_us(tracked), target_us * 0.3)));
  }

  void expire_queued(TimeUs now, ActionSink& sink) {
    std::vector<QueryId> expired;
    for (const auto& [value_per_cpu_s, sequence, id] : queue_)
      if (give_up_at(queries_.at(id)) <= now) expired.push_back(id);
    for (const QueryId id : expired) {
      TrackedQuery& tracked = queries_.at(id);
      if (tracked.in_flight() > 0) {  // only its second copy is dropped
        dequeue(tracked);
        continue;
      }
      answer(now, tracked, sink);
      erase_if_finished(id);
    }
  }

  // Sends queued queries for which an engine is found, those with most value per CPU second first.
  // Guards against running out of CPU in the largest fleets: a new query frees no capacity, so its arrival
  // does not repeat the search for queries that found no engine since the last event that may free some.
  void place_queued(TimeUs now, ActionSink& sink, bool capacity_freed = true) {
    size_t tries = 0;
    capacity_epoch_ += capacity_freed;
    for (auto it = queue_.begin(); it != queue_.end() && tries++ < kMaxPlacementTries;) {
      TrackedQuery& tracked = queries_.at(std::get<2>(*it++));
      if (tracked.unplaced_epoch == capacity_epoch_) continue;
      if (Engine* engine = choose_engine(tracked, now))
        send(now, tracked, *engine, sink);
      else
        tracked.unplaced_epoch = capacity_epoch_;
    }
  }

  // --- Checks before every send: rules 2 to 7 -------------------------------------------------------------
  bool may_send(const TrackedQuery& tracked, const Engine& engine, TimeUs now) {
    const ClassSettings& query_class = class_of(tracked);
    if (tracked.ended || now >= tracked.deadline) return false;
    if (!has_attempts_left(settings_.limits, tracked.attempt_counts())) return false;
    const int attempts_made = static_cast<int>(tracked.attempts.size());
    if (tracked.query.limits && !tracked.query.limits->may_send(now, attempts_made, tracked.in_flight()))
      return false;
    return engine.listed  // rule 3: from the notice of a drain on, well within the grace period
           && effect_allows(tracked, query_class, engine, now) && placement_allows(query_class, engine) &&
           retry_budget_allows(tracked, now) && slow_start_allows(tracked, engine, now);
  }

  bool effect_allows(const TrackedQuery& tracked, const ClassSettings& query_class, const Engine& engine,
                     TimeUs now) const {  // rule 2
    if (!settings_.limits.second_copies && tracked.in_flight() > 0) return false;
    return repeat_denied(query_class, earlier_attempts(tracked), engine.entry, now) == Denial::kNone;
  }

  static bool placement_allows(const ClassSettings& query_class, const Engine& engine) {  // rule 6
    const auto allowed = [](const auto& list, const std::string& name) {
      return !list || std::find(list->begin(), list->end(), name) != list->end();
    };
    return allowed(query_class.zones, engine.entry.zone) && allowed(query_class.kinds, engine.entry.kind);
  }

  bool retry_budget_allows(const TrackedQuery& tracked, TimeUs now) {  // rule 7
    if (tracked.attempts.empty() || !settings_.rules.has_retry_budget) return true;
    while (!query_times_.empty() && query_times_.front() <= now - settings_.rules.retry_budget_window)
      query_times_.pop_front();
    while (!retry_times_.empty() && retry_times_.front() < now - settings_.rules.retry_budget_window)
      retry_times_.pop_front();
    const double retries = static_cast<double>(retry_times_.size()) + 1;
    if (fleet_ && fleet_->further_attempts >= 0 && retries > fleet_->further_attempts) return false;
    return retries <= settings_.rules.retry_budget_floor +
                          settings_.rules.retry_budget_share * static_cast<double>(query_times_.size());
  }

  // Rule 7 limits the work of engines: an attempt that was never sent caused none.
  void refund_retry_budget(const Attempt& attempt) {
    if (settings_.limits.count_unsent_attempts || !earlier_attempt(attempt).unsent) return;
    const auto found = std::find(retry_times_.begin(), retry_times_.end(), attempt.sent_at);
    if (found != retry_times_.end()) retry_times_.erase(found);
  }

  bool in_slow_start(const Engine& engine, TimeUs now) const {
    return settings_.rules.overload_multiple > 0 && engine.entry.started_at > 0 &&
           now - engine.entry.started_at < settings_.rules.slow_start_duration;
  }

  // Rule 4 limits all gateways together; each keeps to an even part of the allowance in any window. Where
  // that part is below the query's charge, gateways take turns, and the one in turn sends a single query.
  // Turns are counted from the engine's start: gateways share no clock.
  bool slow_start_allows(const TrackedQuery& tracked, const Engine& engine, TimeUs now) const {
    if (!in_slow_start(engine, now)) return true;
    const TimeUs window = settings_.rules.overload_window;
    double recent_cpu_us = 0;
    for (const auto& [sent_at, cpu_us] : engine.slow_start_sends)
      if (sent_at > now - window) recent_cpu_us += cpu_us;
    const double slow_start_progress = static_cast<double>(now - engine.entry.started_at) /
                                       static_cast<double>(settings_.rules.slow_start_duration);
    const double capacity = engine.cores * (settings_.rules.slow_start_initial_capacity +
                                            (1 - settings_.rules.slow_start_initial_capacity) *
                                                std::max(slow_start_progress, 0.0));
    const double allowance_us =
        kSlowStartShare * settings_.rules.overload_multiple * capacity * static_cast<double>(window);
    const double gateways = fleet_ ? fleet_->live : settings_.gateways;
    if (recent_cpu_us + tracked.cpu_us <= allowance_us * (fleet_ ? fleet_->cold : 1.0 / settings_.gateways))
      return true;
    if (gateways == 0) return false;  // without a lease it has no turn
    if (tracked.cpu_us > kSlowStartMaxQueryShare * allowance_us ||
        (!engine.slow_start_sends.empty() && engine.slow_start_sends.back().first > now - 2 * window))
      return false;
    const TimeUs age = std::max<TimeUs>(now - engine.entry.started_at, 0);
    return turn_place(engine, static_cast<std::uint64_t>(age / (2 * window))) * tracked.cpu_us * gateways <=
           allowance_us;
  }

  // --- Attempts and answers -------------------------------------------------------------------------------
  void send(TimeUs now, TrackedQuery& tracked, Engine& engine, ActionSink& sink) {
    if (!may_send(tracked, engine, now)) return;
    dequeue(tracked);
    const ClassSettings& query_class = class_of(tracked);
    if (!tracked.attempts.empty() && settings_.rules.has_retry_budget) retry_times_.push_back(now);
    Attempt attempt;
    attempt.engine = engine.entry;
    attempt.sent_at = now;
    attempt.stall_at_send = gateway_stall_;
    attempt.charged_us = tracked.cpu_us;
    attempt.grant_mb = grant_mb_for(tracked, engine);
    const int priority = settings_.priorities ? priority_for(tracked) : 1;
    const double grant_mb = settings_.grants ? std::floor(attempt.grant_mb) : 0;  // else counted, not sent
    if (grant_mb > 0 || priority != 1) sink.set_priority_and_grant(tracked.query.id, priority, grant_mb);
    if (!tracked.query.tenant.empty()) budget_left(engine, tracked.query.tenant) -= attempt.charged_us;
    engine.used_threads += query_class.threads;
    engine.granted_mb += attempt.grant_mb;
    totals_.used_threads += query_class.threads;
    totals_.granted_mb += attempt.grant_mb;
    if (query_class.load) ++engine.loads_in_flight[tracked.query.table_group];
    if (in_slow_start(engine, now)) {
      while (!engine.slow_start_sends.empty() &&
             engine.slow_start_sends.front().first < now - 2 * settings_.rules.overload_window)
        engine.slow_start_sends.pop_front();
      engine.slow_start_sends.emplace_back(now, tracked.cpu_us);
    }
    if (engine.attempts.empty()) engine.last_heard_at = std::max(engine.last_heard_at, now - gateway_stall_);
    engine.attempts.insert({tracked.query.id, static_cast<int>(tracked.attempts.size())});
    if (engine.suspect) mark_suspect(engine, now);
    tracked.attempts.push_back(std::move(attempt));
    sink.send(tracked.query.id, engine.entry.id,
              tracked.query.limits ? tracked.query.limits->stop_at(now, tracked.deadline) : tracked.deadline);
  }

  // Scarce cores and disks go first to the queries with most value per CPU second. 0 (lowest) to 3; 1: usual.
  int priority_for(const TrackedQuery& tracked) const {
    if (class_of(tracked).load) return 2;  // the sooner a load ends, the less it stalls readers
    const double relative_value = tracked.value_per_cpu_s * mean_cpu_us_ / std::max(mean_value_ * 1e6, 1e-9);
    return relative_value >= 2 ? 3 : relative_value >= 0.7 ? 2 : relative_value >= 0.25 ? 1 : 0;
  }

  // After an outcome that did not end the query: queues it again where the rules allow it, else answers now.
  void retry_or_answer(TimeUs now, TrackedQuery& tracked, ActionSink& sink) {
    if (tracked.queued || tracked.in_flight() > 0) return;
    const bool tries_left = has_attempts_left(settings_.limits, tracked.attempt_counts());
    const bool may_repeat = std::any_of(engines_.begin(), engines_.end(), [&](const auto& item) {
      return effect_allows(tracked, class_of(tracked), item.second, now) &&
             placement_allows(class_of(tracked), item.second);
    });
    const QueryLimits* const limits = tracked.query.limits.get();
    const TimeUs earliest = limits ? std::max(limits->next_send_at(), now) : now;
    const bool may_follow = !limits || limits->may_follow(now, tracked.attempts.back().outcome,
                                                          static_cast<int>(tracked.attempts.size()));
    if (!tries_left || !may_repeat || !may_follow || earliest >= give_up_at(tracked))
      return answer(now, tracked, sink);
    enqueue(tracked);
    sink.set_timer(give_up_at(tracked) - now, kQueryExpiryTimer);
  }

  // Whether a refusal, which tells the client that a retry is harmless, is true after all attempts so far.
  bool may_refuse(const TrackedQuery& tracked, TimeUs now) const {
    return refusal_denied(class_of(tracked), earlier_attempts(tracked), now) == Denial::kNone;
  }

  // Rule 1: the only place that gives a final answer, as soon as the module gives the query up.
  void answer(TimeUs now, TrackedQuery& tracked, ActionSink& sink) {
    if (tracked.ended) return;
    const bool refuse = may_refuse(tracked, now);
    mark_ended(tracked);
    cancel_in_flight(tracked, sink);
    if (!refuse) return sink.fail(tracked.query.id);
    const TimeUs to_reset = std::max<TimeUs>(last_reset_at_ + kBudgetWindow - now, 0);
    sink.refuse(tracked.query.id,
                settings_.limits.retry_after ? std::min(to_reset, settings_.limits.max_retry_after) : 0);
  }

  void mark_ended(TrackedQuery& tracked) {
    tracked.ended = true;
    if (tracked.queued) dequeue(tracked);
  }

  void cancel_in_flight(TrackedQuery& tracked, ActionSink& sink) {
    for (size_t i = 0; i < tracked.attempts.size(); ++i)
      if (tracked.attempts[i].in_flight && settings_.limits.cancel)
        sink.cancel(tracked.query.id, static_cast<int>(i));
  }

  void erase_if_finished(QueryId id) {
    const auto it = queries_.find(id);
    if (it == queries_.end() || !it->second.ended || it->second.in_flight() > 0) return;
    queries_.erase(it);
  }

  // A wait for memory means that others fill the engine (work that outlives its time-out, a gateway beyond
  // its part): this gateway's part shrinks with each such note and recovers with each tick.
  void record_memory_wait(Engine& engine, TimeUs now) {
    if (now - engine.memory_pressure_at <= kMemoryPressureTime / 2) return;
    engine.usable_memory_share = std::max(kMinMemoryShare, engine.usable_memory_share * kMemoryShareShrink);
    engine.memory_pressure_at = now;
  }

  // --- Engine health --------------------------------------------------------------------------------------
  // A suspect engine gets one trial query at a time: a first attempt of a class that is safe to repeat, or
  // any query that has no other engine left.
  bool health_allows(const Engine& engine, const TrackedQuery& tracked, TimeUs now) const {
    if (const auto closed = engine.closed_until.find(tracked.query.class_index);
        closed != engine.closed_until.end() && now < closed->second)
      return false;
    if (!engine.suspect) return true;
    if (now < engine.next_trial_at) return false;
    return (class_of(tracked).effect == Effect::kIdempotent && tracked.attempts.empty()) ||
           only_suspects_left(tracked, now);
  }

  // Guards against refusing queries that had their first attempt, or may not be repeated, after a wait for
  // engines that nobody tries: without new queries that are safe to repeat, all suspects stayed suspect.
  bool only_suspects_left(const TrackedQuery& tracked, TimeUs now) const {
    return std::none_of(engines_.begin(), engines_.end(), [&](const auto& item) {
      const Engine& engine = item.second;
      return engine.listed && !engine.suspect && placement_allows(class_of(tracked), engine) &&
             effect_allows(tracked, class_of(tracked), engine, now);
    });
  }

  static void clear_suspicion(Engine& engine) { engine.suspect = false, engine.error_rate = 0; }

  // Guards against gateways that lost an engine at one moment and all try it again at one moment: each
  // gateway's trials have a time of their own.
  void mark_suspect(Engine& engine, TimeUs now) {
    const double intervals = 1 + kTrialSpreadFraction * turn_place(engine, window_number_);
    engine.suspect = true,
    engine.next_trial_at = now + static_cast<TimeUs>(intervals * static_cast<double>(kTrialInterval));
  }

  void update_engine_health(TimeUs now, const Attempt& attempt, const Outcome& outcome) {
    Engine& engine = engines_.at(attempt.engine.id);
    if (outcome.kind == OutcomeKind::kOk) {
      engine.last_heard_at = now - gateway_stall_;
      engine.error_rate *= 1 - kEngineEwmaWeight;
      if (engine.suspect && engine.error_rate < kSuspectErrorRate) clear_suspicion(engine);
    } else if (outcome.kind == OutcomeKind::kFull) {
      engine.memory_pressure_at = now;
      engine.closed_until[queries_.at(outcome.query).query.class_index] = now + kMemoryPressureTime;
    } else if (outcome.kind == OutcomeKind::kError) {
      engine.last_heard_at = now - gateway_stall_;
      engine.error_rate += kEngineEwmaWeight * (1 - engine.error_rate);
      if (engine.error_rate > kSuspectErrorRate) mark_suspect(engine, now);
    } else if (outcome.kind == OutcomeKind::kConnectFailed || outcome.kind == OutcomeKind::kReset) {
      mark_suspect(engine, now);
    }
  }

  // Guards against engines that answer nothing (each budget reset sent them queries again) and answers lost
  // on the way: a query goes elsewhere when its notes stay away or, without notes, if it takes several times
  // what its class takes; its engine is silent if nothing came from it since. Overdue with notes: it is slow.
  void check_overdue_attempts(TimeUs now, ActionSink& sink) {
    for (auto& [id, engine] : engines_) {
      for (const auto& [query_id, attempt_index] : engine.attempts) {
        TrackedQuery& tracked = queries_.at(query_id);
        Attempt& attempt = tracked.attempts[static_cast<size_t>(attempt_index)];
        const int attempts_made = static_cast<int>(tracked.attempts.size());
        if (!tracked.ended && !tracked.queued && tracked.query.limits &&
            tracked.query.limits->second_copy_due(now, attempt.sent_at, attempts_made))
          enqueue(tracked);
        if (attempt.abandoned) continue;  // counted once: old silence must not delay the next trial for ever
        const bool has_notes = settings_.progress_interval > 0;
        const TimeUs awake_now = now - gateway_stall_, awake_sent = attempt.sent_at - attempt.stall_at_send;
        const bool quiet = awake_now - std::max(awake_sent, engine.last_heard_at) >
                           kSilentNoteIntervals * settings_.progress_interval;
        const double min_wait_us =
            has_notes ? kMinAnswerWaitUs
                      : kMinAnswerWaitPerTarget * static_cast<double>(class_of(tracked).latency_target);
        const double max_wait_us = std::max(kOverdueFactor * stats_of(tracked).slowdown * ideal_us(tracked),
                                            std::min(kMinAnswerWaitUs, min_wait_us));
        const bool overdue = static_cast<double>(awake_now - awake_sent) > max_wait_us;
        const bool newly_overdue =
            overdue && !attempt.overdue && !class_of(tracked).load && !stalled_by_load(tracked, engine, now);
        // Guards against waiting behind a load that no note reports, at an engine that answers other queries.
        const bool behind_load = newly_overdue && !has_notes && class_of(tracked).waits_for_loads &&
                                 engine.last_heard_at > awake_sent;
        if (behind_load) engine.group_stalled_until[tracked.query.table_group] = now + load_duration();
        if (newly_overdue) update_slowdown(engine, behind_load ? kOverdueFactor : kMaxAnswerSlowdown);
        attempt.overdue = attempt.overdue || overdue;
        if (has_notes ? !quiet : !overdue) continue;
        abandon_attempt(now, tracked, attempt_index, sink);
        if (has_notes ? quiet : engine.last_heard_at <= awake_sent) mark_suspect(engine, now);
      }
    }
  }

  // How long a load query takes now, from its send to its answer; the longest of all load classes.
  TimeUs load_duration() const {
    double longest_us = 0;
    for (size_t index = 0; index < stats_.size(); ++index)
      if (const ClassStats& stats = stats_[index]; settings_.classes[index].load)
        longest_us = std::max(longest_us, stats.mean_us * stats.slowdown / settings_.classes[index].threads);
    return static_cast<TimeUs>(longest_us);
  }

  // Guards against a bad plan (each attempt gets a new one): at the pace of its notes the attempt would take
  // several times what its class takes now. Once a query, if safe to repeat and a new attempt can be in time.
  bool is_runaway(const TrackedQuery& tracked, const Attempt& attempt, double progress, TimeUs now) {
    const double elapsed_us =
        static_cast<double>(now - attempt.sent_at - (gateway_stall_ - attempt.stall_at_send));
    const double expected_us = stats_of(tracked).slowdown * ideal_us(tracked);
    return settings_.limits.cancel && class_of(tracked).effect == Effect::kIdempotent &&
           !tracked.cancelled_as_runaway && !attempt.abandoned &&
           elapsed_us / std::max(progress, 0.01) > kRunawayFactor * expected_us && now < give_up_at(tracked);
  }

  // Sends a query that is stuck on a silent engine elsewhere, as a second copy or after a cancel.
  void abandon_attempt(TimeUs now, TrackedQuery& tracked, int attempt_index, ActionSink& sink) {
    tracked.attempts[static_cast<size_t>(attempt_index)].abandoned = true;
    if (tracked.ended || class_of(tracked).effect == Effect::kAtMostOnce) return;
    if (settings_.limits.cancel) return sink.cancel(tracked.query.id, attempt_index);
    if (settings_.limits.second_copies && !tracked.queued && now < give_up_at(tracked)) enqueue(tracked);
  }

  Settings settings_;
  bool started_ = false;                                            // since the first engine list or query
  TimeUs started_at_ = 0, last_reset_at_ = 0, resubscribe_at_ = 0;  // resubscribe_at_ 0: not due
  TimeUs next_tick_at_ = 0, gateway_stall_ = 0;                     // gateway_stall_: total lateness of ticks
  double share_, quota_per_s_ = 0;   // this gateway's part of all; sum of the tenants' quotas
  std::optional<FleetShare> fleet_;  // what a fleet leaves this gateway; none: no fleet
  // Queries so far; number of the budget window; number of events so far that may have freed capacity.
  std::uint64_t last_sequence_ = 0, window_number_ = 0, capacity_epoch_ = 1;
  EngineTotals totals_;
  std::map<std::pair<std::int64_t, bool>, std::vector<Engine*>> engine_orders_;  // by group; true: loads
  double mean_value_ = 0, mean_cpu_us_ = 0;  // over all queries: value, expected CPU time
  std::map<EngineId, Engine> engines_;
  std::map<QueryId, TrackedQuery> queries_;
  std::set<std::tuple<double, std::uint64_t, QueryId>> queue_;  // most value first, then oldest
  std::vector<ClassStats> stats_;                               // as in Settings::classes
  std::deque<TimeUs> arrivals_, query_times_, retry_times_;     // last two: for rule 7's retry budget
};

}  // namespace

std::unique_ptr<DecisionModule> make_workload_budget(const Settings& settings, std::uint64_t /*seed*/) {
  return std::make_unique<WorkloadBudget>(settings);
}

}  // namespace orchidgw
