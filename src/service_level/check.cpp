#include "service_level/check.h"

#include <algorithm>
#include <set>
#include <utility>

#include "service_level/service_level.h"

namespace orchidgw::service_level {
namespace {

class Checker {
 public:
  Checker(const Settings& settings, const LevelFile& file) : settings_(settings), file_(file) {}

  std::vector<Fault> run() {
    if (file_.levels.size() > kMaxLevels)
      add_fault(file_.levels[kMaxLevels].place, "levels.list", "16 levels at most");
    if (signals_of(file_).size() > kMaxSignals)
      add_fault(file_.levels[0].place, "levels.list", "32 signals at most, of all conditions together");
    std::set<std::string> seen_names;
    for (std::size_t i = 0; i < file_.levels.size(); ++i) {
      const Level& level = file_.levels[i];
      const std::string path = "levels.list[" + std::to_string(i) + "]";
      if (level.name == kFullService)
        add_fault(level.place, path + ".name", "the name 'full' is full service's");
      if (!seen_names.insert(level.name).second)
        add_fault(level.place, path + ".name", "another level has this name");
      if (!level.tenant.empty()) check_tenant_known(level.tenant, level.place, path + ".tenant");
      if (level.longest_stay < level.least_stay)
        add_fault(level.place, path + ".longest_stay", "shorter than the least stay");
      check_condition(level.enter, path + ".enter");
      check_condition(level.leave, path + ".leave");
      check_leave(level, level.leave, path + ".leave");
      check_thresholds_apart(level, path);
      check_effects(level, path);
    }
    check_trial();
    if (file_.manual && file_.manual->level != kFullService && seen_names.count(file_.manual->level) == 0)
      add_fault(file_.manual->place, "levels.manual.level",
                "no level has the name '" + file_.manual->level + "'");
    return std::move(faults_);
  }

 private:
  void add_fault(FileLocation place, std::string path, std::string reason) {
    faults_.push_back({place, std::move(path), std::move(reason)});
  }

  void check_class_known(const std::string& name, FileLocation place, const std::string& path) {
    if (name.empty()) return;
    const auto has_name = [&](const ClassSettings& query_class) { return query_class.name == name; };
    if (std::none_of(settings_.classes.begin(), settings_.classes.end(), has_name))
      add_fault(place, path, "the settings have no class '" + name + "'");
  }

  void check_tenant_known(const std::string& name, FileLocation place, const std::string& path) {
    if (name.empty() || settings_.tenants.empty()) return;
    const auto has_name = [&](const TenantSettings& tenant) { return tenant.name == name; };
    if (std::none_of(settings_.tenants.begin(), settings_.tenants.end(), has_name))
      add_fault(place, path, "the settings have no tenant '" + name + "'");
  }

  void check_condition(const Condition& condition, const std::string& path) {
    for (const Condition& part : condition.parts) check_condition(part, path);
    if (condition.kind != Condition::Kind::kComparison) return;
    check_class_known(condition.key.class_name, condition.place, path + ".class");
    check_tenant_known(condition.key.tenant, condition.place, path + ".tenant");
    const bool narrowed = !condition.key.class_name.empty() || !condition.key.tenant.empty();
    if (narrowed && !can_filter_by_class_or_tenant(condition.key.signal))
      add_fault(condition.place, path,
                std::string(name_of(condition.key.signal)) + " is of the whole gateway: no class, no tenant");
  }

  // Shedding improves such a signal by itself: the level would be left at once and entered again.
  void check_leave(const Level& level, const Condition& condition, const std::string& path) {
    for (const Condition& part : condition.parts) check_leave(level, part, path);
    if (condition.kind != Condition::Kind::kComparison || level.effects.shed.empty()) return;
    if (changed_by_shedding(condition.key.signal))
      add_fault(condition.place, path,
                std::string(name_of(condition.key.signal)) +
                    " falls by the shedding itself: it can't say that the level may be left");
    const bool sheds_it =
        std::any_of(level.effects.shed.begin(), level.effects.shed.end(), [&](const ShedRule& shed) {
          return shed.share >= 1 && !condition.key.class_name.empty() &&
                 shed.class_name == condition.key.class_name && shed.tenant.empty();
        });
    if (sheds_it && condition.key.signal == Signal::kLateShare)
      add_fault(condition.place, path,
                "the level sheds all of class '" + condition.key.class_name + "': nothing of it is seen");
  }

  // Where `enter` and `leave` compare the same signal, there must be a gap between their thresholds.
  void check_thresholds_apart(const Level& level, const std::string& path) {
    if (level.enter.kind != Condition::Kind::kComparison || level.leave.kind != Condition::Kind::kComparison)
      return;
    const Condition& enter = level.enter;
    const Condition& leave = level.leave;
    if (enter.key.signal != leave.key.signal || enter.key.class_name != leave.key.class_name ||
        enter.key.tenant != leave.key.tenant)
      return;
    const bool apart = enter.above != leave.above &&
                       (enter.above ? leave.threshold < enter.threshold : leave.threshold > enter.threshold);
    if (!apart)
      add_fault(leave.place, path + ".leave",
                "no room between entering and leaving: it would be left as it is entered");
  }

  void check_effects(const Level& level, const std::string& path) {
    const Effects& effects = level.effects;
    for (const ShedRule& shed : effects.shed) {
      check_class_known(shed.class_name, shed.place, path + ".effects.shed.class");
      check_tenant_known(shed.tenant, shed.place, path + ".effects.shed.tenant");
      if (shed.class_name.empty() && shed.tenant.empty() && level.tenant.empty())
        add_fault(shed.place, path + ".effects.shed", "a class or a tenant is wanted: this would shed all");
    }
    const bool has_effect = !effects.shed.empty() || effects.no_second_copies ||
                            effects.no_further_attempts || effects.limits < 1 || effects.longest_hold > 0 ||
                            effects.grants < 1 || effects.priority != 0;
    if (!has_effect) add_fault(level.place, path + ".effects", "the level does nothing");
    if (!level.tenant.empty() && effects.limits < 1)
      add_fault(level.place, path + ".effects.limits", "limits are scaled for all: not by a tenant's level");
    if (effects.priority != 0 && !settings_.priorities)
      add_fault(level.place, path + ".effects.priority", "the settings heed no priorities");
    if (effects.grants < 1 && !settings_.grants)
      add_fault(level.place, path + ".effects.grants", "the settings heed no grants");
  }

  void check_trial() {
    const auto& parts = file_.trial.parts;
    for (std::size_t i = 1; i < parts.size(); ++i)
      if (parts[i] <= parts[i - 1])
        add_fault({}, "levels.trial.parts", "each part must be larger than the one before");
    if (file_.trial.wait > file_.trial.wait_most)
      add_fault({}, "levels.trial.wait", "longer than levels.trial.wait_most");
  }

  const Settings& settings_;
  const LevelFile& file_;
  std::vector<Fault> faults_;
};

}  // namespace

std::vector<Fault> check(const Settings& settings, const LevelFile& file) {
  return Checker(settings, file).run();
}

}  // namespace orchidgw::service_level
