// Interface of the decision module: its settings, the events that it gets and the actions that it takes. It
// knows no wire protocol and contains no decisions. Instants are on the clock of the events' `now`.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"  // TimeUs: here microseconds on the event clock

namespace orchidgw {

using QueryId = std::uint32_t;  // unique for the life of a module instance
using EngineId = std::string;   // opaque; the same at every gateway

// What running a query twice does: no harm; no harm at engines that recognise the repeat and drop it (see
// RepeatScope); harm.
enum class Effect { kIdempotent, kDeduplicated, kAtMostOnce };
// Which engines recognise and drop a repeated query: all, those in the zone or those in the cell of the
// engine that got the earlier attempt.
enum class RepeatScope { kAll, kZone, kCell };
// What an engine does with a query for which it lacks memory: queues it, runs it with a smaller grant, or
// admits it and slows all its queries down by paging.
enum class MemoryShortagePolicy { kWait, kReduceGrant, kOvercommit };
enum class EngineState { kInService, kDraining, kGone };
// How an engine list relates to the one before: only the entries that changed, a complete list, the complete
// list that was stored and is read at the start, or no list because fetching it failed.
enum class ListKind { kDelta, kFull, kStored, kError };
// How an attempt ended. kFull: the engine rejected it without running it, for want of capacity or time.
// kNotSent: nothing of it was sent, for a reason that says nothing about the engine; one that is cancelled
// before it is sent ends as kCancelled.
enum class OutcomeKind { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kNotSent };
// What an engine reports of a running attempt: its progress, that it needs more memory than it was granted,
// or that it waits.
enum class NoteKind { kProgress, kSpill, kWait };

struct ClassSettings {
  std::string name;
  // The latency target of a query, within which an answer has its full value: `latency_target` plus
  // `latency_target_runtime_factor` times the expected run time.
  TimeUs latency_target = 0;
  double latency_target_runtime_factor = 0;
  TimeUs deadline = 0;  // the longest time budget of a query
  Effect effect = Effect::kAtMostOnce;
  RepeatScope repeat_scope = RepeatScope::kAll;
  // Engines recognise a repeat for so long after the earlier attempt was sent.
  TimeUs repeat_window = 0;
  double value = 1;             // of a query answered in time, relative to other classes
  double late_value_share = 0;  // part of `value` that an answer after the target still has
  // Queries of one key run one after another (rule 5). make_workload_budget() rejects it.
  bool serial_by_key = false;
  bool streaming = false;
  std::optional<std::vector<std::string>> zones;  // the only zones allowed, if given
  std::optional<std::vector<std::string>> kinds;  // the only machine kinds allowed, if given
  int threads = 1;                                // that a query uses on its engine
  // Load queries: each blocks its table group on its engine while it runs.
  bool load = false;
  // Blocked on an engine while a load query blocks the table group there.
  bool waits_for_loads = false;
};

struct KindSettings {  // of machines that engines run on
  std::string name;
  int cores = 1;
  double memory_mb = 0;  // 0: unknown
};

struct TenantSettings {
  std::string name;
  double portion = 0;      // its share of all, 0 to 1
  double quota_per_s = 0;  // queries a second, at all gateways together
};

// What the deployment permits the module to do.
struct PolicyLimits {
  bool cancel = false;         // attempts may be cancelled
  bool probes = false;         // engines may be probed
  bool peers = false;          // gateways may send each other messages
  bool second_copies = false;  // a query may have more than one attempt in flight
  bool retry_after = false;    // refusals may say when to try again
  TimeUs max_retry_after = 0;
  int max_attempts = 1;  // per query
  // Attempts that were never sent count too. So in the simulator, whose wire counts each send; engines see
  // nothing of them.
  bool count_unsent_attempts = false;
};

// Rules that the deployment sets for all gateways, numbered as in docs/design.md.
struct Rules {
  TimeUs answer_slack = 0;
  TimeUs drain_grace = 0;  // rule 3: from this long after an engine began to drain, nothing may be sent to it
  TimeUs ask_within = 0;
  // Slow start (rule 4): an engine's capacity grows linearly from the part `slow_start_initial_capacity` when
  // it starts to all of it after `slow_start_duration`. Until then all gateways together may send it, in any
  // `overload_window`, at most `overload_multiple` times the work that its capacity at the time does in that
  // window.
  double slow_start_initial_capacity = 1;
  TimeUs slow_start_duration = 0;
  double overload_multiple = 0;  // 0: no such rule
  TimeUs overload_window = 0;
  TimeUs key_quiet_period = 0;
  // Retry budget (rule 7): in any `retry_budget_window`, attempts beyond each query's first number at most
  // `retry_budget_floor` plus the part `retry_budget_share` of the queries accepted.
  bool has_retry_budget = false;
  double retry_budget_floor = 0;
  double retry_budget_share = 0;
  TimeUs retry_budget_window = 0;
};

struct Settings {
  int gateways = 1;  // number of gateways in the deployment
  int self = 0;      // this one's index among them, from 0
  std::string zone;  // of this gateway
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  PolicyLimits limits;
  Rules rules;
  bool must_subscribe = false;       // the engine list comes only after ActionSink::subscribe()
  bool grants = false;               // engines keep to the memory grant of a query
  bool priorities = false;           // engines schedule by the priority of a query
  bool engines_report_cost = false;  // engines report the cost of a query with its answer
  double max_grant_share = 1;        // of an engine's memory: the largest grant to one query
  MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::kWait;
  TimeUs progress_interval = 0;  // between an attempt's notes; 0: engines send none
  double over_share_value = 1;   // factor on the value of a tenant's queries beyond its share
};

struct EngineEntry {
  EngineId id;
  std::string zone;
  std::string kind;
  int cell = 0;
  TimeUs started_at = 0;  // 0: a long time back
  EngineState state = EngineState::kInService;
};

// What an operator's limits leave for one query (src/limits). The module checks them in addition to its own
// rules: they can forbid an action or shorten a time, never allow more.
class QueryLimits {
 public:
  virtual ~QueryLimits() = default;
  // Asked before each send: `sent` attempts so far, `in_flight` of them without an outcome.
  virtual bool may_send(TimeUs now, int sent, int in_flight) const = 0;
  // Whether another attempt may follow when none is in flight and the last of `sent` ended with `last`.
  virtual bool may_follow(TimeUs now, OutcomeKind last, int sent) const = 0;
  // The earliest instant of a further attempt; 0: at once.
  virtual TimeUs next_send_at() const = 0;
  // When an attempt that is sent now has to stop: `deadline` or before.
  virtual TimeUs stop_at(TimeUs now, TimeUs deadline) const = 0;
  // How long a query of which no attempt was sent may be held: until `last` or before.
  virtual TimeUs hold_until(TimeUs last) const = 0;
  // Whether an attempt that was sent at `sent_at` and is in flight should get a second copy now; `sent`
  // attempts so far.
  virtual bool second_copy_due(TimeUs now, TimeUs sent_at, int sent) const = 0;
};

class KeyStarts;

struct Query {
  QueryId id = 0;
  std::string tenant;   // empty: untagged
  int class_index = 0;  // in Settings::classes
  std::int64_t table_group = 0;
  TimeUs time_budget = 0;    // what the client still waits, from now
  std::string key;           // empty: none
  double memory_mb = 0;      // estimate; 0: none
  TimeUs cost_estimate = 0;  // CPU time; 0: none
  bool is_retry = false;     // the client says that it sent the query before
  TimeUs waited = 0;         // between its arrival at the gateway and this event; not part of the time budget
  std::shared_ptr<const QueryLimits> limits;  // null: none
  // What was started under its idempotency key, also by later queries; null: not known.
  std::shared_ptr<const KeyStarts> key_starts;
};

// This gateway's part, 0 to 1, of what a fleet of gateways shares (src/budget).
struct FleetShare {
  std::vector<double> budgets;  // of each tenant's CPU budget, in the order of Settings::tenants
  double bounds = 0;            // of the bounds on engines' threads and memory
  double cold = 0;              // of the slow-start allowance (rule 4)
  // Attempts beyond queries' first that this gateway may make in a window of the retry budget (rule 7), which
  // holds as well; a number, not a part. -1: not divided.
  int further_attempts = -1;
  int live = 0;   // gateways that hold a lease; 0: this one has none
  int place = 0;  // index of this one among them, from 0
  bool operator==(const FleetShare&) const = default;
};

using LoadReport = std::map<std::string, double>;  // an engine's load figures by name

// The end of one attempt. `attempt` counts a query's attempts from 0, in the order of their sends.
struct Outcome {
  QueryId query = 0;
  int attempt = 0;
  EngineId engine;
  OutcomeKind kind = OutcomeKind::kOk;
  TimeUs latency = 0;                        // since the attempt was sent
  bool ended = false;                        // the query is finished, by this outcome or before it
  std::optional<TimeUs> reported_cost;       // CPU time that it used, as reported by the engine
  std::optional<double> reported_memory_mb;  // memory that it needed, likewise
  LoadReport report;
};

// A report on an attempt that runs.
struct Note {
  QueryId query = 0;
  int attempt = 0;
  EngineId engine;
  NoteKind kind = NoteKind::kProgress;
  // kProgress: the part done, 0 to 1. kSpill: MB missing. kWait: 1 waits for memory, 2 for a load query.
  double value = 0;
};

// The actions that the module can take. They may be called only within a call to the module, and take effect
// without calling it back: what comes of them is a later event.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Starts the query's next attempt, which has to end at `stop_at`. Always followed by one outcome.
  virtual void send(QueryId query, const EngineId& engine, TimeUs stop_at) = 0;
  // Final answer: refused; the client may safely send the query again, best after `retry_after` (0: no
  // advice).
  virtual void refuse(QueryId query, TimeUs retry_after) = 0;
  // Final answer: failed; the query may have run.
  virtual void fail(QueryId query) = 0;
  // Cancels an attempt in flight, by its number. Its outcome comes later.
  virtual void cancel(QueryId query, int attempt) = 0;
  // For the query's next attempts; a changed priority also reaches those in flight. `priority`: 0 to 3, 1
  // unless set. `grant_mb`: memory that the engine may use for the query; 0: as the engine chooses.
  virtual void set_priority_and_grant(QueryId query, int priority, double grant_mb) = 0;
  virtual void probe(const EngineId& engine) = 0;
  virtual void subscribe() = 0;   // asks for the engine list and its changes from now on
  virtual void fetch_list() = 0;  // asks for the engine list once
  // Sends `bytes` to all other gateways, where they arrive as on_peer().
  virtual void broadcast_to_peers(const std::string& bytes) = 0;
  // Calls on_timer() with `token` after `delay`.
  virtual void set_timer(TimeUs delay, std::uint64_t token) = 0;
  virtual void log(const std::string& text) = 0;
};

