// The reducer's trace of queries and attempts, for debugging: written at debug level, never at info.
#include <array>
#include <sstream>

#include "core/reducer.h"

namespace orchidgw::core {

void Reducer::trace_accepted(const Query& module_query, const QueryState& query) {
  std::ostringstream line;
  line << "taken " << module_query.id << ' ' << query.request.reference << ' ' << query.request.class_name
       << " tenant " << module_query.tenant << " group " << module_query.table_group << " cost_us "
       << module_query.cost_estimate << " memory_mb " << module_query.memory_mb << " budget_us "
       << module_query.time_budget;
  emit(LogText{log::Level::kDebug, line.str()});
}

void Reducer::trace_sent(QueryId id, std::size_t attempt_index, const QueryState& query) {
  std::ostringstream line;
  line << "sent " << id << '.' << attempt_index << " to " << query.attempts[attempt_index].engine
       << " grant_mb " << query.grant_mb << " priority " << query.priority;
  emit(LogText{log::Level::kDebug, line.str()});
}

void Reducer::trace_ended(const Outcome& outcome, const QueryState& query) {
  std::ostringstream line;
  line << "ended " << outcome.query << '.' << outcome.attempt << " on " << outcome.engine << ' '
       << name_of(outcome.kind) << " after_us " << outcome.latency << " class " << query.request.class_name;
  if (outcome.reported_cost) line << " told_us " << *outcome.reported_cost;
  emit(LogText{log::Level::kDebug, line.str()});
}

void Reducer::trace_call_ended(const CallOwner& owner, ConnectionEnd end) {
  constexpr std::array<const char*, 5> kKinds = {"start", "news", "page", "priority", "give_up"};
  std::ostringstream line;
  line << kKinds[static_cast<std::size_t>(owner.kind)] << " of " << owner.query << '.' << owner.attempt_index
       << " got no whole answer: " << name_of(end);
  emit(LogText{log::Level::kDebug, line.str()});
}

void Reducer::trace_answered(QueryId id, const char* how, const QueryState& query) {
  std::ostringstream line;
  line << how << ' ' << id << ' ' << query.request.class_name << " left_us " << query.deadline - now_;
  emit(LogText{log::Level::kDebug, line.str()});
}

}  // namespace orchidgw::core
