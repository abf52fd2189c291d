// The interface of orchidgw's decision module: settings, events, actions. Protocol-neutral, no decisions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"  // TimeUs: here microseconds on the event clock

namespace orchidgw {

using QueryId = std::uint32_t;  // unique for the life of an instance
using EngineId = std::string;   // opaque; the same at every gateway

enum class Effect { kIdempotent, kDeduplicated, kAtMostOnce };
enum class RepeatScope { kAll, kZone, kCell };
enum class WhenShort { kWait, kShrink, kPage };
enum class EngineState { kInService, kDraining, kGone };
enum class ListKind { kDelta, kFull, kStored, kError };
enum class OutcomeKind { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };
enum class NoteKind { kProgress, kSpill, kWait };

struct ClassSettings {
  std::string name;
  TimeUs aim = 0;
  double aim_stretch = 0;
  TimeUs deadline = 0;
  Effect effect = Effect::kAtMostOnce;
  RepeatScope repeat_scope = RepeatScope::kAll;
  TimeUs repeat_window = 0;
  double value = 1;
  double late_worth = 0;
  bool in_order = false;
  bool streaming = false;
  std::optional<std::vector<std::string>> zones;  // the only zones allowed, if given
  std::optional<std::vector<std::string>> kinds;  // the only machine kinds allowed, if given
  int threads = 1;
  bool load = false;             // holds its table group on its engine while it runs
  bool waits_for_loads = false;  // stands still while a load holds its group there
};

struct KindSettings {
  std::string name;
  int cores = 1;
  double memory_mb = 0;
};

struct TenantSettings {
  std::string name;
  double portion = 0;
  double quota_per_s = 0;
};

struct Limits {
  bool cancel = false;
  bool probes = false;
  bool peers = false;
  bool second_copies = false;
  bool retry_after = false;
  TimeUs max_retry_after = 0;
  int max_attempts = 1;
  bool unsent_attempts_count = false;  // the simulator's wire counts each send; engines see none of these
};

struct Rules {
  TimeUs answer_slack = 0;
  TimeUs drain_grace = 0;
  TimeUs ask_within = 0;
  double cold_from = 1;
  TimeUs cold_for = 0;
  double fall_multiple = 0;  // 0: no such rule
  TimeUs fall_window = 0;
  TimeUs key_rest = 0;
  bool attempts_rationed = false;
  double extra_free = 0;
  double extra_share = 0;
  TimeUs extra_window = 0;
};

struct Settings {
  int gateways = 1;
  int self = 0;
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  Limits limits;
  Rules rules;
  bool must_ask_discovery = false;
  bool grants = false;
  bool priorities = false;
  bool tells_cost = false;
  double max_grant_share = 1;
  WhenShort when_short = WhenShort::kWait;
  TimeUs progress_interval = 0;  // 0: no notes
  double over_share_worth = 1;
};

struct EngineEntry {
  EngineId id;
  std::string zone;
  std::string kind;
  int cell = 0;
  TimeUs started_at = 0;  // 0: a long time back
  EngineState state = EngineState::kInService;
};

// What an operator's limits leave for one query (src/limits). The module's guard asks it beside its own
// rules: it can forbid and shorten, never allow more.
class QueryLimits {
 public:
  virtual ~QueryLimits() = default;
  // Before each send: `sent` attempts so far, `in_flight` of them without an outcome.
  virtual bool may_send(TimeUs now, int sent, int in_flight) const = 0;
  // Whether one more attempt may follow, with none in flight and the last of `sent` ended so.
  virtual bool may_follow(TimeUs now, OutcomeKind last, int sent) const = 0;
  virtual TimeUs next_send_at() const = 0;                        // no further attempt before; 0: at once
  virtual TimeUs stop_at(TimeUs now, TimeUs deadline) const = 0;  // of an attempt that is sent now
  virtual TimeUs hold_until(TimeUs last) const = 0;               // of a query never sent: `last` or before
  // Whether an attempt sent then, still out, is to have a second copy; `sent` attempts so far.
  virtual bool copy_due(TimeUs now, TimeUs sent_at, int sent) const = 0;
};

struct Query {
  QueryId id = 0;
  std::string tenant;  // empty: untagged
  int class_index = 0;
  std::int64_t table_group = 0;
  TimeUs time_budget = 0;
  std::string key;           // empty: none
  double memory_mb = 0;      // estimate; 0: none
  TimeUs cost_estimate = 0;  // 0: none
  bool repeat = false;
  TimeUs waited = 0;  // from when it was taken until the module got it; the time budget is what is left
  std::shared_ptr<const QueryLimits> limits;  // null: none
};

// What a fleet leaves this gateway of what all share (src/budget): each a part of the whole, 0 to 1.
struct FleetShare {
  std::vector<double> budgets;  // of each tenant's CPU budget, as in Settings::tenants
  double bounds = 0;            // of the engines' threads and memory
  double cold = 0;              // of what cold engines may be sent (rule 4)
  int further_attempts = -1;    // in a window of rule 7, beside that rule; -1: not divided
  int live = 0;                 // gateways with a lease; 0: this one has none
  int place = 0;                // of this one among them, from 0
  bool operator==(const FleetShare&) const = default;
};

using LoadReport = std::map<std::string, double>;

struct Outcome {
  QueryId query = 0;
  int attempt = 0;
  EngineId engine;
  OutcomeKind kind = OutcomeKind::kOk;
  TimeUs latency = 0;
  bool ended = false;               // the query is finished, by this outcome or before it
  std::optional<TimeUs> told_cost;  // the work that it needed
  std::optional<double> told_memory_mb;
  LoadReport report;
};

struct Note {
  QueryId query = 0;
  int attempt = 0;
  EngineId engine;
  NoteKind kind = NoteKind::kProgress;
  double value = 0;  // share done; MB missing; 1 waits for memory, 2 for a load
};

class ActionSink {
 public:
  virtual ~ActionSink() = default;
  virtual void send(QueryId query, const EngineId& engine, TimeUs stop_at) = 0;
  virtual void refuse(QueryId query, TimeUs retry_after) = 0;
  virtual void fail(QueryId query) = 0;
  virtual void cancel(QueryId query, int attempt) = 0;
  virtual void set_terms(QueryId query, int priority, double grant_mb) = 0;
  virtual void probe(const EngineId& engine) = 0;
  virtual void subscribe() = 0;
  virtual void fetch_list() = 0;
  virtual void tell_all(const std::string& bytes) = 0;
  virtual void set_timer(TimeUs delay, std::uint64_t token) = 0;
  virtual void log(const std::string& text) = 0;
};

class DecisionModule {
 public:
  virtual ~DecisionModule() = default;
  virtual void on_engines(TimeUs now, ListKind kind, const std::vector<EngineEntry>& entries,
                          ActionSink& sink) = 0;
  virtual void on_query(TimeUs now, const Query& query, ActionSink& sink) = 0;
  virtual void on_outcome(TimeUs now, const Outcome& outcome, ActionSink& sink) = 0;
  virtual void on_note(TimeUs now, const Note& note, ActionSink& sink) = 0;
  virtual void on_stream_started(TimeUs now, QueryId query, const EngineId& engine, ActionSink& sink) = 0;
  virtual void on_client_gone(TimeUs now, QueryId query, ActionSink& sink) = 0;
  virtual void on_probe(TimeUs now, const EngineId& engine, bool ok, const LoadReport& report,
                        ActionSink& sink) = 0;
  virtual void on_peer(TimeUs now, int peer, const std::string& bytes, ActionSink& sink) = 0;
  virtual void on_timer(TimeUs now, std::uint64_t token, ActionSink& sink) = 0;
  // From now on; before the first one the settings' count of gateways decides.
  virtual void on_share(TimeUs now, const FleetShare& share, ActionSink& sink) = 0;
};

// Throws std::invalid_argument on settings that it can't work with.
std::unique_ptr<DecisionModule> make_workload_budget(const Settings& settings, std::uint64_t seed);

}  // namespace orchidgw
