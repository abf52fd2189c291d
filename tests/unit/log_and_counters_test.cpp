// The level filter of the log, and the printed form of the counters.
#include <gtest/gtest.h>

#include <sstream>

#include "core/connection_end.h"
#include "log/log.h"
#include "metrics/counters.h"

namespace orchidgw {
namespace {

TEST(Log, WritesWhatItsLevelLetsThrough) {
  std::ostringstream out;
  log::Logger logger(out, log::Level::kWarn, "n3");
  logger.write(log::Level::kInfo, "not this");
  logger.write(log::Level::kWarn, "but this");
  logger.write(log::Level::kError, "and this");
  EXPECT_EQ(out.str().find("not this"), std::string::npos);
  EXPECT_NE(out.str().find("warn n3: but this\n"), std::string::npos);
  EXPECT_NE(out.str().find("error n3: and this\n"), std::string::npos);
}

TEST(Log, LevelsHaveNames) {
  EXPECT_EQ(log::level_named("debug", log::Level::kInfo), log::Level::kDebug);
  EXPECT_EQ(log::level_named("error", log::Level::kInfo), log::Level::kError);
  EXPECT_EQ(log::level_named("loud", log::Level::kInfo), log::Level::kInfo);
}

TEST(Counters, ArePrintedALineEach) {
  metrics::Counters counters;
  counters.accepted_queries = 12;
  counters.outcomes[static_cast<std::size_t>(OutcomeKind::kFull)] = 3;
  counters.engine_ends[static_cast<std::size_t>(core::ConnectionEnd::kRefused)] = 2;
  counters.timer_lateness.add(10);
  counters.timer_lateness.add(30);
  counters.buffers.set(9);
  counters.buffers.set(4);
  std::ostringstream out;
  metrics::print(counters, core::counter_names(), out);
  for (const char* line :
       {"counter queries.taken 12\n", "counter attempts.full 3\n", "counter engine_ends.refused 2\n",
        "counter buffers 4 most 9\n", "counter loop.timer_lateness 2 mean_us 20 worst_us 30\n"})
    EXPECT_NE(out.str().find(line), std::string::npos) << line;
  EXPECT_EQ(out.str().find("engine_ends.silent"), std::string::npos);
}

}  // namespace
}  // namespace orchidgw
