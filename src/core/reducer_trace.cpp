// The reducer's trace: for debugging a day, never at info.
#include <array>
#include <sstream>

#include "core/reducer.h"

namespace orchidgw::core {

void Reducer::trace_taken(const Query& q, const QueryState& query) {
  std::ostringstream line;
  line << "taken " << q.id << ' ' << query.request.reference << ' ' << query.request.class_name << " tenant "
       << q.tenant << " group " << q.table_group << " cost_us " << q.cost_estimate << " memory_mb "
       << q.memory_mb << " budget_us " << q.time_budget;
  emit(LogText{log::Level::kDebug, line.str()});
}

void Reducer::trace_sent(QueryId id, std::size_t n, const QueryState& query) {
  std::ostringstream line;
  line << "sent " << id << '.' << n << " to " << query.attempts[n].engine << " grant_mb " << query.grant_mb
       << " priority " << query.priority;
  emit(LogText{log::Level::kDebug, line.str()});
}

void Reducer::trace_ended(const Outcome& outcome, const QueryState& query) {
  std::ostringstream line;
  line << "ended " << outcome.query << '.' << outcome.attempt << " on " << outcome.engine << ' '
       << name_of(outcome.kind) << " after_us " << outcome.latency << " class " << query.request.class_name;
  if (outcome.told_cost) line << " told_us " << *outcome.told_cost;
  emit(LogText{log::Level::kDebug, line.str()});
}

void Reducer::trace_call_ended(const CallOwner& owner, ConnectionEnd end) {
  constexpr std::array<const char*, 5> kKinds = {"start", "news", "page", "priority", "give_up"};
  std::ostringstream line;
  line << kKinds[static_cast<std::size_t>(owner.kind)] << " of " << owner.query << '.' << owner.attempt
       << " got no whole answer: " << name_of(end);
  emit(LogText{log::Level::kDebug, line.str()});
}

void Reducer::trace_answered(QueryId id, const char* how, const QueryState& query) {
  std::ostringstream line;
  line << how << ' ' << id << ' ' << query.request.class_name << " left_us " << query.deadline - now_;
  emit(LogText{log::Level::kDebug, line.str()});
}

}  // namespace orchidgw::core
