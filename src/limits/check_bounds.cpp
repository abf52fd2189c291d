#include "limits/check_bounds.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace orchidgw::limits {
namespace {

constexpr std::pair<OutcomeKind, const char*> kOutcomesThatMayHaveRun[] = {
    {OutcomeKind::kError, "error"}, {OutcomeKind::kTimeout, "timeout"}, {OutcomeKind::kReset, "reset"}};

class BoundsChecker {
 public:
  BoundsChecker(const Settings& settings, const RouteToCheck& route, std::vector<Fault>& faults)
      : settings_(settings), route_(route), own_(*route.own), effective_(route.effective), faults_(faults) {}

  void run() {
    check_times();
    check_attempts();
    check_second_copy();
    check_deduplication_window();
    check_at_most_once();
    check_admission();
  }

 private:
  template <typename T>
  void fault(const OptionalLocated<T>& stated_limit, const char* field, std::string why) {
    faults_.push_back({stated_limit->place, route_.path + "." + field, std::move(why)});
  }

  bool has_second_copy() const {
    return effective_.second_copy && effective_.second_copy->value.when != SecondCopy::When::kNever;
  }
  bool allows_retries() const { return !effective_.attempts || effective_.attempts->value > 1; }

  TimeUs longest_deadline() const {
    TimeUs longest = 0;
    for (const ClassSettings* c : route_.classes) longest = std::max(longest, c->deadline);
    return longest;
  }

  // A time beyond every class's deadline could never take effect, since clients do not wait that long.
  template <typename T>
  void check_within_deadline(const OptionalLocated<T>& time, const char* field) {
    const TimeUs longest = longest_deadline();
    if (time && longest > 0 && time->value > longest)
      fault(time, field, "longer than the clients' deadline of " + format_time(longest));
  }

  void check_times() {
    check_within_deadline(own_.timeout, "timeout");
    check_within_deadline(own_.attempt_timeout, "attempt_timeout");
    check_within_deadline(own_.longest_hold, "longest_hold");
    if (!effective_.timeout) return;
    const TimeUs timeout = effective_.timeout->value;
    const auto check_below_timeout = [&](const OptionalLocated<TimeUs>& bound,
                                         const OptionalLocated<TimeUs>& stated, const char* field) {
      if (!bound || bound->value < timeout) return;
      const auto& stated_limit = stated ? stated : own_.timeout;
      if (stated_limit)
        fault(stated_limit, stated ? field : "timeout",
              std::string(field) + " is not shorter than the timeout");
    };
    check_below_timeout(effective_.attempt_timeout, own_.attempt_timeout, "attempt_timeout");
    check_below_timeout(effective_.longest_hold, own_.longest_hold, "longest_hold");
  }

  void check_attempts() {
    if (own_.attempts && own_.attempts->value > settings_.limits.max_attempts)
      fault(own_.attempts, "attempts",
            "over the settings' most of " + std::to_string(settings_.limits.max_attempts));
    if (own_.back_off) {
      const BackOff& b = own_.back_off->value;
      if (b.first > b.most) fault(own_.back_off, "back_off.first", "longer than back_off.most");
      const TimeUs time_limit = effective_.timeout ? effective_.timeout->value : longest_deadline();
      if (time_limit > 0 && b.first >= time_limit)
        fault(own_.back_off, "back_off.first",
              "no other attempt could begin within " + format_time(time_limit));
      if (!allows_retries()) fault(own_.back_off, "back_off", "has no effect: there is one attempt only");
    }
    if (own_.retry_on && !allows_retries())
      fault(own_.retry_on, "retry_on", "has no effect: there is one attempt only");
    if (own_.retries && !allows_retries())
      fault(own_.retries, "retries", "has no effect: there is one attempt only");
  }

