#include "limits/explain.h"

#include <algorithm>
#include <utility>

#include "limits/check_bounds.h"

namespace orchidgw::limits {
namespace {

constexpr std::pair<OutcomeKind, const char*> kKinds[] = {{OutcomeKind::kError, "error"},
                                                          {OutcomeKind::kFull, "full"},
                                                          {OutcomeKind::kTimeout, "timeout"},
                                                          {OutcomeKind::kConnectFailed, "connect_failed"},
                                                          {OutcomeKind::kReset, "reset"}};

class Explainer {
 public:
  Explainer(const Settings& settings, const ClassSettings& c, const RouteLimits& route)
      : settings_(settings), class_(c), route_(route), b_(route.bounds) {}

  std::vector<Explained> run() {
    times();
    attempts();
    copies();
    admission();
    budget();
    return std::move(out_);
  }

 private:
  void add(const char* field, std::string value, std::string set_by) {
    out_.push_back({field, std::move(value), std::move(set_by)});
  }

  std::string line(Place place) const {
    return "file, line " + std::to_string(place.line) + ", for route '" + route_.name + "'";
  }

  template <typename T, typename Text>
  void stated(const char* field, const Maybe<T>& bound, Text text, const char* otherwise,
              const char* set_by) {
    if (bound) return add(field, text(bound->value), line(bound->place));
    add(field, otherwise, set_by);
  }

  void times() {
    const std::string deadline = time_text(class_.deadline);
    stated("timeout", b_.timeout, time_text, deadline.c_str(), "settings: the class's deadline");
    stated("attempt_timeout", b_.attempt_timeout, time_text, "the time left", "nothing states one");
    stated("longest_hold", b_.longest_hold, time_text, "while its aim can be met", "the decision module");
  }

  void attempts() {
    const int most = settings_.limits.max_attempts;
    if (class_.effect == Effect::kAtMostOnce) {
      add("attempts", "1 that may have run", "rule 2: the class forbids repeats");
    } else if (b_.attempts && b_.attempts->value < most) {
      add("attempts", std::to_string(b_.attempts->value), line(b_.attempts->place));
    } else {
      add("attempts", std::to_string(most), "settings: policyLimits.maxAttempts");
    }
    if (class_.effect == Effect::kDeduplicated)
      add("repeat_window", time_text(class_.repeat_window), "rule 2: settings, the class's repeatWindow");
    stated("retry_on", b_.retry_on, words_of, "any end that the class allows", "rule 2");
    stated("back_off", b_.back_off, back_off_text, "none", "nothing states one");
  }

  static std::string words_of(const RetryOn& on) {
    std::string out;
    for (const auto& [kind, word] : kKinds)
      if (on.has(kind)) out += (out.empty() ? "" : ", ") + std::string(word);
    return out.empty() ? "never" : out;
  }

  static std::string back_off_text(const BackOff& b) {
    return time_text(b.first) + " x " + short_number(b.factor) + "^n, at most " + time_text(b.most) +
           ", jitter " + short_number(b.jitter);
  }

  static std::string copy_text(const SecondCopy& copy) {
    if (copy.when == SecondCopy::When::kNever) return "never";
    if (copy.when == SecondCopy::When::kDelay) return "after " + time_text(copy.delay);
    return "after quantile " + short_number(copy.quantile) + " of the class's latency";
  }

  void copies() {
    if (!settings_.limits.second_copies)
      return add("second_copy", "never", "settings: policyLimits.secondCopies");
    if (class_.effect == Effect::kAtMostOnce)
      return add("second_copy", "never", "rule 2: the class forbids repeats");
    stated("second_copy", b_.second_copy, copy_text, "when its engine is silent", "the decision module");
  }

  void admission() {
    const auto concurrency = [](const Concurrency& c) {
      return c.adaptive() ? std::to_string(c.least) + " to " + std::to_string(c.most) + ", by latency"
                          : std::to_string(c.most);
    };
    const auto rate = [](const Rate& r) {
      return short_number(r.per_second) + "/s, burst " + short_number(r.burst);
    };
    stated("concurrency", b_.concurrency, concurrency, "unbounded", "nothing states one");
    stated("rate", b_.rate, rate, "unbounded", "nothing states one");
    if (b_.rate || b_.concurrency)
      stated(
          "line", b_.line, [](int n) { return std::to_string(n); }, "64", "the program");
  }

  void budget() {
    const auto text = [](const RetryShare& r) {
      return short_number(r.floor) + " + " + short_number(r.share) + " x queries in " + time_text(r.window);
    };
    stated("retries", b_.retries, text, "unbounded by the route", "nothing states one");
    const Rules& rules = settings_.rules;
    if (rules.attempts_rationed)
      add("retries of all routes", text({rules.extra_share, rules.extra_free, rules.extra_window}),
          "rule 7: settings, rules.extraRatio and budgetFree");
  }

  const Settings& settings_;
  const ClassSettings& class_;
  const RouteLimits& route_;
  const Bounds& b_;
  std::vector<Explained> out_;
};

}  // namespace

Explanation explain(const Settings& settings, const LimitSet* set, int class_index, std::string_view tenant,
                    std::string_view table, bool keyed) {
  const ClassSettings& c = settings.classes.at(static_cast<std::size_t>(class_index));
  const RouteLimits none{kDefaultRoute, {}, {}};
  const RouteLimits& route = set != nullptr ? *set->find(class_index, tenant, table, keyed) : none;
  Explanation out{route.name, Explainer(settings, c, route).run()};
  if (set != nullptr && set->retries()) {
    const RetryShare& r = set->retries()->value;
    out.limits.push_back(
        {"retries of all routes",
         short_number(r.floor) + " + " + short_number(r.share) + " x queries in " + time_text(r.window),
         "file, line " + std::to_string(set->retries()->place.line)});
  }
  return out;
}

}  // namespace orchidgw::limits