// Decides which queries are sent, where and when. Its owner calls it from one thread, one event at a time.
class DecisionModule {
 public:
  virtual ~DecisionModule() = default;
  virtual void on_engines(TimeUs now, ListKind kind, const std::vector<EngineEntry>& entries,
                          ActionSink& sink) = 0;
  virtual void on_query(TimeUs now, const Query& query, ActionSink& sink) = 0;
  virtual void on_outcome(TimeUs now, const Outcome& outcome, ActionSink& sink) = 0;
  virtual void on_note(TimeUs now, const Note& note, ActionSink& sink) = 0;
  virtual void on_stream_started(TimeUs now, QueryId query, const EngineId& engine, ActionSink& sink) = 0;
  // The query needs no answer any more.
  virtual void on_client_gone(TimeUs now, QueryId query, ActionSink& sink) = 0;
  virtual void on_probe(TimeUs now, const EngineId& engine, bool ok, const LoadReport& report,
                        ActionSink& sink) = 0;
  virtual void on_peer(TimeUs now, int peer, const std::string& bytes, ActionSink& sink) = 0;
  virtual void on_timer(TimeUs now, std::uint64_t token, ActionSink& sink) = 0;
  // `share` holds from now on. Before the first call, this gateway's share follows from Settings::gateways.
  virtual void on_share(TimeUs now, const FleetShare& share, ActionSink& sink) = 0;
};

// Throws std::invalid_argument on settings that the module does not support.
std::unique_ptr<DecisionModule> make_workload_budget(const Settings& settings, std::uint64_t seed);

}  // namespace orchidgw
