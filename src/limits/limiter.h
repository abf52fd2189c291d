// Applies the operator's limits to each query: admits it, queues it or refuses it with a reason and a
// retry-after. Owns the state of all routes and of the queries that are queued or admitted under their
// limits. No I/O and no clock: each call is given the time, which must never go backwards. Without an active
// LimitSet it stores nothing and admits every query.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "limits/pass.h"

namespace orchidgw::limits {

// The properties of a new query that limits depend on.
struct Arrival {
  QueryId id = 0;
  int class_index = 0;
  std::string_view tenant;
  std::string_view table;
  bool keyed = false;
  TimeUs time_budget = 0;
};

struct Verdict {
  enum class Kind { kAdmit, kWait, kRefuse };
  Kind kind = Kind::kAdmit;
  Reason reason = Reason::kNone;  // of kWait and kRefuse
  TimeUs retry_after = 0;         // of kRefuse; 0: none is sent to the client
};

// A query whose wait in the queue ended, with an admission or a refusal (never kWait).
struct EndedWait {
  QueryId id = 0;
  Verdict verdict;
};

class Limiter {
 public:
  Limiter(const Settings& settings, std::uint64_t seed);

  // Makes `set` the active one. Queries already under way keep the limits that they started with; the state
  // of a route carries over to the route of the same name.
  void activate(TimeUs now, std::shared_ptr<const LimitSet> set);
  const LimitSet* active_set() const { return set_.get(); }  // null: none
  // Multiplies all rates and concurrency limits by `scale`, above 0 to 1. Reduced service levels use it.
  void set_scale(TimeUs now, double scale);

  // Sets this controller's share of the limits that the fleet divides.
  void set_fleet_limits(TimeUs now, FleetLimits fleet);
  FleetUsage fleet_usage(TimeUs now) const;  // usage of those limits, by route name

  // Decides about a new query. After kWait, next_ended_wait() returns its end; after kRefuse nothing is kept.
  Verdict admit(TimeUs now, const Arrival& arrival);
  // The time limit of the whole query: `time_budget` or the route's timeout, whichever is smaller.
  TimeUs effective_timeout(QueryId id, TimeUs time_budget) const;
  std::shared_ptr<const QueryLimits> query_limits(QueryId id) const;  // null: the query is under no limits
  // Why the limits last denied the query another attempt; kNone: they did not.
  Reason retry_denial_reason(QueryId id) const;

  // Returns the next query whose wait has ended by `now`, each one once; nullopt: there is none left.
  std::optional<EndedWait> next_ended_wait(TimeUs now);
  // When next_ended_wait() has to be called next; nullopt: not at any known time.
  std::optional<TimeUs> next_due() const;

  void attempt_sent(TimeUs now, QueryId id);
  // `expected`: the run time that was estimated for the attempt; 0: unknown.
  void attempt_ended(TimeUs now, QueryId id, OutcomeKind kind, TimeUs latency, TimeUs expected);
  // The query is answered and has no attempt on any engine, or its client disconnected while it was queued.
  void query_ended(TimeUs now, QueryId id);

  std::size_t waiting() const { return waiting_; }                     // queued queries
  std::size_t tracked_query_count() const { return queries_.size(); }  // queued or under way
  // In the order of the file, defaults last. Routes of earlier files are left out, even with queries.
  std::vector<std::shared_ptr<const RouteState>> route_states() const;

 private:
  struct Entry {
    std::shared_ptr<RouteQueryLimits> limits;
    int class_index = 0;
    bool is_waiting = false;
    bool under_way = false;
    Reason wait_reason = Reason::kNone;  // which limit made it wait
    TimeUs wait_until = 0;
    TimeUs admitted_at = 0;
  };
  using QueueCheck = std::pair<TimeUs, std::uint64_t>;  // time, serial of the route's state

  std::shared_ptr<RouteState> state_for(const std::string& name);
  void apply_all_bounds(TimeUs now);
  Verdict admit_or_queue(TimeUs now, QueryId id, Entry& entry);
  Verdict enqueue(TimeUs now, QueryId id, Entry& entry, Reason reason);
  Verdict refuse(RouteState& state, Reason reason, TimeUs retry_after) const;
  void mark_admitted(TimeUs now, Entry& entry);
  TimeUs wait_deadline(TimeUs now, const Entry& entry, TimeUs time_budget) const;
  TimeUs estimated_wait(TimeUs now, const RouteState& state) const;
  void schedule_queue_check(TimeUs now, const std::shared_ptr<RouteState>& state);
  void leave_queue(Entry& entry, QueryId id);
  void prune_queue(RouteState& state);
  std::optional<EndedWait> end_due_wait(TimeUs now);
  std::optional<EndedWait> end_expired_wait(TimeUs now);

  Settings settings_;
  std::uint64_t seed_;
  std::shared_ptr<const LimitSet> set_;
  std::shared_ptr<RetryBudget> overall_retry_budget_;
  std::unordered_map<std::string, std::shared_ptr<RouteState>> states_;
  std::vector<std::unique_ptr<LatencyQuantiles>> latencies_;  // by class
  std::unordered_map<QueryId, Entry> queries_;
  std::set<std::pair<TimeUs, QueryId>> wait_expiries_;              // time, query; of queued queries
  std::map<QueueCheck, std::shared_ptr<RouteState>> queue_checks_;  // routes whose queues may move then
  std::size_t waiting_ = 0;
  double scale_ = 1;
  std::optional<FleetLimits> fleet_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace orchidgw::limits