  void check_second_copy() {
    if (!has_second_copy()) return;
    const auto& stated_limit = own_.second_copy ? own_.second_copy : effective_.second_copy;
    const bool stated_here = own_.second_copy.has_value();
    if (stated_here && !settings_.limits.second_copies)
      fault(stated_limit, "second_copy", "the settings forbid two attempts in flight");
    if (!allows_retries()) fault(stated_limit, "second_copy", "has no effect: there is one attempt only");
    for (const ClassSettings* c : route_.classes) {
      if (c->effect == Effect::kAtMostOnce)
        fault(stated_limit, "second_copy", "the class '" + c->name + "' forbids repeats");
      if (c->serial_by_key)
        fault(stated_limit, "second_copy", "the class '" + c->name + "' keeps an order: no copies");
    }
    const SecondCopy& copy = stated_limit->value;
    if (!stated_here) return;
    if (copy.when == SecondCopy::When::kDelay && effective_.timeout &&
        copy.delay >= effective_.timeout->value)
      fault(stated_limit, "second_copy.after", "not before the timeout");
    if (copy.when == SecondCopy::When::kDelay && copy.delay >= longest_deadline() && longest_deadline() > 0)
      fault(stated_limit, "second_copy.after", "not before the clients' deadline");
    if (copy.at_most > 0 && copy.at_least > copy.at_most)
      fault(stated_limit, "second_copy.at_least", "longer than second_copy.at_most");
  }

  // A keyed query that may have run is repeated only within the deduplication window of its class.
  void check_deduplication_window() {
    for (const ClassSettings* c : route_.classes) {
      if (c->effect != Effect::kDeduplicated || !allows_retries()) continue;
      const std::string window = " the window of " + format_time(c->repeat_window) +
                                 " in which engines drop repeats of class '" + c->name + "'";
      if (own_.back_off && own_.back_off->value.first >= c->repeat_window)
        fault(own_.back_off, "back_off.first", "another attempt would come after" + window);
      if (own_.attempt_timeout && own_.attempt_timeout->value >= c->repeat_window)
        fault(own_.attempt_timeout, "attempt_timeout", "another attempt would come after" + window);
      if (!own_.second_copy) continue;
      const SecondCopy& copy = own_.second_copy->value;
      if (copy.when == SecondCopy::When::kDelay && copy.delay >= c->repeat_window)
        fault(own_.second_copy, "second_copy.after", "the copy would come after" + window);
      if (copy.when == SecondCopy::When::kQuantile && (copy.at_most == 0 || copy.at_most >= c->repeat_window))
        fault(own_.second_copy, "second_copy.at_most", "needed, below" + window);
      if (copy.when != SecondCopy::When::kNever && c->repeat_scope != RepeatScope::kAll)
        fault(own_.second_copy, "second_copy",
              "engines drop repeats of class '" + c->name + "' only within a part of the fleet");
    }
  }

  void check_at_most_once() {
    if (!own_.retry_on || !allows_retries()) return;
    for (const ClassSettings* c : route_.classes) {
      if (c->effect != Effect::kAtMostOnce) continue;
      for (const auto& [kind, name] : kOutcomesThatMayHaveRun)
        if (own_.retry_on->value.has(kind))
          fault(own_.retry_on, "retry_on",
                std::string("the class '") + c->name + "' forbids repeats: after '" + name +
                    "' it may have run");
    }
  }

  void check_admission() {
    if (own_.concurrency && own_.concurrency->value.least > own_.concurrency->value.most)
      fault(own_.concurrency, "concurrency.least", "above concurrency.most");
    if (own_.queue_size && !effective_.rate && !effective_.concurrency)
      fault(own_.queue_size, "line", "has no effect: neither a rate nor a concurrency is stated");
  }

  const Settings& settings_;
  const RouteToCheck& route_;
  const Bounds& own_;
  const Bounds& effective_;
  std::vector<Fault>& faults_;
};

}  // namespace

void check_bounds(const Settings& settings, const RouteToCheck& route, std::vector<Fault>& faults) {
  BoundsChecker(settings, route, faults).run();
}

std::string format_number(double number) {
  std::ostringstream out;
  out << number;
  return out.str();
}

std::string format_time(TimeUs time) {
  if (time % 1'000'000 == 0) return std::to_string(time / 1'000'000) + "s";
  if (time % 1'000 == 0) return std::to_string(time / 1'000) + "ms";
  return std::to_string(time) + "us";
}

}  // namespace orchidgw::limits
