// One ladder of service levels: which level is active, and why. Levels are entered one at a time, each once
// its `enter` condition has held for the stated time. A level is left by a trial that admits a growing share
// of the shed queries and watches the signals during each step. Hysteresis comes from hold times and from
// separate thresholds for entering and leaving; the number of changes in a window is limited whatever the
// signals do. No I/O, no clock.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "service_level/level.h"
#include "service_level/meters.h"

namespace orchidgw::service_level {

// Tracks for how long the comparisons of a condition have been true.
class ConditionTracker {
 public:
  explicit ConditionTracker(const Condition& condition);  // `condition` must outlive the tracker

  // `credit`: the time in microseconds that this sample adds to the hold time. `unknown_holds`: the result of
  // a comparison whose signal has no value.
  void sample(TimeUs now, TimeUs credit, const SignalView& view, bool unknown_holds);
  bool holds() const { return holds_; }
  void reset();                // starts the hold times anew
  std::string reason() const;  // the comparisons that hold, with their values
  // Ratio by which a signal is past its threshold, 1 at the threshold: the highest of all comparisons. 0: no
  // value, or a threshold of 0.
  double excess() const;

 private:
  const Condition* condition_;
  std::vector<ConditionTracker> parts_;
  TimeUs held_for_ = 0;
  std::optional<double> last_value_;
  bool holds_ = false;
};

// A change of level, or an event at an unchanged level.
struct LadderEvent {
  std::string from;
  std::string to;
  std::string reason;
  TimeUs stayed = 0;   // time in `from` so far, microseconds
  bool trial = false;  // `to` is `from`: a trial began, went on or failed, or an override expired
};

class Ladder {
 public:
  // `levels`: lowest first; they must outlive the ladder.
  Ladder(std::vector<const Level*> levels, const Trial& trial, const ChangeRateLimit& changes);

  // Reads the signals once and makes at most one change. The first sample only sets the time.
  std::optional<LadderEvent> sample(TimeUs now, const SignalView& view);

  // The highest active level; null: full service.
  const Level* level() const { return position_ == 0 ? nullptr : levels_[position_ - 1]; }
  std::size_t active_level_count() const { return position_; }  // how many levels are active
  TimeUs level_since() const { return level_since_; }
  // Share of the queries that the highest active level sheds which a trial admits; 0 without a trial.
  double admitted_share() const;
  std::uint64_t change_count() const { return change_count_; }

  // An operator's override: stays at `level` until then, whatever the signals say. Ignores a name that this
  // ladder lacks.
  void override_level(const std::string& level, TimeUs until);
  // After a reload, takes the state of the ladder before it: a level of the same name stays active, with the
  // time that it has been so.
  void adopt_state(const Ladder& before);

 private:
  enum class Phase { kSteady, kTrial };

  std::optional<LadderEvent> apply_override(TimeUs now);
  std::optional<LadderEvent> enter_next_level(TimeUs now);
  std::optional<LadderEvent> consider_leaving(TimeUs now);
  std::optional<LadderEvent> continue_trial(TimeUs now);
  LadderEvent move_to(TimeUs now, std::size_t to, std::string reason);
  LadderEvent trial_event(TimeUs now, std::string reason) const;
  bool may_change(TimeUs now);  // within the change limit; drops the times of changes before its window
  const std::string& name_at(std::size_t position) const;
  std::optional<std::size_t> position_of(const std::string& name) const;

  std::vector<const Level*> levels_;
  Trial trial_;
  ChangeRateLimit change_limit_;
  std::vector<ConditionTracker> enter_, leave_;  // by level
  std::size_t position_ = 0;                     // of the highest active level, from 1; 0: full service
  TimeUs level_since_ = 0;
  TimeUs last_sample_ = 0;
  Phase phase_ = Phase::kSteady;
  std::size_t trial_part_ = 0;  // index in the trial's parts
  TimeUs trial_part_since_ = 0;
  TimeUs longest_stay_from_ = 0;  // the longest stay counts from here: the entry, or the last failed trial
  TimeUs next_trial_at_ = 0;
  int failed_trials_ = 0;  // in a row
  double excess_at_entry_ = 0;
  std::vector<TimeUs> barred_until_;  // by level: not entered before, as it did not help
  std::vector<int> unhelpful_stays_;  // by level, in a row
  std::deque<TimeUs> change_times_;   // within the window of the change limit
  std::uint64_t change_count_ = 0;
  std::string override_level_;
  TimeUs override_until_ = 0;  // 0: no override
};

}  // namespace orchidgw::service_level
