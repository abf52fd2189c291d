#include "service_level/ladder.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace orchidgw::service_level {
namespace {

// A stalled event loop delivers the signals of a whole second in one batch, so that the time credited to one
// sample is capped.
constexpr TimeUs kMaxCredit = 500'000;
// A level with this share of the excess at its entry left after the least stay did not help.
constexpr double kNoHelpShare = 0.9;
constexpr int kMaxDoublings = 10;

TimeUs doubled_wait(TimeUs wait, int times, TimeUs longest) {
  for (int i = 0; i < std::min(times, kMaxDoublings); ++i) wait = std::min(2 * wait, longest);
  return std::min(wait, longest);
}

std::string format_value(Signal signal, double value) {
  std::ostringstream out;
  if (is_time(signal)) {
    out << value / 1000 << "ms";
  } else {
    out << value;
  }
  return out.str();
}

}  // namespace

ConditionTracker::ConditionTracker(const Condition& condition) : condition_(&condition) {
  for (const Condition& part : condition.parts) parts_.emplace_back(part);
}

void ConditionTracker::reset() {
  held_for_ = 0;
  holds_ = false;
  for (ConditionTracker& part : parts_) part.reset();
}

void ConditionTracker::sample(TimeUs now, TimeUs credit, const SignalView& view, bool unknown_holds) {
  const Condition& condition = *condition_;
  for (ConditionTracker& part : parts_) part.sample(now, credit, view, unknown_holds);
  const auto part_holds = [](const ConditionTracker& part) { return part.holds_; };
  if (condition.kind == Condition::Kind::kAll) {
    holds_ = std::all_of(parts_.begin(), parts_.end(), part_holds);
    return;
  }
  if (condition.kind == Condition::Kind::kAny) {
    holds_ = std::any_of(parts_.begin(), parts_.end(), part_holds);
    return;
  }
  last_value_ = view.value(now, condition.key);
  const bool met = last_value_ ? (condition.above ? *last_value_ > condition.threshold
                                                  : *last_value_ < condition.threshold)
                               : unknown_holds;
  held_for_ = met ? held_for_ + credit : 0;
  holds_ = met && held_for_ >= condition.hold;
}

std::string ConditionTracker::reason() const {
  if (condition_->kind != Condition::Kind::kComparison) {
    std::string out;
    for (const ConditionTracker& part : parts_)
      if (part.holds_) out += (out.empty() ? "" : ", ") + part.reason();
    return out;
  }
  const Condition& condition = *condition_;
  std::string out = name_of(condition.key.signal);
  if (!condition.key.class_name.empty()) out += " of class " + condition.key.class_name;
  if (!condition.key.tenant.empty()) out += " of tenant " + condition.key.tenant;
  if (!last_value_) return out + " is unknown: no data";
  return out + " " + format_value(condition.key.signal, *last_value_) +
         (condition.above ? " above " : " below ") + format_value(condition.key.signal, condition.threshold);
}

double ConditionTracker::excess() const {
  if (condition_->kind == Condition::Kind::kComparison) {
    const Condition& condition = *condition_;
    if (!last_value_ || condition.threshold <= 0) return 0;
    return condition.above ? *last_value_ / condition.threshold
                           : condition.threshold / std::max(*last_value_, 1e-9);
  }
  double highest = 0;
  for (const ConditionTracker& part : parts_) highest = std::max(highest, part.excess());
  return highest;
}

Ladder::Ladder(std::vector<const Level*> levels, const Trial& trial, const ChangeRateLimit& changes)
    : levels_(std::move(levels)), trial_(trial), change_limit_(changes) {
  for (const Level* level : levels_) {
    enter_.emplace_back(level->enter);
    leave_.emplace_back(level->leave);
  }
  barred_until_.assign(levels_.size(), 0);
  unhelpful_stays_.assign(levels_.size(), 0);
}

const std::string& Ladder::name_at(std::size_t position) const {
  static const std::string kFullName = kFullService;
  return position == 0 ? kFullName : levels_[position - 1]->name;
}

std::optional<std::size_t> Ladder::position_of(const std::string& name) const {
  for (std::size_t position = 0; position <= levels_.size(); ++position)
    if (name_at(position) == name) return position;
  return std::nullopt;
}

double Ladder::admitted_share() const { return phase_ == Phase::kTrial ? trial_.parts[trial_part_] : 0; }

void Ladder::override_level(const std::string& level, TimeUs until) {
  if (!position_of(level)) return;
  override_level_ = level;
  override_until_ = until;
}

void Ladder::adopt_state(const Ladder& before) {
  const auto position = position_of(before.name_at(before.position_));
  level_since_ = before.level_since_;
  last_sample_ = before.last_sample_;
  change_times_ = before.change_times_;
  change_count_ = before.change_count_;
  // A level that was removed or renamed: full service, and the hold times start anew.
  if (!position || *position == 0) return;
  position_ = *position;
  longest_stay_from_ = before.longest_stay_from_;
  next_trial_at_ = before.next_trial_at_;
  failed_trials_ = before.failed_trials_;
}

