#include "limits/check.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

#include "limits/check_bounds.h"
#include "limits/limit_set.h"

namespace orchidgw::limits {
namespace {

class Checker {
 public:
  Checker(const Settings& settings, const LimitFile& file, std::size_t max_routes)
      : settings_(settings), file_(file), max_routes_(max_routes) {}

  std::vector<Fault> run() {
    if (file_.routes.size() > max_routes_) {
      fault(file_.routes[max_routes_].place, "routes",
            "more routes than the memory limit allows: " + std::to_string(max_routes_) + " at most");
      return std::move(faults_);
    }
    check_names();
    for (std::size_t i = 0; i < file_.routes.size(); ++i) check_match(i);
    check_duplicate_matches();
    if (faults_.empty()) check_unreachable_routes();
    check_bounds_of_defaults();
    for (std::size_t i = 0; i < file_.routes.size(); ++i) check_route(i);
    check_retry_budgets();
    if (faults_.empty()) check_closed_classes();
    std::stable_sort(faults_.begin(), faults_.end(),
                     [](const Fault& a, const Fault& b) { return a.place.line < b.place.line; });
    return std::move(faults_);
  }

 private:
  void fault(FileLocation place, std::string path, std::string why) {
    faults_.push_back({place, std::move(path), std::move(why)});
  }

  static std::string path_of(std::size_t i, const char* field = "") {
    return "routes[" + std::to_string(i) + "]" + field;
  }

  const ClassSettings* find_class(const std::string& name) const {
    for (const ClassSettings& c : settings_.classes)
      if (c.name == name) return &c;
    return nullptr;
  }

  void check_names() {
    for (std::size_t i = 0; i < file_.routes.size(); ++i) {
      const Route& route = file_.routes[i];
      if (route.name == kDefaultRoute)
        fault(route.place, path_of(i, ".name"), "the name 'defaults' is taken");
      if (!by_name_.try_emplace(route.name, &route).second)
        fault(route.place, path_of(i, ".name"),
              "another route has this name: line " + std::to_string(by_name_[route.name]->place.line));
    }
    for (std::size_t i = 0; i < file_.routes.size(); ++i) {
      const Route& route = file_.routes[i];
      if (!route.like) continue;
      const auto it = by_name_.find(route.like->value);
      if (it == by_name_.end()) {
        fault(route.like->place, path_of(i, ".like"), "no route has the name '" + route.like->value + "'");
      } else if (it->second == &route) {
        fault(route.like->place, path_of(i, ".like"), "a route can't be like itself");
      } else if (it->second->like) {
        fault(route.like->place, path_of(i, ".like"),
              "one level only: '" + route.like->value + "' is like another route itself");
      }
    }
  }

  void check_match(std::size_t i) {
    const Match& match = file_.routes[i].match;
    if (match.class_name) {
      const ClassSettings* c = find_class(match.class_name->value);
      if (c == nullptr) {
        fault(match.class_name->place, path_of(i, ".match.class"),
              "the settings have no class '" + match.class_name->value + "'");
      } else if (c->effect == Effect::kDeduplicated && match.key_or_any() == KeyMatch::kAbsent) {
        fault(match.key->place, path_of(i, ".match.key"),
              "never matches: queries of class '" + c->name + "' always carry a key");
      }
    }
    if (!match.tenant || settings_.tenants.empty()) return;
    const auto has_name = [&](const TenantSettings& t) { return t.name == match.tenant->value; };
    if (std::none_of(settings_.tenants.begin(), settings_.tenants.end(), has_name))
      fault(match.tenant->place, path_of(i, ".match.tenant"),
            "the settings have no tenant '" + match.tenant->value + "'");
  }

  static std::string match_without_key(const Match& match) {
    const auto text = [](const OptionalLocated<std::string>& m) {
      return m ? "=" + m->value : std::string("*");
    };
    std::string out = text(match.class_name) + '\n' + text(match.tenant) + '\n';
    out += match.table ? (match.table->value.prefix ? "^" : "=") + match.table->value.text : std::string("*");
    return out;
  }

