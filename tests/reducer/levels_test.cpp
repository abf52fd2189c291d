// Reduced service levels and what they do to queries: the reducer, the levels and the real decision module
// together.
#include "operator_file/operator_file.h"
#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

using Kind = CallAnswer::Kind;

class LevelsTest : public ReducerTest {
 protected:
  LevelsTest() {
    ClassSettings report = settings.classes[0];
    report.name = "report";
    settings.classes.push_back(report);
  }

  void apply_levels(const std::string& enter, const std::string& effects) {
    const auto read = operator_file::read_operator_file(
        "version: 1\nlevels:\n  list:\n  - name: reduced\n    enter: " + enter +
        "\n    leave: {signal: slowdown, below: 1.5, for: 1s}\n    least_stay: 2s\n    effects: " + effects +
        "\n  trial: {parts: [50%], step: 1s}\n...\n");
    ASSERT_TRUE(read.faults.empty()) << operator_file::fault_line("f", read.faults[0]);
    apply(LimitsChanged{nullptr, std::make_shared<const service_level::LevelFile>(read.file.levels)});
  }

  void serve(RequestTag tag, TimeUs latency) {
    request(tag);
    run_until(now + latency);
    answer(last_call().call, Kind::kServed, "x\n", 1);
  }

  void drain(int number) {
    EnginesChanged change;
    change.engines = {engine(number, EngineState::kDraining)};
    apply(std::move(change));
  }

  std::uint64_t shed_count() const { return counters.refusals[static_cast<std::size_t>(Reason::kShed)]; }
};

const char* const kSlow = "{signal: slowdown, above: 3, for: 500ms, over: 10s}";
const char* const kFewEngines = "{signal: in_service, below: 90%, for: 300ms}";

TEST_F(LevelsTest, SlowAnswersBringReducedServiceAndQuickOnesTakeItBack) {
  start_reducer();
  apply_levels(kSlow, "{shed: [{class: report}]}");
  RequestTag tag = 0;
  for (int i = 0; i < 30 && !reducer->levels().any_level_active(); ++i) serve(++tag, 600 * kMs);
  ASSERT_TRUE(reducer->levels().any_level_active());
  request(++tag, "report");
  ASSERT_EQ(answers[tag].size(), 1U);
  EXPECT_EQ(answers[tag][0].substr(0, 8), "refused ");
  EXPECT_GE(std::stoll(answers[tag][0].substr(8)), 250 * kMs);
  EXPECT_EQ(shed_count(), 1U);
  serve(++tag, 10 * kMs);  // lookups go on
  EXPECT_EQ(answers[tag], std::vector<std::string>{"served x\n"});
  for (int i = 0; i < 2'000 && reducer->levels().any_level_active(); ++i) serve(++tag, 50 * kMs);
  EXPECT_FALSE(reducer->levels().any_level_active());
  request(++tag, "report");
  EXPECT_EQ(answers.count(tag), 0U);
}

TEST_F(LevelsTest, ThoseThatWaitAreAnsweredAtOnceWhenALevelShedsThem) {
  start_reducer(0);  // nothing can be sent
  apply_levels("{signal: line_length, above: 2, for: 300ms, over: 1s}", "{shed: [{class: report}]}");
  for (RequestTag tag = 1; tag <= 6; ++tag) request(tag, tag <= 3 ? "report" : "lookup");
  EXPECT_TRUE(answers.empty());
  for (int i = 0; i < 20 && answers.empty(); ++i) run_until(now + 50 * kMs);
  for (RequestTag tag = 1; tag <= 3; ++tag) EXPECT_EQ(answers[tag].size(), 1U) << tag;
  for (RequestTag tag = 4; tag <= 6; ++tag) EXPECT_EQ(answers.count(tag), 0U) << tag;
  EXPECT_EQ(shed_count(), 3U);
  run_until(now + 10 * kSecond);
  for (RequestTag tag = 1; tag <= 6; ++tag) EXPECT_EQ(answers[tag].size(), 1U) << tag;
  EXPECT_EQ(reducer->queries(), 0U);
}

TEST_F(LevelsTest, ARunningQueryGoesOnWhenItsClassIsShed) {
  start_reducer();
  apply_levels(kFewEngines, "{shed: [{class: report}]}");
  request(1, "report");
  const SendCall call = last_call();
  drain(call.engine == "s-0" ? 1 : 0);
  run_until(now + 1 * kSecond);
  ASSERT_TRUE(reducer->levels().any_level_active());
  request(2, "report");
  EXPECT_EQ(answers[2].size(), 1U);
  answer(call.call, Kind::kServed, "r\n", 1);
  EXPECT_EQ(answers[1], std::vector<std::string>{"served r\n"});
}

TEST_F(LevelsTest, WithoutRetryAfterInTheSettingsNoTimeIsTold) {
  settings.limits.retry_after = false;
  start_reducer();
  apply_levels(kFewEngines, "{shed: [{class: report}]}");
  drain(1);
  run_until(now + 1 * kSecond);
  request(1, "report");
  EXPECT_EQ(answers[1], std::vector<std::string>{"refused 0"});
}

TEST_F(LevelsTest, GrantsAndPrioritiesAreReduced) {
  settings.grants = true;
  settings.priorities = true;
  start_reducer();
  apply_levels(kFewEngines, "{grants: 50%, priority: -3}");
  serve(1, 100 * kMs);
  const double before = calls.front().grant_mb;
  EXPECT_GT(before, 0);
  drain(1);
  run_until(now + 1 * kSecond);
  ASSERT_EQ(reducer->levels().general_level(), "reduced");
  request(2);
  EXPECT_LT(last_call().grant_mb, 0.8 * before);
  EXPECT_EQ(last_call().priority, 0);
}

TEST_F(LevelsTest, WithoutLevelsNoSamplesAreTaken) {
  start_reducer(0);
  apply(LimitsChanged{nullptr, nullptr});
  EXPECT_FALSE(reducer->levels().has_levels());
  EXPECT_TRUE(reducer->levels().time_by_level().empty());
}

}  // namespace
}  // namespace orchidgw::core
