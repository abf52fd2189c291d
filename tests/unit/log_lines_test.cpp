// Log lines: text and JSON format, escaping, levels by component, suppressed repeats; and BoundedOutput,
// which never blocks.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <unistd.h>

#include <sstream>

#include "log/bounded_output.h"
#include "log/log.h"

namespace orchidgw::log {
namespace {

TEST(LogLines, HaveFieldsInText) {
  std::ostringstream out;
  Logger logger(out, Level::kInfo, "n3");
  logger.write(Level::kInfo, Component::kLimits, "in force", {{"routes", std::int64_t{3}}, {"file", "a b"}});
  EXPECT_NE(out.str().find(" info n3: in force component=limits routes=3 file=\"a b\"\n"), std::string::npos)
      << out.str();
}

TEST(LogLines, AreJsonWhereWanted) {
  std::ostringstream out;
  Logger logger(out, Level::kInfo, "n\"3");
  logger.configure({Level::kInfo, Format::kJson, {}});
  logger.write(Level::kWarn, Component::kConfig, "bad\n\"file\"\xff",
               {{"line", std::int64_t{7}}, {"share", 0.5}});
  rapidjson::Document line;
  ASSERT_FALSE(line.Parse(out.str().c_str()).HasParseError()) << out.str();
  EXPECT_STREQ(line["level"].GetString(), "warn");
  EXPECT_STREQ(line["name"].GetString(), "n\"3");
  EXPECT_STREQ(line["component"].GetString(), "config");
  EXPECT_EQ(line["line"].GetInt(), 7);
  EXPECT_EQ(line["share"].GetDouble(), 0.5);
  EXPECT_GT(line["ts_ms"].GetInt64(), 1'600'000'000'000);
}

// Guards against a client that forges a log line.
TEST(LogLines, NothingFromOutsideBeginsALine) {
  std::ostringstream out;
  Logger logger(out, Level::kInfo, "n3");
  logger.write(Level::kInfo, Component::kCore, "class a\n1 error n3: forged", {{"id", "x\ny=\"z"}});
  const std::string text = out.str();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
  EXPECT_NE(text.find("id=\"x\\u000ay=\\\"z\""), std::string::npos) << text;
}

TEST(LogLines, AComponentHasALevelOfItsOwn) {
  std::ostringstream out;
  Logger logger(out, Level::kInfo, "n3");
  LogOptions choice;
  choice.components[static_cast<std::size_t>(Component::kNet)] = Level::kError;
  choice.components[static_cast<std::size_t>(Component::kCore)] = Level::kDebug;
  logger.configure(choice);
  EXPECT_FALSE(logger.on(Level::kWarn, Component::kNet));
  EXPECT_TRUE(logger.on(Level::kDebug, Component::kCore));
  EXPECT_TRUE(logger.on(Level::kInfo, Component::kLimits));
  EXPECT_FALSE(logger.on(Level::kDebug, Component::kLimits));
}

TEST(LogLines, RepeatsAreCountedAndNotWritten) {
  std::ostringstream out;
  {
    Logger logger(out, Level::kInfo, "n3");
    for (int i = 0; i < 1'000; ++i) logger.write(Level::kWarn, "no room");
    logger.write(Level::kWarn, "another");
  }
  const std::string text = out.str();
  EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 5) << text;
  EXPECT_NE(text.find("no room repeated="), std::string::npos) << text;
  EXPECT_NE(text.find("another\n"), std::string::npos) << text;
}

class Pipe {
 public:
  Pipe() {
    int ends[2];
    if (::pipe(ends) != 0) std::abort();
    read_end = ends[0];
    write_end = ends[1];
    ::fcntl(read_end, F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    ::close(read_end);
    ::close(write_end);
  }
  std::string take() const {
    std::string out;
    char bytes[4096];
    for (ssize_t n = 0; (n = ::read(read_end, bytes, sizeof bytes)) > 0;)
      out.append(bytes, static_cast<std::size_t>(n));
    return out;
  }
  int read_end = -1;
  int write_end = -1;
};

TEST(BoundedOutput, NeverWaitsAndNeverGrowsPastItsBound) {
  const Pipe pipe;
  BoundedOutput output(pipe.write_end, 10'000);
  std::ostream out(&output);
  const std::string line(99, 'x');
  for (int i = 0; i < 5'000; ++i)
    out << line << std::endl;  // far more than the pipe holds, and nothing reads it
  EXPECT_LE(output.buffered_bytes(), 10'000U);
  EXPECT_GT(output.dropped_lines(), 1'000U);
}

TEST(BoundedOutput, TellsWhatWasDroppedOnceItIsReadAgain) {
  const Pipe pipe;
  BoundedOutput output(pipe.write_end, 10'000);
  std::ostream out(&output);
  const std::string line(99, 'x');
  for (int i = 0; i < 5'000; ++i) out << line << std::endl;
  std::string read;
  for (int i = 0; i < 10 && read.find("lines dropped") == std::string::npos; ++i) {
    read += pipe.take();
    out.flush();
  }
  EXPECT_NE(read.find("log: " + std::to_string(output.dropped_lines()) + " lines dropped"),
            std::string::npos);
  std::istringstream lines(read);
  for (std::string one; std::getline(lines, one);)
    EXPECT_TRUE(one == line || one.starts_with("log: ")) << one;  // whole lines only
}

}  // namespace
}  // namespace orchidgw::log
