#include "decision/shutdown_schedule.h"

#include <algorithm>

namespace orchidgw {
namespace {

constexpr TimeUs kMaxDeadline = 3'000'000;  // longer ones count as this
constexpr TimeUs kKillAfterDeadline = 700'000;
// After SIGTERM clients send on open connections for 0.6 s; 0.05 s of slack.
constexpr TimeUs kCloseFromDelay = 650'000;
// Leaves a request that comes 0.6 s after SIGTERM its whole deadline.
constexpr TimeUs kAnswerBeforeKill = 100'000;
constexpr TimeUs kEndBeforeKill = 50'000;

}  // namespace

ShutdownSchedule shutdown_schedule(std::span<const ClassSettings> classes, TimeUs asked_at) {
  TimeUs longest_deadline = 0;
  for (const ClassSettings& query_class : classes)
    longest_deadline = std::max(longest_deadline, query_class.deadline);
  const TimeUs kill_at = asked_at + std::min(longest_deadline, kMaxDeadline) + kKillAfterDeadline;
  ShutdownSchedule schedule;
  schedule.asked_at = asked_at;
  schedule.answer_by = kill_at - kAnswerBeforeKill;
  schedule.close_from = std::min(asked_at + kCloseFromDelay, schedule.answer_by);
  schedule.end_by = kill_at - kEndBeforeKill;
  return schedule;
}

}  // namespace orchidgw
