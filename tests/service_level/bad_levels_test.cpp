// Each file has one faulty level; its line, path and exact reason must be reported.
#include "levels.h"

namespace orchidgw::service_level {
namespace {

// A file with one level; its `enter`, `leave` and `effects` are in lines 5, 6 and 7.
std::string level(const std::string& enter, const std::string& leave, const std::string& effects,
                  const std::string& more = "") {
  return "levels:\n  list:\n  - name: l\n    enter: " + enter + "\n    leave: " + leave +
         "\n    effects: " + effects + "\n" + more;
}

const std::string kIn = "{signal: slowdown, above: 3, for: 2s}";
const std::string kOut = "{signal: slowdown, below: 1.5}";
const std::string kShed = "{shed: [{class: report}]}";

struct Bad {
  std::string body;
  std::vector<std::string> faults;
};

TEST(BadLevels, AreRefusedWithTheirReason) {
  const std::vector<Bad> all = {
      {"levels: {}\n", {"f:2:9: levels.list: missing"}},
      {"levels: {list: []}\n",
       {"f:2:16: levels.list: a list of levels is wanted, the one that sheds least first"}},
      {level("{signal: speed, above: 3}", kOut, kShed),
       {"f:5:21: levels.list[0].enter.signal: one of these is wanted: line_length, line_age, refused_share, "
        "late_share, arrivals, slowdown, slowest_engine, in_service, loop_lag, buffers"}},
      {level("{signal: slowdown}", kOut, kShed),
       {"f:5:21: levels.list[0].enter: one of above and below is wanted"}},
      {level("{signal: slowdown, above: 3, below: 5}", kOut, kShed),
       {"f:5:21: levels.list[0].enter: one of above and below is wanted"}},
      {level("{signal: line_age, above: 3}", kOut, kShed),
       {"f:5:38: levels.list[0].enter.above: a time with its unit is wanted"}},
      {level("{signal: buffers, above: 300%}", kOut, kShed),
       {"f:5:37: levels.list[0].enter.above: a share is wanted: 0 to 1, or 0% to 100%"}},
      {level("{all: []}", kOut, kShed),
       {"f:5:18: levels.list[0].enter.all: a list of 1 to 32 conditions is wanted"}},
      {level("{any: [" + kIn + "], all: [" + kIn + "]}", kOut, kShed),
       {"f:5:12: levels.list[0].enter: one of all and any is wanted"}},
      {level("{signal: slowdown, class: lookup, above: 3}", kOut, kShed),
       {"f:5:12: levels.list[0].enter: slowdown is of the whole gateway: no class, no tenant"}},
      {level("{signal: late_share, class: x, above: 0.3}", kOut, kShed),
       {"f:5:12: levels.list[0].enter.class: the settings have no class 'x'"}},
      {level("{signal: late_share, tenant: x, above: 0.3}", kOut, kShed),
       {"f:5:12: levels.list[0].enter.tenant: the settings have no tenant 'x'"}},
      {level(kIn, "{signal: line_length, below: 5}", kShed),
       {"f:6:12: levels.list[0].leave: line_length falls by the shedding itself: it can't say that the level "
        "may be "
        "left"}},
      {level(kIn, "{signal: refused_share, below: 5%}", kShed),
       {"f:6:12: levels.list[0].leave: refused_share falls by the shedding itself: it can't say that the "
        "level may "
        "be left"}},
      {level(kIn, "{signal: late_share, class: report, below: 5%}", kShed),
       {"f:6:12: levels.list[0].leave: the level sheds all of class 'report': nothing of it is seen"}},
      {level(kIn, "{signal: slowdown, below: 3.5}", kShed),
       {"f:6:12: levels.list[0].leave: no room between entering and leaving: it would be left as it is "
        "entered"}},
      {level(kIn, kOut, "{}"), {"f:4:5: levels.list[0].effects: the level does nothing"}},
      {level(kIn, kOut, "{shed: [{share: 50%}]}"),
       {"f:7:22: levels.list[0].effects.shed: a class or a tenant is wanted: this would shed all"}},
      {level(kIn, kOut, "{shed: [{class: x}]}"),
       {"f:7:22: levels.list[0].effects.shed.class: the settings have no class 'x'"}},
      {level(kIn, kOut, "{second_copies: on}"),
       {"f:7:30: levels.list[0].effects.second_copies: 'off' is wanted: a level can't switch it on"}},
      {level(kIn, kOut, "{limits: 0%}"), {"f:7:23: levels.list[0].effects.limits: 1% at least"}},
      {level(kIn, kOut, "{priority: 9}"),
       {"f:7:25: levels.list[0].effects.priority: a whole number from -3 to 3 is wanted, not 0"}},
      {level(kIn, kOut, "{priority: -1}"),
       {"f:4:5: levels.list[0].effects.priority: the settings heed no priorities"}},
      {level(kIn, kOut, "{grants: 50%}"),
       {"f:4:5: levels.list[0].effects.grants: the settings heed no grants"}},
      {level(kIn, kOut, kShed, "    least_stay: 20m\n    longest_stay: 10m\n"),
       {"f:4:5: levels.list[0].longest_stay: shorter than the least stay"}},
      {level(kIn, kOut, kShed, "  trial: {parts: [50%, 10%]}\n"),
       {"f: levels.trial.parts: each part must be larger than the one before"}},
      {level(kIn, kOut, kShed, "  trial: {parts: [0, 100%]}\n"),
       {"f:8:18: levels.trial.parts: a list of shares between 0 and 1 is wanted"}},
      {level(kIn, kOut, kShed, "  changes: {most: 1}\n"),
       {"f:8:19: levels.changes.most: a whole number from 2 to 1000 is wanted"}},
      {level(kIn, kOut, kShed, "  manual: {level: x, until: 2026-12-18T17:30:00Z}\n"),
       {"f:8:11: levels.manual.level: no level has the name 'x'"}},
      {level(kIn, kOut, kShed, "  manual: {level: l, until: tomorrow}\n"),
       {"f:8:29: levels.manual.until: a time in UTC is wanted, like 2026-12-18T17:30:00Z"}},
      {"levels:\n  list:\n  - name: full\n    enter: " + kIn + "\n    leave: " + kOut +
           "\n    effects: " + kShed + "\n",
       {"f:4:5: levels.list[0].name: the name 'full' is full service's"}},
  };
  for (const Bad& bad : all) {
    SCOPED_TRACE(bad.body);
    EXPECT_EQ(level_faults(bad.body), bad.faults);
  }
}

TEST(BadLevels, AGoodOneIsTaken) {
  EXPECT_EQ(level_faults(level(kIn, kOut, kShed)), std::vector<std::string>{});
  EXPECT_EQ(level_faults(two_levels()), std::vector<std::string>{});
}

}  // namespace
}  // namespace orchidgw::service_level
