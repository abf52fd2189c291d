#include "service_level/ladder.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace orchidgw::service_level {
namespace {

// A stalled loop brings a second's signals in one batch: a sample stands for no more than this.
constexpr TimeUs kCreditMost = 500'000;
constexpr double kNoHelp =
    0.9;  // of the excess at entry: with that left after the least stay, it did not help
constexpr int kDoublingsMost = 10;

TimeUs doubled(TimeUs wait, int times, TimeUs most) {
  for (int i = 0; i < std::min(times, kDoublingsMost); ++i) wait = std::min(2 * wait, most);
  return std::min(wait, most);
}

std::string figure(Signal signal, double value) {
  std::ostringstream out;
  if (is_time(signal)) {
    out << value / 1000 << "ms";
  } else {
    out << value;
  }
  return out.str();
}

}  // namespace

Held::Held(const Condition& condition) : condition_(&condition) {
  for (const Condition& part : condition.parts) parts_.emplace_back(part);
}

void Held::forget() {
  held_ = 0;
  holds_ = false;
  for (Held& part : parts_) part.forget();
}

void Held::sample(TimeUs now, TimeUs credit, const SignalView& view, bool unknown_holds) {
  const Condition& c = *condition_;
  for (Held& part : parts_) part.sample(now, credit, view, unknown_holds);
  const auto one = [](const Held& part) { return part.holds_; };
  if (c.kind == Condition::Kind::kAll) {
    holds_ = std::all_of(parts_.begin(), parts_.end(), one);
    return;
  }
  if (c.kind == Condition::Kind::kAny) {
    holds_ = std::any_of(parts_.begin(), parts_.end(), one);
    return;
  }
  seen_ = view.value(now, c.key);
  const bool so = seen_ ? (c.above ? *seen_ > c.threshold : *seen_ < c.threshold) : unknown_holds;
  held_ = so ? held_ + credit : 0;
  holds_ = so && held_ >= c.hold;
}

std::string Held::why() const {
  if (condition_->kind != Condition::Kind::kLeaf) {
    std::string out;
    for (const Held& part : parts_)
      if (part.holds_) out += (out.empty() ? "" : ", ") + part.why();
    return out;
  }
  const Condition& c = *condition_;
  std::string out = name_of(c.key.signal);
  if (!c.key.class_name.empty()) out += " of class " + c.key.class_name;
  if (!c.key.tenant.empty()) out += " of tenant " + c.key.tenant;
  if (!seen_) return out + " can't be told: nothing comes";
  return out + " " + figure(c.key.signal, *seen_) + (c.above ? " above " : " below ") +
         figure(c.key.signal, c.threshold);
}

double Held::excess() const {
  if (condition_->kind == Condition::Kind::kLeaf) {
    const Condition& c = *condition_;
    if (!seen_ || c.threshold <= 0) return 0;
    return c.above ? *seen_ / c.threshold : c.threshold / std::max(*seen_, 1e-9);
  }
  double most = 0;
  for (const Held& part : parts_) most = std::max(most, part.excess());
  return most;
}

Ladder::Ladder(std::vector<const Level*> levels, const Trial& trial, const ChangeBound& changes)
    : levels_(std::move(levels)), trial_(trial), bound_(changes) {
  for (const Level* level : levels_) {
    enter_.emplace_back(level->enter);
    leave_.emplace_back(level->leave);
  }
  barred_until_.assign(levels_.size(), 0);
  unhelpful_.assign(levels_.size(), 0);
}

const std::string& Ladder::name_at(std::size_t at) const {
  static const std::string kFull = kFullService;
  return at == 0 ? kFull : levels_[at - 1]->name;
}

std::optional<std::size_t> Ladder::place_of(const std::string& name) const {
  for (std::size_t at = 0; at <= levels_.size(); ++at)
    if (name_at(at) == name) return at;
  return std::nullopt;
}

double Ladder::let_in_part() const { return phase_ == Phase::kTrial ? trial_.parts[part_] : 0; }

void Ladder::set_by_hand(const std::string& level, TimeUs until) {
  if (!place_of(level)) return;
  hand_level_ = level;
  hand_until_ = until;
}

void Ladder::take_over(const Ladder& before) {
  const auto at = place_of(before.name_at(before.at_));
  since_ = before.since_;
  last_sample_ = before.last_sample_;
  changes_ = before.changes_;
  changes_made_ = before.changes_made_;
  // A level that is gone or has another name: full service, and the entries' times begin anew.
  if (!at || *at == 0) return;
  at_ = *at;
  stay_from_ = before.stay_from_;
  next_trial_ = before.next_trial_;
  failed_ = before.failed_;
}