  // Finds routes that match the same queries: only their order in the file could decide between them.
  void check_duplicate_matches() {
    std::unordered_map<std::string, const Route*> seen;
    std::unordered_map<std::string, unsigned> keys;  // bit 0 any, 1 given, 2 absent
    for (const Route& route : file_.routes)
      keys[match_without_key(route.match)] |= 1U << static_cast<unsigned>(route.match.key_or_any());
    for (std::size_t i = 0; i < file_.routes.size(); ++i) {
      const Route& route = file_.routes[i];
      const std::string match = match_without_key(route.match);
      const auto key = static_cast<char>('0' + static_cast<int>(route.match.key_or_any()));
      const auto [it, inserted] = seen.try_emplace(match + '\n' + key, &route);
      if (!inserted)
        fault(route.place, path_of(i, ".match"),
              "never matches: route '" + it->second->name + "', line " +
                  std::to_string(it->second->place.line) + ", matches the same");
      if (route.match.key_or_any() == KeyMatch::kAny && keys[match] == 7U)
        fault(route.place, path_of(i, ".match"),
              "never matches: routes of the same match state the key as given and as absent");
    }
  }

  // Whether it matches all queries of the class and tenant that it states.
  bool ignores_table_and_key(const Match& match) const {
    return !match.table && match.key_or_any() == KeyMatch::kAny;
  }

  // Finds routes whose queries are all matched by more specific routes.
  void check_unreachable_routes() {
    std::unordered_set<std::string> fully_matched_pairs;    // class \n tenant, by routes that state both
    std::unordered_set<std::string> fully_matched_classes;  // for any tenant
    for (const Route& route : file_.routes) {
      if (!ignores_table_and_key(route.match) || !route.match.class_name) continue;
      if (route.match.tenant) {
        fully_matched_pairs.insert(route.match.class_name->value + '\n' + route.match.tenant->value);
      } else {
        fully_matched_classes.insert(route.match.class_name->value);
      }
    }
    const auto all_tenants_matched = [&](const std::string& class_name) {
      return !settings_.tenants.empty() &&
             std::all_of(settings_.tenants.begin(), settings_.tenants.end(), [&](const TenantSettings& t) {
               return fully_matched_pairs.count(class_name + '\n' + t.name) > 0;
             });
    };
    const auto class_matched = [&](const std::string& name) {
      return fully_matched_classes.count(name) > 0 || all_tenants_matched(name);
    };
    for (std::size_t i = 0; i < file_.routes.size(); ++i) {
      const Match& match = file_.routes[i].match;
      bool unreachable = false;
      if (match.class_name) {
        unreachable = !match.tenant && all_tenants_matched(match.class_name->value);
      } else {
        unreachable =
            std::all_of(settings_.classes.begin(), settings_.classes.end(), [&](const ClassSettings& c) {
              return class_matched(c.name) ||
                     (match.tenant && fully_matched_pairs.count(c.name + '\n' + match.tenant->value) > 0);
            });
      }
      if (unreachable)
        fault(file_.routes[i].place, path_of(i, ".match"),
              "never matches: more specific routes take all of its queries");
    }
  }

  std::vector<const ClassSettings*> classes_of(const Match& match) const {
    std::vector<const ClassSettings*> out;
    for (const ClassSettings& c : settings_.classes)
      if (!match.class_name || match.class_name->value == c.name) out.push_back(&c);
    return out;
  }

  void check_bounds_of_defaults() {
    check_bounds(settings_, {"defaults", &file_.defaults, file_.defaults, classes_of({})}, faults_);
  }

  void check_route(std::size_t i) {
    const Route& route = file_.routes[i];
    check_bounds(settings_, {path_of(i), &route.bounds, effective_bounds(route), classes_of(route.match)},
                 faults_);
  }

  // Compares the retry budgets of all routes together with the rules' retry budget (rule 7).
  void check_retry_budgets() {
    if (file_.retries) check_retry_budget(file_.retries->value, file_.retries->place, "retries");
    if (!settings_.rules.has_retry_budget) return;
    double floors = 0;
    const auto check_floor = [&](const Bounds& bounds, const std::string& path) {
      if (!bounds.retries) return;
      check_retry_budget(bounds.retries->value, bounds.retries->place, path + ".retries");
      floors += bounds.retries->value.floor;
    };
    check_floor(file_.defaults, "defaults");
    for (std::size_t i = 0; i < file_.routes.size(); ++i) check_floor(file_.routes[i].bounds, path_of(i));
    if (!file_.retries && floors > settings_.rules.retry_budget_floor + 1e-9)
      fault(first_retries_place(), "retries",
            "the floors of all routes add up to " + format_number(floors) + ", over the rule's " +
                format_number(settings_.rules.retry_budget_floor) + ": state retries over all routes");
  }

