// The service-level station: the ladders of levels in force, what they shed, and what else they do to a
// query. It owns the meters and the ladders' state. No I/O, no clock. Without levels in the operators' file
// it does nothing.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "service_level/ladder.h"
#include "service_level/recorder.h"

namespace orchidgw::service_level {

// What all levels in force do to the queries of one tenant, together.
struct Combined {
  bool no_second_copies = false;
  bool no_further_attempts = false;
  TimeUs longest_hold = 0;
  double grants = 1;
  int priority = 0;
};

// A query as shedding sees it.
struct ShedQuery {
  std::string_view class_name;
  std::string_view tenant;
  std::string_view identity;  // the same for all tries of one request: its key, else its statement
  bool keyed_repeat = false;  // an earlier try of it may have run
};

// Read once a sample.
struct Readings {
  std::size_t line = 0;
  TimeUs line_age = 0;
  TimeUs loop_lag = 0;
  double buffers = 0;
};

inline constexpr TimeUs kSampleEvery = 250'000;

class ServiceLevel {
 public:
  // Null: no levels. Levels of the same name stay in force with their stay; a level that is gone is left.
  void put_in_force(TimeUs now, std::shared_ptr<const LevelFile> file);
  bool on() const { return file_ != nullptr; }
  Meters* meters() { return meters_.get(); }  // null: no levels

  // Of every ladder that has the level. "full" is of all.
  void set_by_hand(const std::string& level, TimeUs until);
  bool has_level(const std::string& level) const;

  // The changes since the last sample, in the order of the ladders.
  std::vector<Change> sample(TimeUs now, const Readings& readings);

  // The level that turns the query away; null: none does. A query that may have run by an earlier try is
  // never shed.
  const Level* sheds(const ShedQuery& query) const;
  bool sheds_any() const;
  // When who was shed may come back: spread by the query over the second half of `most`.
  TimeUs come_back_in(const ShedQuery& query, TimeUs most) const;

  Combined effects_for(std::string_view tenant) const;
  double limits_scale() const;  // of the general ladder
  // The query's limits under the levels that hold at each moment; `inner` may be null, and is given back
  // where there are no levels.
  std::shared_ptr<const QueryLimits> over(std::shared_ptr<const QueryLimits> inner, const std::string& tenant,
                                          TimeUs taken_at) const;

  // The general ladder's level, "full" without one; and the time spent in each so far, by ladder and level.
  std::string general_level() const;
  std::string status(TimeUs now) const;  // a line for each ladder
  const std::map<std::string, TimeUs>& time_in() const { return time_in_; }
  std::uint64_t changes_made() const;
  const Recorder* recorder() const { return recorder_.get(); }

 private:
  struct Scope {
    std::string tenant;  // empty: the general ladder
    std::unique_ptr<Ladder> ladder;
  };
  // What the queries' limits look at while they live, over reloads.
  struct InForce {
    std::map<std::string, Combined, std::less<>> by_tenant;
    Combined general;
  };
  class Leveled;

  void renew_effects();
  double roll(const ShedQuery& query, const Ladder& ladder) const;

  std::shared_ptr<const LevelFile> file_;
  std::unique_ptr<Meters> meters_;
  std::unique_ptr<Recorder> recorder_;
  std::vector<Scope> scopes_;
  std::shared_ptr<InForce> in_force_ = std::make_shared<InForce>();
  std::map<std::string, TimeUs> time_in_;
  TimeUs last_sample_ = 0;
};

// All signals that the conditions of a file name, each once.
std::vector<SignalKey> signals_of(const LevelFile& file);

}  // namespace orchidgw::service_level
