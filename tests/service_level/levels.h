// For the tests of service levels: levels from the text of an operator file, and signals that the test sets.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "../limits/deployment.h"
#include "service_level/check.h"
#include "service_level/service_level.h"

namespace orchidgw::service_level {

using limits::kMs;
using limits::kSecond;

inline constexpr TimeUs kStart = 1'000 * kSecond;

// The faults of an operator file with this body, as lines "f:line:column: path: reason".
inline std::vector<std::string> level_faults(const std::string& body,
                                             Settings settings = limits::test_settings()) {
  const auto read = operator_file::read_operator_file(limits::operator_file_text(body));
  auto faults = read.faults;
  if (faults.empty()) faults = check(settings, read.file.levels);
  std::vector<std::string> out;
  for (const Fault& fault : faults) out.push_back(operator_file::fault_line("f", fault));
  return out;
}

// The levels of a body that must have no faults.
inline std::shared_ptr<const LevelFile> levels_of(const std::string& body) {
  EXPECT_EQ(level_faults(body), std::vector<std::string>{});
  return std::make_shared<const LevelFile>(
      operator_file::read_operator_file(limits::operator_file_text(body)).file.levels);
}

// Signals with the values that the test sets; one that is not set is unknown. Class and tenant are ignored.
class FakeSignals final : public SignalView {
 public:
  std::optional<double> value(TimeUs, const SignalKey& key) const override {
    const auto it = values.find(key.signal);
    return it == values.end() ? std::nullopt : std::optional(it->second);
  }
  std::map<Signal, double> values;
};

inline std::string one_level(const std::string& more = "") {
  return "levels:\n  list:\n  - name: reduced\n    enter: {signal: slowdown, above: 3, for: 2s}\n"
         "    leave: {signal: slowdown, below: 1.5, for: 5s}\n    least_stay: 10s\n"
         "    effects: {shed: [{class: report}]}\n" +
         more;
}

inline std::string two_levels(const std::string& more = "") {
  return one_level() +
         "  - name: bare\n    enter: {signal: late_share, above: 50%, for: 1s}\n"
         "    leave: {signal: slowdown, below: 1.2, for: 5s}\n    least_stay: 10s\n"
         "    effects: {shed: [{class: lookup, share: 50%}], further_attempts: off}\n" +
         more;
}

}  // namespace orchidgw::service_level
