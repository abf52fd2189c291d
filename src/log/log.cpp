#include "log/log.h"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/ostream_sink.h>

#include <chrono>
#include <utility>

#include "log/line_text.h"

namespace orchidgw::log {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::array<const char*, 4> kLevelNames = {"error", "warn", "info", "debug"};
constexpr std::array<const char*, kComponents> kComponentNames = {"core", "net", "config", "limits", "fleet"};
constexpr auto kRepeatWindow = std::chrono::seconds(1);
constexpr std::size_t kRecentLines = 8;

const char* name_of(Level level) { return kLevelNames[static_cast<std::size_t>(level)]; }

spdlog::level::level_enum to_spdlog(Level level) {
  constexpr std::array<spdlog::level::level_enum, 4> kSpdlogLevels = {
      spdlog::level::err, spdlog::level::warn, spdlog::level::info, spdlog::level::debug};
  return kSpdlogLevels[static_cast<std::size_t>(level)];
}

// Each line starts with the milliseconds since 1970, as in earlier versions; the rest is the payload.
constexpr const char* kTextPattern = "%E%e %v";
constexpr const char* kJsonPattern = "{\"ts_ms\":%E%e,%v}";

}  // namespace

Level level_named(const std::string& name, Level fallback) {
  for (const Level level : {Level::kError, Level::kWarn, Level::kInfo, Level::kDebug})
    if (name == name_of(level)) return level;
  return fallback;
}

std::optional<Component> component_named(std::string_view name) {
  for (std::size_t i = 0; i < kComponents; ++i)
    if (name == kComponentNames[i]) return static_cast<Component>(i);
  return std::nullopt;
}

// Writes lines and suppresses repeats of recent ones. spdlog's own duplicate filter compares with the last
// line only and writes its count as a separate sentence, which is not JSON.
class Logger::Sink {
 public:
  explicit Sink(std::ostream& out)
      : sink_(std::make_shared<spdlog::sinks::ostream_sink_st>(out, true)), logger_("", sink_) {
    logger_.set_level(spdlog::level::trace);
  }
  ~Sink() {
    for (RecentLine& recent : recent_) write_repeat_count(recent);
  }

  void set_format(Format format) {
    for (RecentLine& recent : recent_) write_repeat_count(recent);
    recent_ = {};
    format_ = format;
    const char* pattern = format == Format::kJson ? kJsonPattern : kTextPattern;
    logger_.set_formatter(
        std::make_unique<spdlog::pattern_formatter>(pattern, spdlog::pattern_time_type::utc, "\n"));
  }

  void write(Level level, std::string line) {
    const auto now = Clock::now();
    RecentLine* oldest = &recent_[0];
    for (RecentLine& recent : recent_) {
      if (recent.line == line && now - recent.written_at < kRepeatWindow) {
        ++recent.suppressed_count;
        return;
      }
      if (recent.line == line) {
        oldest = &recent;
        break;
      }
      if (recent.written_at < oldest->written_at) oldest = &recent;
    }
    write_repeat_count(*oldest);
    logger_.log(to_spdlog(level), line);
    *oldest = {std::move(line), level, now, 0};
  }

 private:
  struct RecentLine {
    std::string line;
    Level level = Level::kInfo;
    Clock::time_point written_at;
    std::uint64_t suppressed_count = 0;
  };

  void write_repeat_count(RecentLine& recent) {
    if (recent.suppressed_count == 0) return;
    const std::string count = std::to_string(std::exchange(recent.suppressed_count, 0));
    const char* before = format_ == Format::kJson ? ",\"repeated\":" : " repeated=";
    logger_.log(to_spdlog(recent.level), recent.line + before + count);
  }

  std::shared_ptr<spdlog::sinks::ostream_sink_st> sink_;
  spdlog::logger logger_;
  Format format_ = Format::kText;
  std::array<RecentLine, kRecentLines> recent_;
};

Logger::Logger(std::ostream& out, Level max_level, std::string name)
    : out_(out), name_(std::move(name)), sink_(std::make_unique<Sink>(out)) {
  configure({max_level, Format::kText, {}});
}

Logger::~Logger() = default;

void Logger::configure(const LogOptions& choice) {
  choice_ = choice;
  sink_->set_format(choice.format);
}

bool Logger::on(Level level, Component component) const {
  return level <= choice_.components[static_cast<std::size_t>(component)].value_or(choice_.level);
}

void Logger::write(Level level, Component component, std::string_view text,
                   std::initializer_list<Field> fields) {
  if (!on(level, component)) return;
  const char* component_name = kComponentNames[static_cast<std::size_t>(component)];
  LineText line(choice_.format);
  line.append_header(name_of(level), name_, component_name, text);
  for (const Field& field : fields) line.append_field(field);
  sink_->write(level, std::move(line).take());
}

}  // namespace orchidgw::log
