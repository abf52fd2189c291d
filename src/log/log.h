// Log lines written to a std::ostream with spdlog: as text or JSON, with a level for each component, with
// fields for numbers and names; repeated lines are suppressed and counted.
#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

namespace orchidgw::log {

enum class Level { kError, kWarn, kInfo, kDebug };
enum class Format { kText, kJson };
enum class Component { kCore, kNet, kConfig, kLimits, kFleet };
inline constexpr std::size_t kComponents = static_cast<std::size_t>(Component::kFleet) + 1;

// The level named "error", "warn", "info" or "debug"; `fallback` for any other name.
Level level_named(const std::string& name, Level fallback);
// The component named "core", "net", "config", "limits" or "fleet"; nullopt for any other name.
std::optional<Component> component_named(std::string_view name);

struct Field {
  std::string_view key;
  std::variant<std::string_view, std::int64_t, double> value;
};

// Which lines are written, and in which format; may be changed at run time.
struct LogOptions {
  Level level = Level::kInfo;
  Format format = Format::kText;
  std::array<std::optional<Level>, kComponents> components;  // where a component has another level
};

class Logger {
 public:
  // `out` has to outlive the logger. `name`: the name of this process, written into each line. Starts with
  // the text format and one level for all components.
  Logger(std::ostream& out, Level max_level, std::string name);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  // From now on; counts of suppressed repeats are written first.
  void configure(const LogOptions& choice);
  // Whether a line of this level and component would be written.
  bool on(Level level, Component component = Component::kNet) const;
  void write(Level level, std::string_view text) { write(level, Component::kNet, text); }
  // `text` says what happened, `fields` name who is concerned and give amounts. A line that is repeated
  // within a second is only counted; it is written with that count later.
  void write(Level level, Component component, std::string_view text,
             std::initializer_list<Field> fields = {});
  std::ostream& stream() { return out_; }

 private:
  class Sink;
  std::ostream& out_;
  std::string name_;
  LogOptions choice_;
  std::unique_ptr<Sink> sink_;
};

}  // namespace orchidgw::log
