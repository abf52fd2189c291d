#include "config/settings_reader.h"

#include "config/json_fields.h"

namespace orchidgw::config {
namespace {

using rapidjson::SizeType;
using rapidjson::Value;

ClassSettings read_class(const Value& value, const Value& domain, SizeType i) {
  if (!value.IsObject()) wrong("classes", "a list of objects is needed");
  ClassSettings query_class;
  query_class.name = string_or(value, "name", "");
  if (query_class.name.empty()) wrong("classes.name", "missing");
  query_class.aim = integer_or(value, "aim", 0);
  query_class.aim_stretch = number_or(value, "aimStretch", 0);
  query_class.deadline = integer_or(value, "deadline", 0);
  const std::string effect = string_or(value, "effect", "");
  if (effect == "idempotent") {
    query_class.effect = Effect::kIdempotent;
  } else if (effect == "deduplicated") {
    query_class.effect = Effect::kDeduplicated;
  } else if (effect == "at_most_once") {
    query_class.effect = Effect::kAtMostOnce;
  } else {
    wrong("classes.effect", "unknown word");
  }
  const std::string scope = string_or(value, "keyScope", "all");
  if (scope == "all") {
    query_class.repeat_scope = RepeatScope::kAll;
  } else if (scope == "zone") {
    query_class.repeat_scope = RepeatScope::kZone;
  } else if (scope == "cell") {
    query_class.repeat_scope = RepeatScope::kCell;
  } else {
    wrong("classes.keyScope", "unknown word");
  }
  query_class.repeat_window = integer_or(value, "repeatWindow", 0);
  query_class.value = number_or(value, "value", 1);
  query_class.late_worth = number_or(value, "lateWorth", 0);
  query_class.in_order = bool_or(value, "serialByKey", false);
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
  if (!classes || !classes->IsArray()) wrong("classes", "a list is needed");
  for (SizeType i = 0; i < classes->Size(); ++i)
    settings.classes.push_back(read_class((*classes)[i], domain, i));
  const auto kinds = string_list(env, "shapes");
  for (SizeType i = 0; i < kinds.size(); ++i)
    settings.kinds.push_back({kinds[i], static_cast<int>(number_at_or(domain, "sizeCores", i, 1)),
                              number_at_or(domain, "kindMemoryMb", i, 0)});
  if (const Value* tenants = find_member(env, "tenants")) {
    if (!tenants->IsArray()) wrong("tenants", "a list is needed");
    for (const auto& tenant : tenants->GetArray()) {
      if (!tenant.IsObject()) wrong("tenants", "a list of objects is needed");
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
  settings.rules.cold_from = number_or(rules, "coldFrom", 1);
  settings.rules.cold_for = integer_or(rules, "cold", 0);
  settings.rules.fall_multiple = number_or(rules, "fallMultiple", 0);
  settings.rules.fall_window = integer_or(rules, "tipAfter", 0);
  settings.rules.key_rest = integer_or(rules, "keyQuiet", 0);
  settings.rules.attempts_rationed = find_member(rules, "extraRatio") != nullptr;
  settings.rules.extra_share = number_or(rules, "extraRatio", 0);
  settings.rules.extra_free = number_or(rules, "budgetFree", 0);
  settings.rules.extra_window = integer_or(rules, "lookBack", 0);
  settings.must_ask_discovery = string_or(env, "registryMode", "pushed") == "on_request";
  settings.grants = bool_or(domain, "grantsCount", false);
  settings.priorities = bool_or(domain, "lanesCount", false);
  settings.tells_cost = bool_or(domain, "bills", false);
  settings.max_grant_share = number_or(domain, "mostGrant", 1);
  // The decision module tracks memory only if engines page ("overcommit"), so a misspelt word must not be
  // read as the default, "line_up".
  const std::string when_short = string_or(domain, "whenShort", "line_up");
  if (when_short != "line_up" && when_short != "cut" && when_short != "overcommit")
    wrong("domain.whenShort", "line_up, cut or overcommit is needed");
  settings.when_short = when_short == "cut"          ? WhenShort::kShrink
                        : when_short == "overcommit" ? WhenShort::kPage
                                                     : WhenShort::kWait;
  // Runaway attempts are detected by overdue progress notes; with a negative interval every note would be
  // late.
  settings.progress_interval = integer_or(domain, "progressPace", 0);
  if (settings.progress_interval < 0) wrong("domain.progressPace", "0 or more microseconds is needed");
  for (const auto& kind : settings.kinds)
    if (kind.cores < 1 || kind.memory_mb < 0)
      wrong("domain.sizeCores", "1 core or more and memory of 0 MB or more");
  settings.over_share_worth = number_or(env, "overShareWorth", 1);
  return settings;
}

}  // namespace orchidgw::config
