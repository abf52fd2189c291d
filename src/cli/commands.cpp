#include "cli/commands.h"

#include <algorithm>
#include <iomanip>

#include "limits/explain.h"

namespace orchidgw::cli {
std::optional<configuration::Configuration> load(const configuration::Sources& sources, std::ostream& err) {
  try {
    return configuration::load(sources, nullptr);
  } catch (const configuration::ConfigurationError& e) {
    for (const std::string& line : e.lines()) err << "orchidgw: " << line << '\n';
  } catch (const std::exception& e) {
    err << "orchidgw: " << e.what() << '\n';
  }
  return std::nullopt;
}

int run_check(const configuration::Sources& sources, std::ostream& out, std::ostream& err) {
  const auto loaded = load(sources, err);
  if (!loaded) return kBad;
  out << "good: ";
  if (loaded->fleet)
    out << "fleet " << loaded->fleet->name << ": " << loaded->fleet->keepers.size() << " keepers, "
        << loaded->fleet->largest << " controllers at the most; ";
  if (loaded->limits) {
    out << loaded->limits->routes().size() - 1 << " routes and the defaults\n";
  } else {
    out << "no operators' file is named\n";
  }
  return kGood;
}

int run_explain(const CommandLine& line, std::ostream& out, std::ostream& err) {
  const auto loaded = load(line.sources, err);
  if (!loaded) return kBad;
  const Settings& settings = loaded->controller.settings;
  const auto it = std::find_if(settings.classes.begin(), settings.classes.end(),
                               [&](const ClassSettings& c) { return c.name == line.explain.class_name; });
  if (it == settings.classes.end()) {
    err << "orchidgw: --class: the settings have no class '" << line.explain.class_name << "'\n";
    return kBad;
  }
  const Explain& query = line.explain;
  const auto explained =
      limits::explain(settings, loaded->limits.get(), static_cast<int>(it - settings.classes.begin()),
                      query.tenant, query.table, query.keyed);
  out << "route: " << explained.route << '\n';
  for (const limits::Explained& one : explained.limits)
    out << std::left << std::setw(22) << one.field << std::setw(44) << one.value << one.set_by << '\n';
  return kGood;
}

int run_version(std::ostream& out) {
  out << "orchidgw " << ORCHIDGW_VERSION << '\n';
  return kGood;
}

}  // namespace orchidgw::cli