std::optional<Change> Ladder::sample(TimeUs now, const SignalView& view) {
  const TimeUs passed = last_sample_ == 0 ? 0 : std::max<TimeUs>(now - last_sample_, 0);
  if (last_sample_ == 0) since_ = stay_from_ = now;
  last_sample_ = std::max(last_sample_, now);
  const TimeUs credit = std::min(passed, kCreditMost);
  for (Held& enter : enter_) enter.sample(now, credit, view, false);
  for (Held& leave : leave_) leave.sample(now, credit, view, true);
  if (hand_until_ > 0) return by_hand(now);
  if (auto up = go_up(now)) return up;
  if (at_ == 0) return std::nullopt;
  return phase_ == Phase::kTrial ? go_on_with_trial(now) : stay(now);
}

std::optional<Change> Ladder::by_hand(TimeUs now) {
  if (now >= hand_until_) {
    hand_until_ = 0;
    if (at_ == 0) return std::nullopt;
    phase_ = Phase::kStay;  // it is left as any other
    return trial_news(now, "the time of the level set by hand is over");
  }
  const std::size_t to = *place_of(hand_level_);
  if (to == at_) return std::nullopt;
  return move_to(now, to, "set by hand");
}

bool Ladder::may_change(TimeUs now) {
  while (!changes_.empty() && changes_.front() <= now - bound_.window) changes_.pop_front();
  return static_cast<int>(changes_.size()) < bound_.most;
}

// One level at a time, whatever the conditions of those above say.
std::optional<Change> Ladder::go_up(TimeUs now) {
  if (at_ >= levels_.size() || !enter_[at_].holds()) return std::nullopt;
  if (now < barred_until_[at_] || !may_change(now)) return std::nullopt;
  // What the level below does must be seen before the next one may be wanted.
  if (at_ > 0 && now - since_ < levels_[at_ - 1]->least_stay) return std::nullopt;
  excess_at_entry_ = enter_[at_].excess();
  return move_to(now, at_ + 1, enter_[at_].why());
}

std::optional<Change> Ladder::stay(TimeUs now) {
  const Level& level = *levels_[at_ - 1];
  if (now - since_ < level.least_stay || now < next_trial_) return std::nullopt;
  const Held& enter = enter_[at_ - 1];
  const bool calm = leave_[at_ - 1].holds();
  const bool long_enough = now - stay_from_ >= level.longest_stay;
  // Guards against shedding that frees nothing: a slowdown of the whole fleet goes on all the same.
  const bool no_help =
      !calm && excess_at_entry_ > 0 && enter.holds() && enter.excess() >= kNoHelp * excess_at_entry_;
  if (no_help) {
    int& times = unhelpful_[at_ - 1];
    barred_until_[at_ - 1] = now + doubled(trial_.wait, times, trial_.wait_most);
    ++times;
    if (!may_change(now)) return std::nullopt;
    return move_to(now, at_ - 1, "it did not help: " + enter.why());
  }
  if (!calm && !long_enough) return std::nullopt;
  phase_ = Phase::kTrial;
  part_ = 0;
  part_since_ = now;
  return trial_news(now, calm ? "trial: " + leave_[at_ - 1].why() : "trial: the longest stay is over");
}

std::optional<Change> Ladder::go_on_with_trial(TimeUs now) {
  if (enter_[at_ - 1].holds()) {
    phase_ = Phase::kStay;
    next_trial_ = now + doubled(trial_.wait, failed_, trial_.wait_most);
    stay_from_ = now;
    ++failed_;
    return trial_news(now, "trial failed: " + enter_[at_ - 1].why());
  }
  if (now - part_since_ < trial_.step) return std::nullopt;
  if (part_ + 1 < trial_.parts.size()) {
    ++part_;
    part_since_ = now;
    return trial_news(now, "trial: more is let in");
  }
  if (!may_change(now)) return std::nullopt;
  unhelpful_[at_ - 1] = 0;
  return move_to(now, at_ - 1, "the trial went well");
}

Change Ladder::move_to(TimeUs now, std::size_t to, std::string reason) {
  Change change{name_at(at_), name_at(to), std::move(reason), now - since_, false};
  at_ = to;
  since_ = stay_from_ = now;
  phase_ = Phase::kStay;
  next_trial_ = 0;
  failed_ = 0;
  may_change(now);  // forgets those that are past the window
  changes_.push_back(now);
  ++changes_made_;
  for (Held& enter : enter_) enter.forget();
  for (Held& leave : leave_) leave.forget();
  return change;
}

Change Ladder::trial_news(TimeUs now, std::string reason) const {
  return {name_at(at_), name_at(at_), std::move(reason), now - since_, true};
}

}  // namespace orchidgw::service_level
