// Reduced service levels: decides which levels are active, which queries they shed, and what else they do to
// a query. Owns the meters and the state of the ladders. No I/O, no clock. Does nothing without levels in the
// operator file.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "service_level/ladder.h"
#include "service_level/recorder.h"

namespace orchidgw::service_level {

// The effects of all active levels together on the queries of one tenant.
struct CombinedEffects {
  bool no_second_copies = false;
  bool no_further_attempts = false;
  TimeUs longest_hold = 0;  // the shortest of the levels'; 0: none
  double grants = 1;        // product of the levels' factors
  int priority = 0;         // sum of the levels'
};

// What shedding needs to know of a query.
struct ShedCandidate {
  std::string_view class_name;
  std::string_view tenant;
  std::string_view identity;  // the same for all retries of a request: its key, else its statement
  bool keyed_retry = false;   // a retry with a key: an earlier try may have run
};

// What the caller measures for each sample.
struct Readings {
  std::size_t queue_length = 0;  // queries of which no attempt was sent yet
  TimeUs queue_age = 0;          // wait of the oldest of them
  TimeUs loop_lag = 0;           // how late the event loop's timers fire
  double buffers = 0;            // share of the buffer memory in use
};

inline constexpr TimeUs kSampleInterval = 250'000;  // microseconds

class ServiceLevel {
 public:
  // Replaces the configuration; null: no levels. An active level whose name the new file has too stays
  // active, with the time that it has been so; one that the new file lacks is left.
  void activate(TimeUs now, std::shared_ptr<const LevelFile> file);
  bool has_levels() const { return file_ != nullptr; }
  Meters* meters() { return meters_.get(); }  // null: no levels

  // An operator's override until then, in each ladder that has the level; all have "full".
  void override_level(const std::string& level, TimeUs until);
  bool has_level(const std::string& level) const;

  // Takes a sample, to be called each kSampleInterval. Returns the events of this sample, in the order of the
  // ladders.
  std::vector<LadderEvent> sample(TimeUs now, const Readings& readings);

  // The level that sheds the query; null: none. A query that may have run in an earlier try is never shed:
  // its refusal would tell the client that it did not run.
  const Level* shedding_level(const ShedCandidate& query) const;
  bool any_level_active() const;  // whether any level is active
  // The time after which the client of a shed query may retry: spread by the query over the second half of
  // `most`, so that clients don't return all at once.
  TimeUs retry_after(const ShedCandidate& query, TimeUs most) const;

  CombinedEffects effects_for(std::string_view tenant) const;
  double limits_scale() const;  // factor on the limits, from the general ladder's active levels
  // Wraps the query's limits so that the levels active at each call apply too. `inner` may be null; it is
  // returned as it is where there are no levels.
  std::shared_ptr<const QueryLimits> wrap_query_limits(std::shared_ptr<const QueryLimits> inner,
                                                       const std::string& tenant, TimeUs accepted_at) const;

  std::string general_level() const;     // the general ladder's level; "full": full service
  std::string status(TimeUs now) const;  // a line for each ladder
  // Microseconds in each level so far; the key is the level's name, in a tenant's ladder "tenant.level".
  const std::map<std::string, TimeUs>& time_by_level() const { return time_by_level_; }
  std::uint64_t change_count() const;
  const Recorder* recorder() const { return recorder_.get(); }

 private:
  struct Scope {
    std::string tenant;  // empty: the general ladder
    std::unique_ptr<Ladder> ladder;
  };
  // Shared with the wrapped limits of queries, which live on across reloads.
  struct ActiveEffects {
    std::map<std::string, CombinedEffects, std::less<>> by_tenant;
    CombinedEffects general;
  };
  class LevelQueryLimits;

  void recompute_effects();
  // In [0, 1): the query is shed when it is below the share to shed.
  double shed_draw(const ShedCandidate& query, const Ladder& ladder) const;

  std::shared_ptr<const LevelFile> file_;
  std::unique_ptr<Meters> meters_;
  std::unique_ptr<Recorder> recorder_;
  std::vector<Scope> scopes_;
  std::shared_ptr<ActiveEffects> active_effects_ = std::make_shared<ActiveEffects>();
  std::map<std::string, TimeUs> time_by_level_;
  TimeUs last_sample_ = 0;
};

// The distinct signals that the conditions of a file name.
std::vector<SignalKey> signals_of(const LevelFile& file);

}  // namespace orchidgw::service_level
