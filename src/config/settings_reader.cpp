#include "config/settings_reader.h"

#include "config/json_fields.h"

namespace orchidgw::config {
namespace {

using rapidjson::SizeType;
using rapidjson::Value;

ClassSettings read_class(const Value& value, const Value& domain, SizeType i) {
  if (!value.IsObject()) throw_field_error("classes", "a list of objects is needed");
  ClassSettings query_class;
  query_class.name = string_or(value, "name", "");
  if (query_class.name.empty()) throw_field_error("classes.name", "missing");
  query_class.latency_target = integer_or(value, "aim", 0);
  query_class.latency_target_runtime_factor = number_or(value, "aimStretch", 0);
  query_class.deadline = integer_or(value, "deadline", 0);
  const std::string effect = string_or(value, "effect", "");
  if (effect == "idempotent") {
    query_class.effect = Effect::kIdempotent;
  } else if (effect == "deduplicated") {
    query_class.effect = Effect::kDeduplicated;
  } else if (effect == "at_most_once") {
    query_class.effect = Effect::kAtMostOnce;
  } else {
    throw_field_error("classes.effect", "unknown word");
  }
  const std::string scope = string_or(value, "keyScope", "all");
  if (scope == "all") {
    query_class.repeat_scope = RepeatScope::kAll;
  } else if (scope == "zone") {
    query_class.repeat_scope = RepeatScope::kZone;
  } else if (scope == "cell") {
    query_class.repeat_scope = RepeatScope::kCell;
  } else {
    throw_field_error("classes.keyScope", "unknown word");
  }
  query_class.repeat_window = integer_or(value, "repeatWindow", 0);
  query_class.value = number_or(value, "value", 1);
  query_class.late_value_share = number_or(value, "lateWorth", 0);
  query_class.serial_by_key = bool_or(value, "serialByKey", false);
  query_class.streaming = bool_or(value, "streaming", false);
  if (find_member(value, "zonesOpen")) query_class.zones = string_list(value, "zonesOpen");
  if (find_member(value, "shapesOnly")) query_class.kinds = string_list(value, "shapesOnly");
  query_class.threads = static_cast<int>(number_at_or(domain, "dop", i, 1));
  query_class.load = bool_at(domain, "loads", i);
  query_class.waits_for_loads = bool_at(domain, "waitsForLoads", i);
  return query_class;
}

}  // namespace

Settings read_settings(const Value& env) {
  Settings settings;
  const Value& domain = object_or_empty(env, "domain");
  settings.gateways = static_cast<int>(integer_or(env, "balancers", 1));
  settings.self = static_cast<int>(integer_or(env, "me", 0));
  settings.zone = string_or(env, "myZone", "");
  const Value* classes = find_member(env, "classes");
  if (!classes || !classes->IsArray()) throw_field_error("classes", "a list is needed");
  for (SizeType i = 0; i < classes->Size(); ++i)
    settings.classes.push_back(read_class((*classes)[i], domain, i));
  const auto kinds = string_list(env, "shapes");
  for (SizeType i = 0; i < kinds.size(); ++i)
    settings.kinds.push_back({kinds[i], static_cast<int>(number_at_or(domain, "sizeCores", i, 1)),
                              number_at_or(domain, "kindMemoryMb", i, 0)});
  if (const Value* tenants = find_member(env, "tenants")) {
    if (!tenants->IsArray()) throw_field_error("tenants", "a list is needed");
    for (const auto& tenant : tenants->GetArray()) {
      if (!tenant.IsObject()) throw_field_error("tenants", "a list of objects is needed");
      settings.tenants.push_back({string_or(tenant, "name", ""), number_or(tenant, "portion", 0),
                                  number_or(tenant, "quotaPerS", 0)});
    }
  }
  const Value& limits = object_or_empty(env, "policyLimits");
  settings.limits.cancel = bool_or(limits, "cancel", false);
  settings.limits.probes = bool_or(limits, "probes", false);
  settings.limits.peers = bool_or(limits, "peers", false);
  settings.limits.second_copies = bool_or(limits, "secondCopies", false);
  settings.limits.retry_after = bool_or(limits, "retryAfter", false);
  settings.limits.max_retry_after = integer_or(limits, "maxRetryAfter", 0);
  settings.limits.max_attempts = static_cast<int>(integer_or(limits, "maxAttempts", 1));
  const Value& rules = object_or_empty(env, "rules");
  settings.rules.answer_slack = integer_or(rules, "answerSlack", 0);
  settings.rules.drain_grace = integer_or(rules, "stopSendingWithin", 0);
  settings.rules.ask_within = integer_or(rules, "askWithin", 0);
  settings.rules.slow_start_initial_capacity = number_or(rules, "coldFrom", 1);
  settings.rules.slow_start_duration = integer_or(rules, "cold", 0);
  settings.rules.overload_multiple = number_or(rules, "fallMultiple", 0);
  settings.rules.overload_window = integer_or(rules, "tipAfter", 0);
  settings.rules.key_quiet_period = integer_or(rules, "keyQuiet", 0);
  settings.rules.has_retry_budget = find_member(rules, "extraRatio") != nullptr;
  settings.rules.retry_budget_share = number_or(rules, "extraRatio", 0);
  settings.rules.retry_budget_floor = number_or(rules, "budgetFree", 0);
  settings.rules.retry_budget_window = integer_or(rules, "lookBack", 0);
  settings.must_subscribe = string_or(env, "registryMode", "pushed") == "on_request";
  settings.grants = bool_or(domain, "grantsCount", false);
  settings.priorities = bool_or(domain, "lanesCount", false);
  settings.engines_report_cost = bool_or(domain, "bills", false);
  settings.max_grant_share = number_or(domain, "mostGrant", 1);
  // The decision module tracks memory only if engines page ("overcommit"), so a misspelt word must not be
  // read as the default, "line_up".
  const std::string memory_shortage_policy = string_or(domain, "whenShort", "line_up");
  if (memory_shortage_policy != "line_up" && memory_shortage_policy != "cut" &&
      memory_shortage_policy != "overcommit")
    throw_field_error("domain.whenShort", "line_up, cut or overcommit is needed");
  settings.memory_shortage_policy = memory_shortage_policy == "cut" ? MemoryShortagePolicy::kReduceGrant
                                    : memory_shortage_policy == "overcommit"
                                        ? MemoryShortagePolicy::kOvercommit
                                        : MemoryShortagePolicy::kWait;
  // Runaway attempts are detected by overdue progress notes; with a negative interval every note would be
  // late.
  settings.progress_interval = integer_or(domain, "progressPace", 0);
  if (settings.progress_interval < 0)
    throw_field_error("domain.progressPace", "0 or more microseconds is needed");
  for (const auto& kind : settings.kinds)
    if (kind.cores < 1 || kind.memory_mb < 0)
      throw_field_error("domain.sizeCores", "1 core or more and memory of 0 MB or more");
  settings.over_share_value = number_or(env, "overShareWorth", 1);
  return settings;
}

}  // namespace orchidgw::config
