// The limits station on a query's path: it lets a query in, has it wait its turn, or refuses it with a reason
// and a time to come back. It owns the state of all routes and of the queries that are under their limits. No
// I/O, no clock: each call is given the time, which never runs backwards. Without a file in force it keeps
// nothing and lets everything in.
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

// A query as the limits see it.
struct Arrival {
  QueryId id = 0;
  int class_index = 0;
  std::string_view tenant;
  std::string_view table;
  bool keyed = false;
  TimeUs time_budget = 0;
};

struct Verdict {
  enum class Kind { kLetIn, kWait, kRefuse };
  Kind kind = Kind::kLetIn;
  Reason reason = Reason::kNone;  // of kWait and kRefuse
  TimeUs retry_after = 0;         // of kRefuse; 0: no advice
};

// A query whose wait is over.
struct Release {
  QueryId id = 0;
  Verdict verdict;
};

class Limiter {
 public:
  Limiter(const Settings& settings, std::uint64_t seed);

  // From now on. Queries under way keep the limits with which they began; counts carry over by route name.
  void put_in_force(TimeUs now, std::shared_ptr<const LimitSet> set);
  const LimitSet* in_force() const { return set_.get(); }
  // Scales all rates and bounds on queries under way, above 0 to 1; a reduced service level does so.
  void set_scale(TimeUs now, double scale);

  // What a fleet leaves of limits that it divides, from now on.
  void set_fleet(TimeUs now, FleetLimits fleet);
  FleetUse fleet_use(TimeUs now) const;  // of those limits, by route

  Verdict admit(TimeUs now, const Arrival& arrival);
  // The whole time of a query that is under limits: its budget or the route's time-out, the smaller.
  TimeUs time_for(QueryId id, TimeUs time_budget) const;
  std::shared_ptr<const QueryLimits> pass_of(QueryId id) const;  // null: under none
  Reason forbidden(QueryId id) const;                            // why it got no further attempt

  // The next query whose wait is over by now; each comes once.
  std::optional<Release> next_release(TimeUs now);
  std::optional<TimeUs> next_due() const;

  void attempt_sent(TimeUs now, QueryId id);
  // `expected`: how long its engine should have taken, 0 unknown.
  void attempt_ended(TimeUs now, QueryId id, OutcomeKind kind, TimeUs latency, TimeUs expected);
  // Nothing of the query is anywhere any more, or its client left while it waited.
  void over(TimeUs now, QueryId id);

  std::size_t waiting() const { return waiting_; }
  std::size_t under_limits() const { return queries_.size(); }
  // In the order of the file; routes that are gone but still hold queries are left out.
  std::vector<std::shared_ptr<const RouteState>> route_states() const;

 private:
  struct Entry {
    std::shared_ptr<Pass> pass;
    int class_index = 0;
    bool waits = false;
    bool under_way = false;
    Reason waits_for = Reason::kNone;
    TimeUs hold_until = 0;
    TimeUs let_in_at = 0;
  };
  using Wake = std::pair<TimeUs, std::uint64_t>;

  std::shared_ptr<RouteState> state_for(const std::string& name);
  void set_all_terms(TimeUs now);
  Verdict enter(TimeUs now, QueryId id, Entry& entry);
  Verdict wait(TimeUs now, QueryId id, Entry& entry, Reason reason);
  Verdict refuse(RouteState& state, Reason reason, TimeUs retry_after) const;
  void let_in(TimeUs now, Entry& entry);
  TimeUs hold_end(TimeUs now, const Entry& entry, TimeUs time_budget) const;
  TimeUs come_back_in(TimeUs now, const RouteState& state) const;
  void schedule(TimeUs now, const std::shared_ptr<RouteState>& state);
  void leave_line(Entry& entry, QueryId id);
  void drop_gone(RouteState& state);
  std::optional<Release> release_due(TimeUs now);
  std::optional<Release> release_expired(TimeUs now);

  Settings settings_;
  std::uint64_t seed_;
  std::shared_ptr<const LimitSet> set_;
  std::shared_ptr<RetryBudget> overall_;
  std::unordered_map<std::string, std::shared_ptr<RouteState>> states_;
  std::vector<std::unique_ptr<LatencyQuantiles>> latencies_;  // by class
  std::unordered_map<QueryId, Entry> queries_;
  std::set<std::pair<TimeUs, QueryId>> expiries_;      // of those that wait
  std::map<Wake, std::shared_ptr<RouteState>> wakes_;  // lines to be looked at
  std::size_t waiting_ = 0;
  double scale_ = 1;
  std::optional<FleetLimits> fleet_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace orchidgw::limits
