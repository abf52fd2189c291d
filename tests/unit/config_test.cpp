// Tests of the configuration, the engine list's events and addresses, with the error for each kind of bad
// input.
#include <gtest/gtest.h>

#include "config/address.h"
#include "config/controller_config.h"
#include "config/engine_list_stream.h"
#include "config/json_fields.h"

namespace orchidgw::config {
namespace {

const std::string kSettings =
    R"("settings":{"balancers":3,"me":1,"classes":[{"name":"short","aim":200000,"deadline":1000000,)"
    R"("effect":"idempotent"}],"domain":{"dop":[1],"sizeCores":[2]},"shapes":["k"],)"
    R"("policyLimits":{"maxAttempts":3,"connectTimeout":250000,"connIdle":30000000},"rules":{}})";

const std::string kKnown =
    R"("known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":7,"complete":true,"members":[)"
    R"({"id":"s-1","host_port":"10.1.0.9:7001","locality":"east","flavor":"std","cell":2,)"
    R"("phase":"in_service","size":4,"up_since_ms":1700000000123}]}}]})";

std::string config(const std::string& listen = "\"10.0.0.4:7001\"", const std::string& rest = kSettings) {
  return R"({"name":"n3","listen":)" + listen +
         R"(,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)"
         R"("changelog":"10.2.0.1:9092",)" +
         kKnown + "," + rest + "}";
}

std::string parse_error(const std::string& text) {
  try {
    parse_controller_config(text);
  } catch (const FieldError& e) {
    return e.what();
  }
  return "none";
}

TEST(ControllerConfig, ReadsAll) {
  const auto c = parse_controller_config(config());
  EXPECT_EQ(c.name, "n3");
  EXPECT_EQ(c.listen, (core::Address{"10.0.0.4", 7001}));
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964ULL);
  EXPECT_EQ(c.memory_mb, 192);
  EXPECT_EQ(c.sockets, 1024);
  EXPECT_EQ(c.change_log, (core::Address{"10.2.0.1", 9092}));
  EXPECT_EQ(c.settings.gateways, 3);
  EXPECT_EQ(c.connect_timeout, 250'000);
  ASSERT_EQ(c.initial_engine_list.changes.size(), 1U);
  EXPECT_TRUE(c.initial_engine_list.changes[0].complete);
  const auto& e = c.initial_engine_list.changes[0].engines.at(0);
  EXPECT_EQ(e.entry.id, "s-1");
  EXPECT_EQ(e.entry.zone, "east");
  EXPECT_EQ(e.entry.kind, "std");
  EXPECT_EQ(e.entry.cell, 2);
  EXPECT_EQ(e.up_since, WallTime{1700000000123000});
  EXPECT_EQ(e.address, (core::Address{"10.1.0.9", 7001}));
}

TEST(ControllerConfig, NamesTheFieldThatIsWrong) {
  EXPECT_NE(parse_error("not json").find("BALANCER_CONFIG"), std::string::npos);
  EXPECT_NE(parse_error("[]").find("BALANCER_CONFIG"), std::string::npos);
  EXPECT_NE(parse_error(config("\"nowhere\"")).find("listen"), std::string::npos);
  EXPECT_NE(parse_error(config("\"10.0.0.4:0\"")).find("listen"), std::string::npos);
  EXPECT_NE(parse_error(config("17")).find("listen"), std::string::npos);
  EXPECT_NE(parse_error(config("\"10.0.0.4:1\"", R"("settings":7)")).find("settings"), std::string::npos);
  EXPECT_NE(parse_error(config("\"10.0.0.4:1\"", R"("settings":{})")).find("classes"), std::string::npos);
  EXPECT_EQ(parse_error(config()), "none");
}

// Guards against a misspelt word that is read as the default, and against values out of range.
TEST(ControllerConfig, TheShapeOfAnEngineIsChecked) {
  const auto with = [](const std::string& domain) {
    std::string settings = kSettings;
    settings.replace(settings.find(R"("domain":{)") + 10, 0, domain);
    return config("\"10.0.0.4:1\"", settings);
  };
  EXPECT_EQ(parse_error(with(R"("whenShort":"overcommit",)")), "none");
  EXPECT_EQ(parse_controller_config(with(R"("whenShort":"overcommit",)")).settings.memory_shortage_policy,
            MemoryShortagePolicy::kOvercommit);
  EXPECT_EQ(parse_controller_config(config()).settings.memory_shortage_policy,
            MemoryShortagePolicy::kWait);  // the default
  EXPECT_NE(parse_error(with(R"("whenShort":"page",)")).find("domain.whenShort"), std::string::npos);
  EXPECT_NE(parse_error(with(R"("progressPace":-5,)")).find("domain.progressPace"), std::string::npos);
  EXPECT_NE(parse_error(with(R"("kindMemoryMb":[-1],)")).find("domain.sizeCores"), std::string::npos);
}

TEST(ControllerConfig, DeeplyNestedInputDoesNoHarm) {
  EXPECT_NE(parse_error(std::string(1'000'000, '[')).find("BALANCER_CONFIG"), std::string::npos);
}

EngineListEvents parse_engine_list_events(std::string_view text) {
  EngineListStream stream(text.size() + 1);
  stream.feed(text);
  EngineListEvents out;
  out.last = stream.finish();
  out.changes = stream.take_events();
  return out;
}

TEST(FleetChanges, ReadsEventsInOrderAndPassesOverOtherKinds) {
  const auto c = parse_engine_list_events(
      R"({"seq":5,"results":[{"seq":3,"fleet":{"complete":false,"members":[{"id":"a","host_port":"10.0.0.1:1",)"
      R"("phase":"terminating"}]}},{"seq":4,"later":{}},{"seq":5,"fleet":{"members":[{"id":"a","phase":"terminated"}]}}]})");
  EXPECT_EQ(c.last, 5U);
  ASSERT_EQ(c.changes.size(), 2U);
  EXPECT_EQ(c.changes[0].number, 3U);
  EXPECT_EQ(c.changes[0].engines.at(0).entry.state, EngineState::kDraining);
  EXPECT_EQ(c.changes[1].engines.at(0).entry.state, EngineState::kGone);
}

TEST(FleetChanges, AMemberThatCannotBeUsedIsLeftOut) {
  const auto c = parse_engine_list_events(
      R"({"seq":1,"results":[{"seq":1,"fleet":{"members":[7,{"id":"a"},{"id":"b","phase":"odd","host_port":"10.0.0.1:1"},)"
      R"({"id":"c","phase":"in_service","host_port":"x"},{"id":3,"phase":"in_service"},)"
      R"({"id":"d","phase":"in_service","host_port":"10.0.0.1:1"}]}}]})");
  ASSERT_EQ(c.changes.at(0).engines.size(), 1U);
  EXPECT_EQ(c.changes[0].engines[0].entry.id, "d");
}

TEST(FleetChanges, WhatIsNoListIsRefused) {
  EXPECT_THROW(parse_engine_list_events("no json"), FieldError);
  EXPECT_THROW(parse_engine_list_events("[]"), FieldError);
  EXPECT_THROW(parse_engine_list_events(R"({"seq":-1})"), FieldError);
  EXPECT_THROW(parse_engine_list_events(R"({"seq":1,"results":{}})"), FieldError);
}

// Guards against an answer that is rejected for its length alone, and asked for again for ever (review/7).
TEST(EngineListStream, ReadsAnAnswerManyTimesAsLongAsWhatItMayKeep) {
  constexpr std::size_t kMaxTextBytes = 2000;
  constexpr int kEvents = 100;
  constexpr int kEnginesOfAnEvent = 50;
  EngineListStream stream(kMaxTextBytes);
  stream.feed(R"({"seq":101,"results":[)");
  int engines = 0;
  std::uint64_t last_taken = 0;
  for (int event = 1; event <= kEvents; ++event) {
    stream.feed((event > 1 ? "," : "") + (R"({"seq":)" + std::to_string(event)) + R"(,"fleet":{"members":[)");
    for (int i = 0; i < kEnginesOfAnEvent; ++i)
      stream.feed(std::string(i > 0 ? "," : "") + R"({"id":"e-)" + std::to_string(i) +
                  R"(","phase":"in_service","host_port":"10.0.0.1:1","locality":"]}\"{["})");
    stream.feed("]}}");
    EXPECT_EQ(stream.engines_in_events(), static_cast<std::size_t>(kEnginesOfAnEvent));
    for (const EngineListEvent& taken : stream.take_events()) {
      EXPECT_EQ(taken.number, ++last_taken);
      engines += static_cast<int>(taken.engines.size());
      EXPECT_EQ(taken.engines.at(0).entry.zone, R"(]}"{[)");
    }
  }
  stream.feed("]}");
  EXPECT_EQ(stream.finish(), 101U);
  EXPECT_EQ(engines, kEvents * kEnginesOfAnEvent);
  EXPECT_EQ(stream.take_engines_left_out(), 0U);
}

TEST(EngineListStream, GivesTheSameEventsHoweverTheBytesAreSplit) {
  const std::string text =
      R"({"seq":5,"results":[{"seq":3,"fleet":{"complete":true,"members":[{"id":"a","host_port":"10.0.0.1:1",)"
      R"("phase":"terminating"},{"id":"b","phase":"terminated"}]}},{"seq":4,"later":{"fleet":[{"members":[{}]}]}},)"
      R"({"fleet":{"members":[{"id":"c","phase":"terminated"},{"id":7}]},"seq":5}]} )";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    EngineListStream stream(text.size());
    for (std::size_t at = 0; at < text.size(); at += piece)
      stream.feed(std::string_view(text).substr(at, piece));
    EXPECT_EQ(stream.finish(), 5U);
    EXPECT_EQ(stream.take_engines_left_out(), 1U);
    const auto events = stream.take_events();
    ASSERT_EQ(events.size(), 2U);
    EXPECT_TRUE(events[0].complete);
    EXPECT_EQ(events[0].engines.size(), 2U);
    EXPECT_EQ(events[1].number, 5U);
    EXPECT_EQ(events[1].engines.at(0).entry.id, "c");
  }
}

// Guards against an event that can't be read and is asked for again for ever, with all that come after it:
// the drains in them were never heard (review/7).
TEST(EngineListStream, AnEventWithBadFieldsCountsAsTheNextInOrder) {
  const std::string text =
      R"({"seq":8,"results":[{"seq":"x","fleet":{"complete":false,"members":[{"id":"a","phase":"terminated"}]}},)"
      R"({"seq":7,"fleet":{"complete":"no","members":[{"id":"b","phase":"terminated"}]}},)"
      R"({"seq":8,"fleet":{"members":[{"id":"c","phase":"terminated"}]}}]})";
  EngineListStream stream(text.size());
  stream.reset(5);
  stream.feed(text);
  EXPECT_EQ(stream.finish(), 8U);
  const auto events = stream.take_events();
  ASSERT_EQ(events.size(), 3U);
  for (std::size_t i = 0; i < events.size(); ++i) {
    EXPECT_EQ(events[i].number, 6 + i);
    EXPECT_FALSE(events[i].complete);
    EXPECT_EQ(events[i].engines.at(0).entry.id, std::string(1, static_cast<char>('a' + i)));
  }
  EXPECT_EQ(stream.take_events_with_bad_fields(), 2U);
}

TEST(EngineListStream, WhatItKeepsBesidesEnginesHasABound) {
  EngineListStream stream(100);
  EXPECT_THROW(stream.feed(std::string(101, ' ')), FieldError);
  stream.reset();
  EXPECT_THROW(stream.feed(R"({"results":[{"seq":1,"fleet":{")" + std::string(101, 'x')), FieldError);
  stream.reset();
  EXPECT_THROW(stream.feed(std::string(1000, '[')), FieldError);
  stream.reset();  // an engine of any length is read to its end, and left out
  stream.feed(R"({"seq":1,"results":[{"seq":1,"fleet":{"members":[{"id":")" + std::string(100'000, 'x') +
              "\"}");
  stream.feed("]}}]}");
  EXPECT_EQ(stream.finish(), 1U);
  EXPECT_EQ(stream.take_engines_left_out(), 1U);
}

TEST(Address, IsAnIpv4AddressAndAPort) {
  EXPECT_TRUE(parse_address("127.0.0.1:80").has_value());
  for (const char* bad : {"", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:65536", "host:80",
                          "127.0.0.1:80 ", "127.0.0.1:-1", "::1:80"})
    EXPECT_FALSE(parse_address(bad).has_value()) << bad;
}

}  // namespace
}  // namespace orchidgw::config
