#include "sim/codec.h"

#include <array>
#include <cmath>
#include <limits>

namespace orchidgw::sim {
namespace {

using rapidjson::SizeType;
using rapidjson::Value;

[[noreturn]] void wrong(const std::string& field, const char* wanted) {
  throw WireError("field '" + field + "': " + wanted);
}

const Value* find(const Value& object, const char* key) {
  const auto it = object.FindMember(key);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

std::int64_t to_integer(const Value& v, const std::string& field) {
  if (v.IsInt64()) return v.GetInt64();
  if (v.IsNumber()) {
    const double d = v.GetDouble();
    if (std::isfinite(d) && std::abs(d) < 9e15) return std::llround(d);
  }
  wrong(field, "a whole number is needed");
}

double number_in(const Value& o, const char* key, double otherwise) {
  const Value* v = find(o, key);
  if (!v) return otherwise;
  if (!v->IsNumber()) wrong(key, "a number is needed");
  return v->GetDouble();
}

std::int64_t integer_in(const Value& o, const char* key, std::int64_t otherwise) {
  const Value* v = find(o, key);
  return v ? to_integer(*v, key) : otherwise;
}

bool flag_in(const Value& o, const char* key, bool otherwise) {
  const Value* v = find(o, key);
  if (!v) return otherwise;
  if (!v->IsBool()) wrong(key, "true or false is needed");
  return v->GetBool();
}

std::string text_in(const Value& o, const char* key, const std::string& otherwise) {
  const Value* v = find(o, key);
  if (!v) return otherwise;
  if (!v->IsString()) wrong(key, "a text is needed");
  return {v->GetString(), v->GetStringLength()};
}

std::vector<std::string> texts_in(const Value& o, const char* key) {
  std::vector<std::string> out;
  const Value* v = find(o, key);
  if (!v) return out;
  if (!v->IsArray()) wrong(key, "a list is needed");
  for (const auto& x : v->GetArray()) {
    if (!x.IsString()) wrong(key, "a list of texts is needed");
    out.emplace_back(x.GetString(), x.GetStringLength());
  }
  return out;
}

const Value& object_in(const Value& o, const char* key) {
  static const Value kEmpty(rapidjson::kObjectType);
  const Value* v = find(o, key);
  if (!v) return kEmpty;
  if (!v->IsObject()) wrong(key, "an object is needed");
  return *v;
}

// Element i of a list of figures; `otherwise` where the list or the element is missing.
const Value* element(const Value& o, const char* key, SizeType i) {
  const Value* v = find(o, key);
  if (!v) return nullptr;
  if (!v->IsArray()) wrong(key, "a list is needed");
  return i < v->Size() && !(*v)[i].IsNull() ? &(*v)[i] : nullptr;
}

double number_at(const Value& o, const char* key, SizeType i, double otherwise) {
  const Value* v = element(o, key, i);
  if (v && !v->IsNumber()) wrong(key, "a list of numbers is needed");
  return v ? v->GetDouble() : otherwise;
}

bool flag_at(const Value& o, const char* key, SizeType i) {
  const Value* v = element(o, key, i);
  if (v && !v->IsBool()) wrong(key, "a list of true and false is needed");
  return v && v->GetBool();
}

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

bool Fields::absent(SizeType at) const { return at >= message_.Size() || message_[at].IsNull(); }

const Value& Fields::at(SizeType at, const char* name) const {
  if (absent(at)) wrong(name, "missing");
  return message_[at];
}

std::string Fields::text(SizeType i, const char* name) const {
  const Value& v = at(i, name);
  if (!v.IsString()) wrong(name, "a text is needed");
  return {v.GetString(), v.GetStringLength()};
}

std::string Fields::text_or_empty(SizeType i, const char* name) const {
  if (absent(i) || (message_[i].IsNumber() && message_[i].GetDouble() == 0)) return "";
  return text(i, name);
}

std::int64_t Fields::integer(SizeType i, const char* name) const { return to_integer(at(i, name), name); }

std::int64_t Fields::integer_or(SizeType i, const char* name, std::int64_t otherwise) const {
  return absent(i) ? otherwise : integer(i, name);
}

QueryId Fields::query(SizeType i, const char* name) const {
  const std::int64_t v = integer(i, name);
  if (v < 0 || v > std::numeric_limits<QueryId>::max()) wrong(name, "a number below 2^32 is needed");
  return static_cast<QueryId>(v);
}

double Fields::number(SizeType i, const char* name) const {
  const Value& v = at(i, name);
  if (!v.IsNumber()) wrong(name, "a number is needed");
  return v.GetDouble();
}

double Fields::number_or(SizeType i, const char* name, double otherwise) const {
  return absent(i) ? otherwise : number(i, name);
}

bool Fields::flag(SizeType i, const char* name) const {
  const Value& v = at(i, name);
  if (!v.IsBool()) wrong(name, "true or false is needed");
  return v.GetBool();
}

bool Fields::flag_or(SizeType i, const char* name, bool otherwise) const {
  return absent(i) ? otherwise : flag(i, name);
}

LoadReport Fields::report(SizeType i, const char* name) const {
  LoadReport out;
  if (absent(i)) return out;
  for (const auto& m : object(i, name).GetObject())
    if (m.value.IsNumber()) out[{m.name.GetString(), m.name.GetStringLength()}] = m.value.GetDouble();
  return out;
}

const Value& Fields::object(SizeType i, const char* name) const {
  const Value& v = at(i, name);
  if (!v.IsObject()) wrong(name, "an object is needed");
  return v;
}

const Value& Fields::array(SizeType i, const char* name) const {
  const Value& v = at(i, name);
  if (!v.IsArray()) wrong(name, "a list is needed");
  return v;
}

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
  const std::string when_short = text_in(domain, "whenShort", "line_up");
  s.when_short = when_short == "cut"          ? WhenShort::kShrink
                 : when_short == "overcommit" ? WhenShort::kPage
                                              : WhenShort::kWait;
  s.progress_interval = integer_in(domain, "progressPace", 0);
  s.over_share_worth = number_in(env, "overShareWorth", 1);
  return s;
}

std::vector<EngineEntry> read_entries(const Value& list) {
  std::vector<EngineEntry> out;
  for (const auto& v : list.GetArray()) {
    if (!v.IsArray()) wrong("membersList", "a list of lists is needed");
    const Fields f(v);
    EngineEntry e;
    e.zone = f.text_or_empty(0, "rackZone");
    e.started_at = f.integer_or(2, "born", 0);
    const std::string state = f.text(3, "phase");
    if (state == "in_service") {
      e.state = EngineState::kInService;
    } else if (state == "terminating") {
      e.state = EngineState::kDraining;
    } else if (state == "terminated") {
      e.state = EngineState::kGone;
    } else {
      wrong("phase", "unknown word");
    }
    e.id = f.text(4, "executor");
    e.kind = f.text_or_empty(5, "machine");
    e.cell = static_cast<int>(f.integer_or(6, "bay", 0));
    out.push_back(std::move(e));
  }
  return out;
}

OutcomeKind read_outcome_kind(std::int64_t code) {
  if (code < 0 || code > 7) wrong("verdict", "unknown outcome");
  return static_cast<OutcomeKind>(code);
}

namespace {
constexpr char kAlphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}

std::string to_base64(const std::string& bytes) {
  std::string out;
  unsigned bits = 0;
  int held = 0;
  for (const char c : bytes) {
    bits = (bits << 8 | static_cast<unsigned char>(c)) & 0xffffffU;
    for (held += 8; held >= 6; held -= 6) out += kAlphabet[bits >> (held - 6) & 63];
  }
  if (held > 0) out += kAlphabet[bits << (6 - held) & 63];
  while (out.size() % 4 != 0) out += '=';
  return out;
}

std::string from_base64(const std::string& text) {
  std::array<int, 256> value{};
  value.fill(-1);
  for (int i = 0; i < 64; ++i) value[static_cast<unsigned char>(kAlphabet[i])] = i;
  std::string out;
  unsigned bits = 0;
  int held = 0;
  for (const char c : text) {
    if (c == '=') break;
    const int v = value[static_cast<unsigned char>(c)];
    if (v < 0) wrong("bytes", "base64 is needed");
    bits = (bits << 6 | static_cast<unsigned>(v)) & 0xffffffU;
    held += 6;
    if (held >= 8) {
      held -= 8;
      out += static_cast<char>(bits >> held & 255);
    }
  }
  return out;
}

Reply::Reply() {
  writer_.StartObject();
  writer_.Key("output");
  writer_.StartArray();
}

std::string Reply::finish() {
  writer_.EndArray();
  writer_.EndObject();
  return {buffer_.GetString(), buffer_.GetSize()};
}

void Reply::text(const std::string& value) {
  writer_.String(value.data(), static_cast<SizeType>(value.size()));
}

void Reply::open(const char* word) {
  writer_.StartArray();
  writer_.String(word);
  text(instance_);
}

void Reply::fault(const std::string& why) {
  open("BAIL_OUT");
  text(why);
  writer_.EndArray();
}

void Reply::send(QueryId query, const EngineId& engine, TimeUs stop_at) {
  open("DISPATCH");
  writer_.Uint(query);
  writer_.Int64(stop_at);
  text(engine);
  writer_.EndArray();
}

void Reply::refuse(QueryId query, TimeUs retry_after) {
  open("PUSH_BACK");
  writer_.Uint(query);
  writer_.Int64(retry_after);
  writer_.EndArray();
}

void Reply::fail(QueryId query) {
  open("ERROR");
  writer_.Uint(query);
  writer_.EndArray();
}

void Reply::cancel(QueryId query, int attempt) {
  open("REVOKE");
  writer_.Uint(query);
  writer_.Int(attempt);
  writer_.EndArray();
}

void Reply::set_terms(QueryId query, int priority, double grant_mb) {
  open("LIMITS_FOR");
  writer_.Uint(query);
  writer_.Int(priority);
  writer_.Double(grant_mb);
  writer_.EndArray();
}

void Reply::probe(const EngineId& engine) {
  open("SOUND_OUT");
  text(engine);
  writer_.EndArray();
}

void Reply::subscribe() {
  open("LISTEN");
  writer_.Bool(true);
  writer_.EndArray();
}

void Reply::fetch_list() {
  open("FETCH");
  writer_.EndArray();
}

void Reply::tell_all(const std::string& bytes) {
  open("NOTIFY");
  writer_.String("all");
  text(to_base64(bytes));
  writer_.EndArray();
}

void Reply::set_timer(TimeUs delay, std::uint64_t token) {
  open("ARM");
  writer_.Int64(delay);
  writer_.Uint64(token);
  writer_.EndArray();
}

void Reply::log(const std::string& message) {
  open("PRINT");
  text(message);
  writer_.EndArray();
}

}  // namespace orchidgw::sim
