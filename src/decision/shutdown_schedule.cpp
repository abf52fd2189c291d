#include "decision/shutdown_schedule.h"

#include <algorithm>

namespace orchidgw {
namespace {

constexpr TimeUs kDeadlineCountedMost = 3'000'000;
constexpr TimeUs kKillAfterDeadline = 700'000;
constexpr TimeUs kCloseAfter = 650'000;  // clients send on open connections for 0.6 s, with 0.05 s of slack
constexpr TimeUs kAnsweredBeforeKill = 100'000;  // a request of 0.6 s after SIGTERM has all of its time
constexpr TimeUs kEndedBeforeKill = 50'000;

}  // namespace

ShutdownSchedule shutdown_schedule(std::span<const ClassSettings> classes, TimeUs asked_at) {
  TimeUs longest = 0;
  for (const ClassSettings& one : classes) longest = std::max(longest, one.deadline);
  const TimeUs kill_at = asked_at + std::min(longest, kDeadlineCountedMost) + kKillAfterDeadline;
  ShutdownSchedule schedule;
  schedule.asked_at = asked_at;
  schedule.answer_by = kill_at - kAnsweredBeforeKill;
  schedule.close_from = std::min(asked_at + kCloseAfter, schedule.answer_by);
  schedule.end_by = kill_at - kEndedBeforeKill;
  return schedule;
}

}  // namespace orchidgw