std::optional<LadderEvent> Ladder::sample(TimeUs now, const SignalView& view) {
  const TimeUs passed = last_sample_ == 0 ? 0 : std::max<TimeUs>(now - last_sample_, 0);
  if (last_sample_ == 0) level_since_ = longest_stay_from_ = now;
  last_sample_ = std::max(last_sample_, now);
  const TimeUs credit = std::min(passed, kMaxCredit);
  for (ConditionTracker& enter : enter_) enter.sample(now, credit, view, false);
  for (ConditionTracker& leave : leave_) leave.sample(now, credit, view, true);
  if (override_until_ > 0) return apply_override(now);
  if (auto up = enter_next_level(now)) return up;
  if (position_ == 0) return std::nullopt;
  return phase_ == Phase::kTrial ? continue_trial(now) : consider_leaving(now);
}

std::optional<LadderEvent> Ladder::apply_override(TimeUs now) {
  if (now >= override_until_) {
    override_until_ = 0;
    if (position_ == 0) return std::nullopt;
    phase_ = Phase::kSteady;  // from now on the level is left like any other
    return trial_event(now, "the time of the level set by hand is over");
  }
  const std::size_t to = *position_of(override_level_);
  if (to == position_) return std::nullopt;
  return move_to(now, to, "set by hand");
}

bool Ladder::may_change(TimeUs now) {
  while (!change_times_.empty() && change_times_.front() <= now - change_limit_.window)
    change_times_.pop_front();
  return static_cast<int>(change_times_.size()) < change_limit_.most;
}

// Enters one level at a time, whatever the conditions of the levels above it say.
std::optional<LadderEvent> Ladder::enter_next_level(TimeUs now) {
  if (position_ >= levels_.size() || !enter_[position_].holds()) return std::nullopt;
  if (now < barred_until_[position_] || !may_change(now)) return std::nullopt;
  // The effect of the level below must show before the next level can be entered.
  if (position_ > 0 && now - level_since_ < levels_[position_ - 1]->least_stay) return std::nullopt;
  excess_at_entry_ = enter_[position_].excess();
  return move_to(now, position_ + 1, enter_[position_].reason());
}

std::optional<LadderEvent> Ladder::consider_leaving(TimeUs now) {
  const Level& level = *levels_[position_ - 1];
  if (now - level_since_ < level.least_stay || now < next_trial_at_) return std::nullopt;
  const ConditionTracker& enter = enter_[position_ - 1];
  const bool leave_holds = leave_[position_ - 1].holds();
  const bool longest_stay_over = now - longest_stay_from_ >= level.longest_stay;
  // Guards against shedding that does not free capacity: a slowdown of the whole fleet continues regardless.
  const bool no_help = !leave_holds && excess_at_entry_ > 0 && enter.holds() &&
                       enter.excess() >= kNoHelpShare * excess_at_entry_;
  if (no_help) {
    int& times = unhelpful_stays_[position_ - 1];
    barred_until_[position_ - 1] = now + doubled_wait(trial_.wait, times, trial_.wait_most);
    ++times;
    if (!may_change(now)) return std::nullopt;
    return move_to(now, position_ - 1, "it did not help: " + enter.reason());
  }
  if (!leave_holds && !longest_stay_over) return std::nullopt;
  phase_ = Phase::kTrial;
  trial_part_ = 0;
  trial_part_since_ = now;
  return trial_event(
      now, leave_holds ? "trial: " + leave_[position_ - 1].reason() : "trial: the longest stay is over");
}

std::optional<LadderEvent> Ladder::continue_trial(TimeUs now) {
  if (enter_[position_ - 1].holds()) {
    phase_ = Phase::kSteady;
    next_trial_at_ = now + doubled_wait(trial_.wait, failed_trials_, trial_.wait_most);
    longest_stay_from_ = now;
    ++failed_trials_;
    return trial_event(now, "trial failed: " + enter_[position_ - 1].reason());
  }
  if (now - trial_part_since_ < trial_.step) return std::nullopt;
  if (trial_part_ + 1 < trial_.parts.size()) {
    ++trial_part_;
    trial_part_since_ = now;
    return trial_event(now, "trial: a larger share is admitted");
  }
  if (!may_change(now)) return std::nullopt;
  unhelpful_stays_[position_ - 1] = 0;
  return move_to(now, position_ - 1, "the trial went well");
}

LadderEvent Ladder::move_to(TimeUs now, std::size_t to, std::string reason) {
  LadderEvent change{name_at(position_), name_at(to), std::move(reason), now - level_since_, false};
  position_ = to;
  level_since_ = longest_stay_from_ = now;
  phase_ = Phase::kSteady;
  next_trial_at_ = 0;
  failed_trials_ = 0;
  may_change(now);  // drops the times that are out of the window
  change_times_.push_back(now);
  ++change_count_;
  for (ConditionTracker& enter : enter_) enter.reset();
  for (ConditionTracker& leave : leave_) leave.reset();
  return change;
}

LadderEvent Ladder::trial_event(TimeUs now, std::string reason) const {
  return {name_at(position_), name_at(position_), std::move(reason), now - level_since_, true};
}

}  // namespace orchidgw::service_level
