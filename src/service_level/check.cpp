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
    if (file_.levels.size() > kLevelsMost)
      fault(file_.levels[kLevelsMost].place, "levels.list", "16 levels at most");
    if (signals_of(file_).size() > kSignalsMost)
      fault(file_.levels[0].place, "levels.list", "32 signals at most, of all conditions together");
    std::set<std::string> names;
    for (std::size_t i = 0; i < file_.levels.size(); ++i) {
      const Level& level = file_.levels[i];
      const std::string path = "levels.list[" + std::to_string(i) + "]";
      if (level.name == kFullService) fault(level.place, path + ".name", "the name 'full' is full service's");
      if (!names.insert(level.name).second) fault(level.place, path + ".name", "another level has this name");
      if (!level.tenant.empty()) known_tenant(level.tenant, level.place, path + ".tenant");
      if (level.longest_stay < level.least_stay)
        fault(level.place, path + ".longest_stay", "shorter than the least stay");
      check_condition(level.enter, path + ".enter");
      check_condition(level.leave, path + ".leave");
      check_leave(level, level.leave, path + ".leave");
      check_apart(level, path);
      check_effects(level, path);
    }
    check_trial();
    if (file_.manual && file_.manual->level != kFullService && names.count(file_.manual->level) == 0)
      fault(file_.manual->place, "levels.manual.level",
            "no level has the name '" + file_.manual->level + "'");
    return std::move(faults_);
  }

 private:
  void fault(Place place, std::string path, std::string why) {
    faults_.push_back({place, std::move(path), std::move(why)});
  }

  void known_class(const std::string& name, Place place, const std::string& path) {
    if (name.empty()) return;
    const auto named = [&](const ClassSettings& c) { return c.name == name; };
    if (std::none_of(settings_.classes.begin(), settings_.classes.end(), named))
      fault(place, path, "the settings have no class '" + name + "'");
  }

  void known_tenant(const std::string& name, Place place, const std::string& path) {
    if (name.empty() || settings_.tenants.empty()) return;
    const auto named = [&](const TenantSettings& t) { return t.name == name; };
    if (std::none_of(settings_.tenants.begin(), settings_.tenants.end(), named))
      fault(place, path, "the settings have no tenant '" + name + "'");
  }

  void check_condition(const Condition& c, const std::string& path) {
    for (const Condition& part : c.parts) check_condition(part, path);
    if (c.kind != Condition::Kind::kLeaf) return;
    known_class(c.key.class_name, c.place, path + ".class");
    known_tenant(c.key.tenant, c.place, path + ".tenant");
    const bool narrowed = !c.key.class_name.empty() || !c.key.tenant.empty();
    if (narrowed && !by_class_or_tenant(c.key.signal))
      fault(c.place, path,
            std::string(name_of(c.key.signal)) + " is of the whole gateway: no class, no tenant");
  }

  // A signal that shedding changes by itself would let the level go at once, and bring it back.
  void check_leave(const Level& level, const Condition& c, const std::string& path) {
    for (const Condition& part : c.parts) check_leave(level, part, path);
    if (c.kind != Condition::Kind::kLeaf || level.effects.shed.empty()) return;
    if (changed_by_shedding(c.key.signal))
      fault(c.place, path,
            std::string(name_of(c.key.signal)) +
                " falls by the shedding itself: it can't say that the level may be left");
    const bool sheds_it =
        std::any_of(level.effects.shed.begin(), level.effects.shed.end(), [&](const Shed& shed) {
          return shed.share >= 1 && !c.key.class_name.empty() && shed.class_name == c.key.class_name &&
                 shed.tenant.empty();
        });
    if (sheds_it && c.key.signal == Signal::kLateShare)
      fault(c.place, path, "the level sheds all of class '" + c.key.class_name + "': nothing of it is seen");
  }

  // With the same signal in both, the thresholds must leave room between them.
  void check_apart(const Level& level, const std::string& path) {
    if (level.enter.kind != Condition::Kind::kLeaf || level.leave.kind != Condition::Kind::kLeaf) return;
    const Condition& in = level.enter;
    const Condition& out = level.leave;
    if (in.key.signal != out.key.signal || in.key.class_name != out.key.class_name ||
        in.key.tenant != out.key.tenant)
      return;
    const bool apart =
        in.above != out.above && (in.above ? out.threshold < in.threshold : out.threshold > in.threshold);
    if (!apart)
      fault(out.place, path + ".leave",
            "no room between entering and leaving: it would be left as it is entered");
  }

  void check_effects(const Level& level, const std::string& path) {
    const Effects& e = level.effects;
    for (const Shed& shed : e.shed) {
      known_class(shed.class_name, shed.place, path + ".effects.shed.class");
      known_tenant(shed.tenant, shed.place, path + ".effects.shed.tenant");
      if (shed.class_name.empty() && shed.tenant.empty() && level.tenant.empty())
        fault(shed.place, path + ".effects.shed", "a class or a tenant is wanted: this would shed all");
    }
    const bool acts = !e.shed.empty() || e.no_second_copies || e.no_further_attempts || e.limits < 1 ||
                      e.longest_hold > 0 || e.grants < 1 || e.priority != 0;
    if (!acts) fault(level.place, path + ".effects", "the level does nothing");
    if (!level.tenant.empty() && e.limits < 1)
      fault(level.place, path + ".effects.limits", "limits are scaled for all: not by a tenant's level");
    if (e.priority != 0 && !settings_.priorities)
      fault(level.place, path + ".effects.priority", "the settings heed no priorities");
    if (e.grants < 1 && !settings_.grants)
      fault(level.place, path + ".effects.grants", "the settings heed no grants");
  }

  void check_trial() {
    const auto& parts = file_.trial.parts;
    for (std::size_t i = 1; i < parts.size(); ++i)
      if (parts[i] <= parts[i - 1])
        fault({}, "levels.trial.parts", "each part must be larger than the one before");
    if (file_.trial.wait > file_.trial.wait_most)
      fault({}, "levels.trial.wait", "longer than levels.trial.wait_most");
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
