// One ladder of levels: which level holds now, and why. Entered one level at a time when a condition has held
// for its time; left by a trial that lets a part of the shed work in, watches, then more. Hysteresis is by
// time and by two thresholds; the number of changes in a window is bounded whatever the signals do. No I/O,
// no clock.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "service_level/level.h"
#include "service_level/meters.h"

namespace orchidgw::service_level {

// The time for which a condition's comparisons have held.
class Held {
 public:
  explicit Held(const Condition& condition);

  // `credit`: the time that this sample stands for. `unknown_holds`: what a signal that can't be told counts
  // as.
  void sample(TimeUs now, TimeUs credit, const SignalView& view, bool unknown_holds);
  bool holds() const { return holds_; }
  void forget();
  std::string why() const;  // the comparisons that hold, with their figures
  double excess() const;    // how far past its threshold the first one that holds is, 1 at the threshold

 private:
  const Condition* condition_;
  std::vector<Held> parts_;
  TimeUs held_ = 0;
  std::optional<double> seen_;
  bool holds_ = false;
};

struct Change {
  std::string from;
  std::string to;
  std::string reason;
  TimeUs stayed = 0;   // in `from`
  bool trial = false;  // no change of level: a trial began, went on or failed
};

class Ladder {
 public:
  // `levels` outlive it.
  Ladder(std::vector<const Level*> levels, const Trial& trial, const ChangeBound& changes);

  // One sample; at most one change. The first sample only sets the time.
  std::optional<Change> sample(TimeUs now, const SignalView& view);

  const Level* level() const { return at_ == 0 ? nullptr : levels_[at_ - 1]; }  // null: full service
  std::size_t height() const { return at_; }
  TimeUs since() const { return since_; }
  double let_in_part() const;  // of what the level sheds: above 0 in a trial
  std::uint64_t changes_made() const { return changes_made_; }

  // By hand, until then; a name that this ladder lacks is ignored.
  void set_by_hand(const std::string& level, TimeUs until);
  // From another ladder, where levels of the same name stay: the level with its stay.
  void take_over(const Ladder& before);

 private:
  enum class Phase { kStay, kTrial };

  std::optional<Change> by_hand(TimeUs now);
  std::optional<Change> go_up(TimeUs now);
  std::optional<Change> stay(TimeUs now);
  std::optional<Change> go_on_with_trial(TimeUs now);
  Change move_to(TimeUs now, std::size_t to, std::string reason);
  Change trial_news(TimeUs now, std::string reason) const;
  bool may_change(TimeUs now);
  const std::string& name_at(std::size_t at) const;
  std::optional<std::size_t> place_of(const std::string& name) const;

  std::vector<const Level*> levels_;
  Trial trial_;
  ChangeBound bound_;
  std::vector<Held> enter_, leave_;  // by level
  std::size_t at_ = 0;               // 0: full service
  TimeUs since_ = 0;
  TimeUs last_sample_ = 0;
  Phase phase_ = Phase::kStay;
  std::size_t part_ = 0;
  TimeUs part_since_ = 0;
  TimeUs stay_from_ = 0;  // the longest stay counts from here: the entry, or the last trial
  TimeUs next_trial_ = 0;
  int failed_ = 0;  // trials in a row
  double excess_at_entry_ = 0;
  std::vector<TimeUs> barred_until_;  // by level: it did not help
  std::vector<int> unhelpful_;        // by level, in a row
  std::deque<TimeUs> changes_;
  std::uint64_t changes_made_ = 0;
  std::string hand_level_;
  TimeUs hand_until_ = 0;
};

}  // namespace orchidgw::service_level
