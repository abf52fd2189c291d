// The controller's part in a reload: puts the files that were read again into force.
#include <exception>
#include <memory>
#include <string>

#include "net/clock.h"
#include "net/controller.h"

namespace orchidgw::net {
namespace {

constexpr TimeUs kReloadRetryDelay = 200'000;

}  // namespace

// Reads all files again. Each is taken over or refused by itself; what is refused is logged, a line a fault.
void Controller::reload() {
  ++counters_.reloads;
  apply_files(reloader_.reload({monotonic_now(), wall_now()}));
  if (reloader_.states().any_refused()) ++counters_.reloads_failed;
}

// Guards against a change log whose new address is never read, as its file could not be opened for a moment.
void Controller::retry_reload() { apply_files(reloader_.retry({monotonic_now(), wall_now()})); }

// Applies all of it between two events, so that no query sees a mix of the old and the new configuration.
void Controller::apply_files(const configuration::ReloadedFiles& files) {
  for (const std::string& line : files.errors)
    log_.write(log::Level::kError, log::Component::kConfig, "configuration not taken over: " + line);
  for (const std::string& line : files.warnings)
    log_.write(log::Level::kWarn, log::Component::kConfig, "configuration: " + line);
  // A file that can't be applied must not keep the others from it.
  const auto guarded = [this](const auto& apply_file) {
    try {
      apply_file();
    } catch (const std::exception& e) {
      log_.write(log::Level::kError, log::Component::kConfig,
                 std::string("configuration not taken over: ") + e.what());
    }
  };
  if (files.platform) guarded([&] { apply_platform_config(*files.platform); });
  if (files.operators) guarded([&] { apply_operator_config(*files.operators); });
  if (files.operators || files.fleet) guarded([&] { apply_fleet_terms(files.fleet); });
  reload_retry_at_.reset();
  if (reloader_.retry_needed()) reload_retry_at_ = monotonic_now() + kReloadRetryDelay;
  reactor_.skip_next_wait();
}

void Controller::apply_platform_config(const config::ReloadedConfig& config) {
  if (config.change_log) {
    change_log_.change_address(*config.change_log);
    log_.write(log::Level::kInfo, log::Component::kConfig,
               "configuration read anew: the change log is at " + config.change_log->host + ":" +
                   std::to_string(config.change_log->port));
  }
  if (config.initial_engine_list) change_log_.add_known_events(*config.initial_engine_list);
}

// Without an operator file there are no limits; that is a change only if there were some.
void Controller::apply_operator_config(const configuration::OperatorConfiguration& config) {
  log_.configure(config.log);
  reducer_.set_trace(log_.on(log::Level::kDebug, log::Component::kCore));
  if (config.limits) return apply_limits(config.limits, config.levels);
  if (reducer_.limiter().active_set() == nullptr) return;
  apply_limits(std::make_shared<const limits::LimitSet>(settings_, limits::LimitFile{}, 0), nullptr);
}

// The terms follow from the fleet file and the limits: from those that are now in force, whichever has
// changed.
void Controller::apply_fleet_terms(const std::optional<fleet::FleetConfig>& config) {
  if (!fleet_) return;
  if (config) fleet_->set_config(*config);
  fleet_->propose_terms(reducer_.limiter().active_set());
}

void Controller::apply_limits(std::shared_ptr<const limits::LimitSet> set,
                              std::shared_ptr<const service_level::LevelFile> levels) {
  const auto routes = static_cast<std::int64_t>(set->routes().size()) - 1;
  const auto count = static_cast<std::int64_t>(levels ? levels->levels.size() : 0);
  apply(monotonic_now(), core::LimitsChanged{std::move(set), std::move(levels)});
  log_.write(log::Level::kInfo, log::Component::kLimits, "limits in force",
             {{"routes", routes}, {"levels", count}});
}

}  // namespace orchidgw::net
