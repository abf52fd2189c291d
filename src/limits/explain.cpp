#include "limits/explain.h"

#include <algorithm>
#include <utility>

#include "limits/check_bounds.h"

namespace orchidgw::limits {
namespace {

constexpr std::pair<OutcomeKind, const char*> kOutcomeNames[] = {
    {OutcomeKind::kError, "error"},
    {OutcomeKind::kFull, "full"},
    {OutcomeKind::kTimeout, "timeout"},
    {OutcomeKind::kConnectFailed, "connect_failed"},
    {OutcomeKind::kReset, "reset"}};

class Explainer {
 public:
  Explainer(const Settings& settings, const ClassSettings& c, const RouteLimits& route)
      : settings_(settings), class_(c), route_(route), bounds_(route.bounds) {}

  std::vector<ExplainedLimit> run() {
    timeouts();
    attempts();
    second_copy();
    admission();
    retry_budget();
    return std::move(out_);
  }

 private:
  void add(const char* field, std::string value, std::string set_by) {
    out_.push_back({field, std::move(value), std::move(set_by)});
  }

  std::string file_line(FileLocation place) const {
    return "file, line " + std::to_string(place.line) + ", for route '" + route_.name + "'";
  }

  template <typename T, typename Text>
  void add_bound(const char* field, const OptionalLocated<T>& bound, Text text, const char* default_value,
                 const char* set_by) {
    if (bound) return add(field, text(bound->value), file_line(bound->place));
    add(field, default_value, set_by);
  }

  void timeouts() {
    const std::string deadline = format_time(class_.deadline);
    add_bound("timeout", bounds_.timeout, format_time, deadline.c_str(), "settings: the class's deadline");
    add_bound("attempt_timeout", bounds_.attempt_timeout, format_time, "the time left", "nothing states one");
    add_bound("longest_hold", bounds_.longest_hold, format_time, "while its aim can be met",
              "the decision module");
  }

  void attempts() {
    const int max_attempts = settings_.limits.max_attempts;
    if (class_.effect == Effect::kAtMostOnce) {
      add("attempts", "1 that may have run", "rule 2: the class forbids repeats");
    } else if (bounds_.attempts && bounds_.attempts->value < max_attempts) {
      add("attempts", std::to_string(bounds_.attempts->value), file_line(bounds_.attempts->place));
    } else {
      add("attempts", std::to_string(max_attempts), "settings: policyLimits.maxAttempts");
    }
    if (class_.effect == Effect::kDeduplicated)
      add("repeat_window", format_time(class_.repeat_window), "rule 2: settings, the class's repeatWindow");
    add_bound("retry_on", bounds_.retry_on, outcome_list, "any end that the class allows", "rule 2");
    add_bound("back_off", bounds_.back_off, back_off_text, "none", "nothing states one");
  }

  static std::string outcome_list(const RetryOn& on) {
    std::string out;
    for (const auto& [kind, outcome_name] : kOutcomeNames)
      if (on.has(kind)) out += (out.empty() ? "" : ", ") + std::string(outcome_name);
    return out.empty() ? "never" : out;
  }

  static std::string back_off_text(const BackOff& b) {
    return format_time(b.first) + " x " + format_number(b.factor) + "^n, at most " + format_time(b.most) +
           ", jitter " + format_number(b.jitter);
  }

  static std::string copy_text(const SecondCopy& copy) {
    if (copy.when == SecondCopy::When::kNever) return "never";
    if (copy.when == SecondCopy::When::kDelay) return "after " + format_time(copy.delay);
    return "after quantile " + format_number(copy.quantile) + " of the class's latency";
  }

  void second_copy() {
    if (!settings_.limits.second_copies)
      return add("second_copy", "never", "settings: policyLimits.secondCopies");
    if (class_.effect == Effect::kAtMostOnce)
      return add("second_copy", "never", "rule 2: the class forbids repeats");
    add_bound("second_copy", bounds_.second_copy, copy_text, "when its engine is silent",
              "the decision module");
  }

  void admission() {
    const auto concurrency = [](const Concurrency& c) {
      return c.adaptive() ? std::to_string(c.least) + " to " + std::to_string(c.most) + ", by latency"
                          : std::to_string(c.most);
    };
    const auto rate = [](const Rate& r) {
      return format_number(r.per_second) + "/s, burst " + format_number(r.burst);
    };
    add_bound("concurrency", bounds_.concurrency, concurrency, "unbounded", "nothing states one");
    add_bound("rate", bounds_.rate, rate, "unbounded", "nothing states one");
    if (bounds_.rate || bounds_.concurrency)
      add_bound(
          "line", bounds_.queue_size, [](int n) { return std::to_string(n); }, "64", "the program");
  }

  void retry_budget() {
    const auto text = [](const RetryBudgetSettings& r) {
      return format_number(r.floor) + " + " + format_number(r.share) + " x queries in " +
             format_time(r.window);
    };
    add_bound("retries", bounds_.retries, text, "unbounded by the route", "nothing states one");
    const Rules& rules = settings_.rules;
    if (rules.has_retry_budget)
      add("retries of all routes",
          text({rules.retry_budget_share, rules.retry_budget_floor, rules.retry_budget_window}),
          "rule 7: settings, rules.extraRatio and budgetFree");
  }

  const Settings& settings_;
  const ClassSettings& class_;
  const RouteLimits& route_;
  const Bounds& bounds_;
  std::vector<ExplainedLimit> out_;
};

}  // namespace

Explanation explain(const Settings& settings, const LimitSet* set, int class_index, std::string_view tenant,
                    std::string_view table, bool keyed) {
  const ClassSettings& c = settings.classes.at(static_cast<std::size_t>(class_index));
  const RouteLimits none{kDefaultRoute, {}, {}};
  const RouteLimits& route = set != nullptr ? *set->find(class_index, tenant, table, keyed) : none;
  Explanation out{route.name, Explainer(settings, c, route).run()};
  if (set != nullptr && set->retries()) {
    const RetryBudgetSettings& r = set->retries()->value;
    out.limits.push_back(
        {"retries of all routes",
         format_number(r.floor) + " + " + format_number(r.share) + " x queries in " + format_time(r.window),
         "file, line " + std::to_string(set->retries()->place.line)});
  }
  return out;
}

}  // namespace orchidgw::limits
