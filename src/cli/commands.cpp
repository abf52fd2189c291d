#include "cli/commands.h"

#include <algorithm>
#include <iomanip>

#include "limits/explain.h"

namespace orchidgw::cli {
std::optional<configuration::Configuration> load(const configuration::Sources& sources, std::ostream& err) {
  try {
    return configuration::load(sources);
  } catch (const configuration::ConfigurationError& e) {
    for (const std::string& line : e.lines()) err << "orchidgw: " << line << '\n';
  } catch (const std::exception& e) {
    err << "orchidgw: " << e.what() << '\n';
  }
  return std::nullopt;
}

int run_check(const configuration::Sources& sources, std::ostream& out, std::ostream& err) {
  const auto loaded = load(sources, err);
  if (!loaded) return kExitFailure;
  out << "good: ";
  if (loaded->fleet)
    out << "fleet " << loaded->fleet->name << ": " << loaded->fleet->keepers.size() << " keepers, "
        << loaded->fleet->largest << " controllers at the most; ";
  if (loaded->operators.limits) {
    out << loaded->operators.limits->routes().size() - 1 << " routes and the defaults\n";
  } else {
    out << "no operators' file is named\n";
  }
  return kExitSuccess;
}

int run_explain(const CommandLine& line, std::ostream& out, std::ostream& err) {
  const auto loaded = load(line.sources, err);
  if (!loaded) return kExitFailure;
  const Settings& settings = loaded->controller.settings;
  const auto class_settings =
      std::find_if(settings.classes.begin(), settings.classes.end(),
                   [&](const ClassSettings& one) { return one.name == line.explain.class_name; });
  if (class_settings == settings.classes.end()) {
    err << "orchidgw: --class: the settings have no class '" << line.explain.class_name << "'\n";
    return kExitFailure;
  }
  const ExplainOptions& options = line.explain;
  const auto explained = limits::explain(settings, loaded->operators.limits.get(),
                                         static_cast<int>(class_settings - settings.classes.begin()),
                                         options.tenant, options.table, options.has_key);
  out << "route: " << explained.route << '\n';
  for (const limits::ExplainedLimit& limit : explained.limits)
    out << std::left << std::setw(22) << limit.field << std::setw(44) << limit.value << limit.set_by << '\n';
  return kExitSuccess;
}

int run_version(std::ostream& out) {
  out << "orchidgw " << ORCHIDGW_VERSION << '\n';
  return kExitSuccess;
}

}  // namespace orchidgw::cli
