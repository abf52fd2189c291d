// For tests of limits: settings with one class of each kind, and limits read from an operator file's text.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "limits/check.h"
#include "limits/limiter.h"
#include "operator_file/operator_file.h"

namespace orchidgw::limits {

inline constexpr TimeUs kMs = 1'000;
inline constexpr TimeUs kSecond = 1'000'000;

inline ClassSettings class_of(const std::string& name, Effect effect, TimeUs deadline) {
  ClassSettings c;
  c.name = name;
  c.latency_target = 1 * kSecond;
  c.latency_target_runtime_factor = 2;
  c.deadline = deadline;
  c.effect = effect;
  c.repeat_window = 12 * kSecond;
  return c;
}

inline Settings test_settings() {
  Settings s;
  s.classes = {class_of("lookup", Effect::kIdempotent, 8 * kSecond),
               class_of("report", Effect::kIdempotent, 20 * kSecond),
               class_of("load", Effect::kDeduplicated, 20 * kSecond),
               class_of("cell-load", Effect::kDeduplicated, 20 * kSecond),
               class_of("once", Effect::kAtMostOnce, 10 * kSecond),
               class_of("ordered", Effect::kIdempotent, 8 * kSecond)};
  s.classes[3].repeat_scope = RepeatScope::kCell;
  s.classes[5].serial_by_key = true;
  s.kinds = {{"std", 8, 16000}};
  s.tenants = {{"acme", 0.8, 100}, {"beta", 0.2, 100}};
  s.limits.max_attempts = 3;
  s.limits.second_copies = true;
  s.limits.cancel = true;
  s.limits.retry_after = true;
  s.limits.max_retry_after = 500 * kMs;
  s.rules.has_retry_budget = true;
  s.rules.retry_budget_floor = 2;
  s.rules.retry_budget_share = 0.2;
  s.rules.retry_budget_window = 10 * kSecond;
  return s;
}

// A complete operator file: `body` with the version before it and the end marker after it.
inline std::string operator_file_text(const std::string& body) { return "version: 1\n" + body + "...\n"; }

// Reads and checks a complete operator file; returns its faults as the program prints them, for file "f".
inline std::vector<std::string> faults_in(const std::string& text, const Settings& settings) {
  const auto read = operator_file::read_operator_file(text);
  auto faults = read.faults;
  if (faults.empty()) faults = check(settings, read.file.limits, 10'000);
  std::vector<std::string> out;
  for (const Fault& fault : faults) out.push_back(operator_file::fault_line("f", fault));
  return out;
}

// Returns the limits of a file with that body; the test fails if the file has faults.
inline std::shared_ptr<const LimitSet> limits_of(const std::string& body,
                                                 const Settings& settings = test_settings()) {
  const std::string text = operator_file_text(body);
  EXPECT_EQ(faults_in(text, settings), std::vector<std::string>{});
  return std::make_shared<const LimitSet>(settings, operator_file::read_operator_file(text).file.limits, 1);
}

}  // namespace orchidgw::limits
