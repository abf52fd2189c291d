#include "config/settings_reader.h"

#include "config/json_fields.h"

namespace orchidgw::config {
namespace {

using rapidjson::SizeType;
using rapidjson::Value;

ClassSettings read_class(const Value& v, const Value& domain, SizeType i) {
  if (!v.IsObject()) wrong("classes", "a list of objects is needed");
  ClassSettings c;
  c.name = text_in(v, "name", "");
  if (c.name.empty()) wrong("classes.name", "missing");
  c.aim = integer_in(v, "aim", 0);
  c.aim_stretch = number_in(v, "aimStretch", 0);
  c.deadline = integer_in(v, "deadline", 0);
  const std::string effect = text_in(v, "effect", "");
  if (effect == "idempotent") {
    c.effect = Effect::kIdempotent;
  } else if (effect == "deduplicated") {
    c.effect = Effect::kDeduplicated;
  } else if (effect == "at_most_once") {
    c.effect = Effect::kAtMostOnce;
  } else {
    wrong("classes.effect", "unknown word");
  }
  const std::string scope = text_in(v, "keyScope", "all");
  if (scope == "all") {
    c.repeat_scope = RepeatScope::kAll;
  } else if (scope == "zone") {
    c.repeat_scope = RepeatScope::kZone;
  } else if (scope == "cell") {
    c.repeat_scope = RepeatScope::kCell;
  } else {
    wrong("classes.keyScope", "unknown word");
  }
  c.repeat_window = integer_in(v, "repeatWindow", 0);
  c.value = number_in(v, "value", 1);
  c.late_worth = number_in(v, "lateWorth", 0);
  c.in_order = flag_in(v, "serialByKey", false);
  c.streaming = flag_in(v, "streaming", false);
  if (find(v, "zonesOpen")) c.zones = texts_in(v, "zonesOpen");
  if (find(v, "shapesOnly")) c.kinds = texts_in(v, "shapesOnly");
  c.threads = static_cast<int>(number_at(domain, "dop", i, 1));
  c.load = flag_at(domain, "loads", i);
  c.waits_for_loads = flag_at(domain, "waitsForLoads", i);
  return c;
}

}  // namespace

Settings read_settings(const Value& env) {
  Settings s;
  const Value& domain = object_in(env, "domain");
  s.gateways = static_cast<int>(integer_in(env, "balancers", 1));
  s.self = static_cast<int>(integer_in(env, "me", 0));
  s.zone = text_in(env, "myZone", "");
  const Value* classes = find(env, "classes");
  if (!classes || !classes->IsArray()) wrong("classes", "a list is needed");
  for (SizeType i = 0; i < classes->Size(); ++i) s.classes.push_back(read_class((*classes)[i], domain, i));
  const auto kinds = texts_in(env, "shapes");
  for (SizeType i = 0; i < kinds.size(); ++i)
    s.kinds.push_back({kinds[i], static_cast<int>(number_at(domain, "sizeCores", i, 1)),
                       number_at(domain, "kindMemoryMb", i, 0)});
  if (const Value* tenants = find(env, "tenants")) {
    if (!tenants->IsArray()) wrong("tenants", "a list is needed");
    for (const auto& t : tenants->GetArray()) {
      if (!t.IsObject()) wrong("tenants", "a list of objects is needed");
      s.tenants.push_back({text_in(t, "name", ""), number_in(t, "portion", 0), number_in(t, "quotaPerS", 0)});
    }
  }
  const Value& limits = object_in(env, "policyLimits");
  s.limits.cancel = flag_in(limits, "cancel", false);
  s.limits.probes = flag_in(limits, "probes", false);
  s.limits.peers = flag_in(limits, "peers", false);
  s.limits.second_copies = flag_in(limits, "secondCopies", false);
  s.limits.retry_after = flag_in(limits, "retryAfter", false);
  s.limits.max_retry_after = integer_in(limits, "maxRetryAfter", 0);
  s.limits.max_attempts = static_cast<int>(integer_in(limits, "maxAttempts", 1));
  const Value& rules = object_in(env, "rules");
  s.rules.answer_slack = integer_in(rules, "answerSlack", 0);
  s.rules.drain_grace = integer_in(rules, "stopSendingWithin", 0);
  s.rules.ask_within = integer_in(rules, "askWithin", 0);
  s.rules.cold_from = number_in(rules, "coldFrom", 1);
  s.rules.cold_for = integer_in(rules, "cold", 0);
  s.rules.fall_multiple = number_in(rules, "fallMultiple", 0);
  s.rules.fall_window = integer_in(rules, "tipAfter", 0);
  s.rules.key_rest = integer_in(rules, "keyQuiet", 0);
  s.rules.attempts_rationed = find(rules, "extraRatio") != nullptr;
  s.rules.extra_share = number_in(rules, "extraRatio", 0);
  s.rules.extra_free = number_in(rules, "budgetFree", 0);
  s.rules.extra_window = integer_in(rules, "lookBack", 0);
  s.must_ask_discovery = text_in(env, "registryMode", "pushed") == "on_request";
  s.grants = flag_in(domain, "grantsCount", false);
  s.priorities = flag_in(domain, "lanesCount", false);
  s.tells_cost = flag_in(domain, "bills", false);
  s.max_grant_share = number_in(domain, "mostGrant", 1);
  // The module counts memory where engines page ("overcommit"): a word misspelt must not pass for "line_up".
  const std::string when_short = text_in(domain, "whenShort", "line_up");
  if (when_short != "line_up" && when_short != "cut" && when_short != "overcommit")
    wrong("domain.whenShort", "line_up, cut or overcommit is needed");
  s.when_short = when_short == "cut"          ? WhenShort::kShrink
                 : when_short == "overcommit" ? WhenShort::kPage
                                              : WhenShort::kWait;
  // Notes' pace judges runaway attempts; a negative one would have every note look late.
  s.progress_interval = integer_in(domain, "progressPace", 0);
  if (s.progress_interval < 0) wrong("domain.progressPace", "0 or more microseconds is needed");
  for (const auto& k : s.kinds)
    if (k.cores < 1 || k.memory_mb < 0)
      wrong("domain.sizeCores", "1 core or more and memory of 0 MB or more");
  s.over_share_worth = number_in(env, "overShareWorth", 1);
  return s;
}

}  // namespace orchidgw::config
