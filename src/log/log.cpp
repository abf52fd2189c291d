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

constexpr std::array<const char*, 4> kLevelWords = {"error", "warn", "info", "debug"};
constexpr std::array<const char*, kComponents> kComponentWords = {"core", "net", "config", "limits", "fleet"};
constexpr auto kRepeatedWithin = std::chrono::seconds(1);
constexpr std::size_t kRecentLines = 8;

const char* word_of(Level level) { return kLevelWords[static_cast<std::size_t>(level)]; }

spdlog::level::level_enum theirs(Level level) {
  constexpr std::array<spdlog::level::level_enum, 4> kTheirs = {spdlog::level::err, spdlog::level::warn,
                                                                spdlog::level::info, spdlog::level::debug};
  return kTheirs[static_cast<std::size_t>(level)];
}

// Milliseconds since 1970 in front, as the lines always had them; all else is the payload's.
constexpr const char* kTextPattern = "%E%e %v";
constexpr const char* kJsonPattern = "{\"ts_ms\":%E%e,%v}";

}  // namespace

Level level_named(const std::string& word, Level otherwise) {
  for (const Level level : {Level::kError, Level::kWarn, Level::kInfo, Level::kDebug})
    if (word == word_of(level)) return level;
  return otherwise;
}

std::optional<Component> component_named(std::string_view word) {
  for (std::size_t i = 0; i < kComponents; ++i)
    if (word == kComponentWords[i]) return static_cast<Component>(i);
  return std::nullopt;
}

// Writes lines, and holds back those that came a moment ago. spdlog's own filter of doubles knows only the
// last line and writes its count as a sentence of its own, which is no JSON.
class Logger::Sink {
 public:
  explicit Sink(std::ostream& out)
      : sink_(std::make_shared<spdlog::sinks::ostream_sink_st>(out, true)), logger_("", sink_) {
    logger_.set_level(spdlog::level::trace);
  }
  ~Sink() {
    for (Recent& recent : recent_) say_repeated(recent);
  }

  void set_format(Format format) {
    for (Recent& recent : recent_) say_repeated(recent);
    recent_ = {};
    format_ = format;
    const char* pattern = format == Format::kJson ? kJsonPattern : kTextPattern;
    logger_.set_formatter(
        std::make_unique<spdlog::pattern_formatter>(pattern, spdlog::pattern_time_type::utc, "\n"));
  }

  void write(Level level, std::string line) {
    const auto now = Clock::now();
    Recent* oldest = &recent_[0];
    for (Recent& recent : recent_) {
      if (recent.line == line && now - recent.since < kRepeatedWithin) {
        ++recent.held_back;
        return;
      }
      if (recent.line == line) {
        oldest = &recent;
        break;
      }
      if (recent.since < oldest->since) oldest = &recent;
    }
    say_repeated(*oldest);
    logger_.log(theirs(level), line);
    *oldest = {std::move(line), level, now, 0};
  }

 private:
  struct Recent {
    std::string line;
    Level level = Level::kInfo;
    Clock::time_point since;
    std::uint64_t held_back = 0;
  };

  void say_repeated(Recent& recent) {
    if (recent.held_back == 0) return;
    const std::string count = std::to_string(std::exchange(recent.held_back, 0));
    const char* before = format_ == Format::kJson ? ",\"repeated\":" : " repeated=";
    logger_.log(theirs(recent.level), recent.line + before + count);
  }

  std::shared_ptr<spdlog::sinks::ostream_sink_st> sink_;
  spdlog::logger logger_;
  Format format_ = Format::kText;
  std::array<Recent, kRecentLines> recent_;
};

Logger::Logger(std::ostream& out, Level most, std::string name)
    : out_(out), name_(std::move(name)), sink_(std::make_unique<Sink>(out)) {
  choose({most, Format::kText, {}});
}

Logger::~Logger() = default;

void Logger::choose(const Choice& choice) {
  choice_ = choice;
  sink_->set_format(choice.format);
}

bool Logger::on(Level level, Component component) const {
  return level <= choice_.components[static_cast<std::size_t>(component)].value_or(choice_.level);
}

void Logger::write(Level level, Component component, std::string_view text,
                   std::initializer_list<Field> fields) {
  if (!on(level, component)) return;
  const char* part = kComponentWords[static_cast<std::size_t>(component)];
  LineText line(choice_.format);
  line.head(word_of(level), name_, part, text);
  for (const Field& field : fields) line.field(field);
  sink_->write(level, std::move(line).take());
}

}  // namespace orchidgw::log