  void check_retry_budget(const RetryBudgetSettings& retries, FileLocation place, const std::string& path) {
    const Rules& rules = settings_.rules;
    if (!rules.has_retry_budget) return;
    if (retries.share > rules.retry_budget_share + 1e-9)
      fault(place, path + ".share",
            "over the rule: a share of " + format_number(rules.retry_budget_share) + " at most");
    const auto window = static_cast<double>(std::max<TimeUs>(retries.window, 1));
    const double windows = std::ceil(static_cast<double>(rules.retry_budget_window) / window);
    if (retries.floor * std::max(windows, 1.0) > rules.retry_budget_floor + 1e-9)
      fault(place, path + ".floor",
            "over the rule: " + format_number(rules.retry_budget_floor) + " at most in any " +
                format_time(rules.retry_budget_window));
  }

  FileLocation first_retries_place() const {
    if (file_.defaults.retries) return file_.defaults.retries->place;
    for (const Route& route : file_.routes)
      if (route.bounds.retries) return route.bounds.retries->place;
    return {};
  }

  static bool closed(const Bounds& b) {
    return (b.rate && b.rate->value.per_second <= 0) || (b.concurrency && b.concurrency->value.most <= 0);
  }

  // Finds classes that have only routes with a limit of zero: all of their queries would be refused.
  void check_closed_classes() {
    for (const ClassSettings& c : settings_.classes) {
      bool open = false;
      bool class_fully_matched = false;  // one of its routes matches what the others leave
      FileLocation place;
      std::string path;
      const auto inspect = [&](const Bounds& bounds, const std::string& at) {
        if (!closed(bounds)) {
          open = true;
        } else if (path.empty()) {
          const bool by_rate = bounds.rate && bounds.rate->value.per_second <= 0;
          place = by_rate ? bounds.rate->place : bounds.concurrency->place;
          path = at + (by_rate ? ".rate" : ".concurrency");
        }
      };
      for (std::size_t i = 0; i < file_.routes.size(); ++i) {
        const Route& route = file_.routes[i];
        if (!route.match.class_name || route.match.class_name->value != c.name) continue;
        class_fully_matched =
            class_fully_matched || (ignores_table_and_key(route.match) && !route.match.tenant);
        inspect(effective_bounds(route), path_of(i));
      }
      for (std::size_t i = 0; i < file_.routes.size() && !class_fully_matched; ++i)
        if (!file_.routes[i].match.class_name) inspect(effective_bounds(file_.routes[i]), path_of(i));
      if (!class_fully_matched) inspect(file_.defaults, "defaults");
      if (!open) fault(place, path, "closes the class '" + c.name + "': no other route lets its queries in");
    }
  }

  Bounds effective_bounds(const Route& route) const {
    const auto like = route.like ? by_name_.find(route.like->value) : by_name_.end();
    return inherited(route.bounds, like == by_name_.end() ? nullptr : &like->second->bounds, file_.defaults);
  }

  const Settings& settings_;
  const LimitFile& file_;
  std::size_t max_routes_;
  std::unordered_map<std::string, const Route*> by_name_;
  std::vector<Fault> faults_;
};

}  // namespace

std::vector<Fault> check(const Settings& settings, const LimitFile& file, std::size_t max_routes) {
  return Checker(settings, file, max_routes).run();
}

void check_no_fleet_scope(const LimitFile& file, std::vector<Fault>& faults) {
  const auto inspect = [&faults](const Bounds& b, const std::string& path) {
    const char* why = "scope: fleet needs a fleet: --fleet, or fleetFile of the configuration";
    if (b.rate && b.rate->value.fleet) faults.push_back({b.rate->place, path + "rate.scope", why});
    if (b.concurrency && b.concurrency->value.fleet)
      faults.push_back({b.concurrency->place, path + "concurrency.scope", why});
  };
  inspect(file.defaults, "defaults.");
  for (std::size_t i = 0; i < file.routes.size(); ++i)
    inspect(file.routes[i].bounds, "routes[" + std::to_string(i) + "].");
}

}  // namespace orchidgw::limits
