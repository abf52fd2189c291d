// Log lines through iostreams, on spdlog's ostream sink: text or JSON, a level for each component, fields for
// what is counted or named, repeated lines bounded with a count.
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

// The level named "error", "warn", "info" or "debug"; `otherwise` for any other word.
Level level_named(const std::string& word, Level otherwise);
// The component named "core", "net", "config", "limits" or "fleet"; nothing for any other word.
std::optional<Component> component_named(std::string_view word);

struct Field {
  std::string_view key;
  std::variant<std::string_view, std::int64_t, double> value;
};

// What is written and how; may change while the program runs.
struct Choice {
  Level level = Level::kInfo;
  Format format = Format::kText;
  std::array<std::optional<Level>, kComponents> components;  // where they differ
};

class Logger {
 public:
  Logger(std::ostream& out, Level most, std::string name);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void choose(const Choice& choice);
  bool on(Level level, Component component = Component::kNet) const;
  void write(Level level, std::string_view text) { write(level, Component::kNet, text); }
  // `text` says what happened, `fields` to whom and how much. A line that comes again within a second is
  // counted, and written with that count later.
  void write(Level level, Component component, std::string_view text,
             std::initializer_list<Field> fields = {});
  std::ostream& stream() { return out_; }

 private:
  class Sink;
  std::ostream& out_;
  std::string name_;
  Choice choice_;
  std::unique_ptr<Sink> sink_;
};

}  // namespace orchidgw::log
