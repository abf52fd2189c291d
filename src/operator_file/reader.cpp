#include <algorithm>
#include <array>
#include <utility>

#include "operator_file/fields.h"
#include "operator_file/levels_reader.h"
#include "operator_file/operator_file.h"

namespace orchidgw::operator_file {
namespace {

using namespace limits;  // types of the values in the file

constexpr int kMaxCount = 1'000'000;
constexpr std::pair<const char*, OutcomeKind> kOutcomeNames[] = {
    {"error", OutcomeKind::kError},
    {"full", OutcomeKind::kFull},
    {"timeout", OutcomeKind::kTimeout},
    {"connect_failed", OutcomeKind::kConnectFailed},
    {"reset", OutcomeKind::kReset}};
constexpr std::array<const char*, 4> kLogLevels = {"error", "warn", "info", "debug"};
constexpr std::array<const char*, 5> kLogComponents = {"core", "net", "config", "limits", "fleet"};

bool is_valid_name(std::string_view text) {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

class OperatorFileReader {
 public:
  explicit OperatorFileReader(std::vector<Fault>& faults) : faults_(faults) {}

  void read(const YamlNode& root, OperatorFile& file) {
    Fields top(root, "", faults_);
    if (!top.is_map()) return;
    require_supported_version(top);
    if (const YamlNode* log = top.find("log")) read_log(*log, file.log);
    if (const YamlNode* defaults = top.find("defaults")) {
      Fields fields(*defaults, "defaults", faults_);
      read_bounds(fields, file.limits.defaults);
      fields.report_unknown_fields();
    }
    if (const YamlNode* retries = top.find("retries")) read_retries(*retries, "retries", file.limits.retries);
    if (const YamlNode* routes = top.find("routes")) read_routes(top, *routes, file.limits.routes);
    if (const YamlNode* levels = top.find("levels")) read_levels(*levels, faults_, file.levels);
    top.report_unknown_fields();
  }

 private:
  void read_log(const YamlNode& node, LogChoice& to) {
    Fields fields(node, "log", faults_);
    one_of(fields, "level", kLogLevels, to.level);
    one_of(fields, "format", std::array<const char*, 2>{"text", "json"}, to.format);
    if (const YamlNode* components = fields.find("components")) {
      Fields each(*components, "log.components", faults_);
      for (const char* name : kLogComponents) {
        std::string level;
        one_of(each, name, kLogLevels, level);
        if (!level.empty()) to.components[name] = level;
      }
      each.report_unknown_fields();
    }
    fields.report_unknown_fields();
  }

  template <std::size_t N>
  void one_of(Fields& fields, const char* key, const std::array<const char*, N>& words, std::string& to) {
    OptionalLocated<std::string> word;
    fields.word(key, word);
    if (!word) return;
    std::string all;
    for (const char* w : words) {
      all += (all.empty() ? "" : ", ") + std::string(w);
      if (word->value == w) to = w;
    }
    if (to.empty()) fields.fault(*fields.find(key), key, "one of these is wanted: " + all);
  }

  void read_routes(Fields& top, const YamlNode& node, std::vector<Route>& to) {
    if (node.kind != YamlNode::Kind::kSequence)
      return top.fault(node, "routes", "a list of routes is wanted");
    to.reserve(node.items.size());
    for (std::size_t i = 0; i < node.items.size(); ++i) {
      if (faults_.size() >= kMaxFaults) return;
      read_route(node.items[i], "routes[" + std::to_string(i) + "]", to.emplace_back());
    }
  }

  void read_route(const YamlNode& node, const std::string& path, Route& to) {
    Fields fields(node, path, faults_);
    to.place = node.place;
    if (!fields.is_map()) return;
    if (const YamlNode* name = fields.require("name")) {
      if (name->kind == YamlNode::Kind::kScalar && is_valid_name(name->text)) {
        to.name = name->text;
      } else {
        fields.fault(*name, "name", "a name of letters, digits, '-', '_' and '.' is wanted, 64 at most");
      }
    }
    fields.word("like", to.like);
    if (const YamlNode* match = fields.require("match")) read_match(*match, path + ".match", to.match);
    read_bounds(fields, to.bounds);
    fields.report_unknown_fields();
  }

  void read_match(const YamlNode& node, const std::string& path, Match& to) {
    Fields fields(node, path, faults_);
    if (!fields.is_map()) return;
    fields.word("class", to.class_name);
    fields.word("tenant", to.tenant);
    if (const YamlNode* table = fields.find("table")) read_table(fields, *table, to.table);
    OptionalLocated<std::string> key;
    fields.word("key", key);
    if (key && key->value != "given" && key->value != "absent") {
      fields.fault(*fields.find("key"), "key", "one of these is wanted: given, absent");
    } else if (key) {
      to.key = {key->value == "given" ? KeyMatch::kGiven : KeyMatch::kAbsent, key->place};
    }
    fields.report_unknown_fields();
    if (node.members.empty()) fields.fault(node, "", "matches everything: that is what defaults are for");
  }

  void read_table(Fields& fields, const YamlNode& node, OptionalLocated<TablePattern>& to) {
    std::string text = node.kind == YamlNode::Kind::kScalar ? node.text : "";
    const bool prefix = text.ends_with('*');
    if (prefix) text.pop_back();
    const bool ok =
        !text.empty() && text.size() <= 128 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
          return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '_' || c == '.' || c == '$' ||
                 c >= 0x80;
        });
    if (!ok)
      return fields.fault(node, "table",
                          "a table like sales_17.orders or a prefix like sales_* is wanted, in lower case");
    to = {TablePattern{text, prefix}, node.place};
  }

  void read_bounds(Fields& fields, Bounds& to) {
    if (!fields.is_map()) return;
    fields.time("timeout", to.timeout);
    fields.time("attempt_timeout", to.attempt_timeout);
    fields.time("longest_hold", to.longest_hold);
    fields.count("attempts", to.attempts, 1, 100);
    fields.count("line", to.queue_size, 0, kMaxCount);
    if (const YamlNode* node = fields.find("second_copy")) read_copy(fields, *node, to.second_copy);
    if (const YamlNode* node = fields.find("back_off")) read_back_off(fields, *node, to.back_off);
    if (const YamlNode* node = fields.find("retry_on")) read_retry_on(fields, *node, to.retry_on);
    if (const YamlNode* node = fields.find("concurrency")) read_concurrency(fields, *node, to.concurrency);
    if (const YamlNode* node = fields.find("rate")) read_rate(fields, *node, to.rate);
    if (const YamlNode* node = fields.find("retries"))
      read_retries(*node, fields.path() + ".retries", to.retries);
  }

  void read_copy(Fields& outer, const YamlNode& node, OptionalLocated<SecondCopy>& to) {
    if (node.kind == YamlNode::Kind::kScalar) {
      if (node.text != "never")
        return outer.fault(node, "second_copy", "'never', after or after_quantile is wanted");
      to = {SecondCopy{}, node.place};
      return;
    }
    Fields fields(node, outer.path() + ".second_copy", faults_);
    const std::size_t before = faults_.size();
    OptionalLocated<TimeUs> after, at_least, at_most;
    OptionalLocated<double> quantile;
    fields.time("after", after);
    fields.number("after_quantile", quantile, 0.5, 0.999);
    fields.time("at_least", at_least);
    fields.time("at_most", at_most);
    fields.report_unknown_fields();
    if (faults_.size() > before) return;
    if (after.has_value() == quantile.has_value())
      return outer.fault(node, "second_copy", "one of after and after_quantile is wanted");
    if (after && (at_least || at_most))
      return outer.fault(node, "second_copy", "at_least and at_most go with after_quantile");
    SecondCopy copy;
    copy.when = after ? SecondCopy::When::kDelay : SecondCopy::When::kQuantile;
    copy.delay = after ? after->value : 0;
    copy.quantile = quantile ? quantile->value : 0;
    copy.at_least = at_least ? at_least->value : 0;
    copy.at_most = at_most ? at_most->value : 0;
    to = {copy, node.place};
  }

  void read_back_off(Fields& outer, const YamlNode& node, OptionalLocated<BackOff>& to) {
    Fields fields(node, outer.path() + ".back_off", faults_);
    const std::size_t before = faults_.size();
    OptionalLocated<TimeUs> first, most;
    OptionalLocated<double> factor, jitter;
    if (fields.require("first") != nullptr) fields.time("first", first);
    fields.time("most", most);
    fields.number("factor", factor, 1, 10);
    fields.share("jitter", jitter);
    fields.report_unknown_fields();
    if (faults_.size() > before || !first) return;
    BackOff b;
    b.first = first->value;
    b.most = most ? most->value : std::max<TimeUs>(10 * b.first, b.first);
    if (factor) b.factor = factor->value;
    if (jitter) b.jitter = jitter->value;
    to = {b, node.place};
  }

  void read_retry_on(Fields& outer, const YamlNode& node, OptionalLocated<RetryOn>& to) {
    if (node.kind != YamlNode::Kind::kSequence)
      return outer.fault(node, "retry_on", "a list of ends is wanted");
    RetryOn on;
    for (const YamlNode& item : node.items) {
      const auto it = std::find_if(std::begin(kOutcomeNames), std::end(kOutcomeNames),
                                   [&](const auto& e) { return item.text == e.first; });
      if (it == std::end(kOutcomeNames))
        return outer.fault(item, "retry_on",
                           "one of these is wanted: error, full, timeout, connect_failed, reset");
      if (on.has(it->second)) return outer.fault(item, "retry_on", "'" + item.text + "' stands here twice");
      on.add(it->second);
    }
    to = {on, node.place};
  }

  void read_concurrency(Fields& outer, const YamlNode& node, OptionalLocated<Concurrency>& to) {
    OptionalLocated<int> most, least;
    if (node.kind == YamlNode::Kind::kScalar) {
      outer.count("concurrency", most, 0, kMaxCount);
      if (most) to = {Concurrency{most->value, 0}, node.place};
      return;
    }
    Fields fields(node, outer.path() + ".concurrency", faults_);
    const std::size_t before = faults_.size();
    const bool scoped = fields.find("scope") != nullptr;
    if (!scoped) static_cast<void>(fields.require("least"));
    fields.count("least", least, 1, kMaxCount);
    if (fields.require("most") != nullptr) fields.count("most", most, 1, kMaxCount);
    const bool fleet = read_scope(fields);
    fields.report_unknown_fields();
    if (faults_.size() == before && most && (least || scoped))
      to = {Concurrency{most->value, least ? least->value : 0, fleet}, node.place};
  }

  void read_rate(Fields& outer, const YamlNode& node, OptionalLocated<Rate>& to) {
    Fields fields(node, outer.path() + ".rate", faults_);
    const std::size_t before = faults_.size();
    OptionalLocated<double> per_second, burst;
    if (fields.require("per_second") != nullptr) fields.number("per_second", per_second, 0, 1e6);
    fields.number("burst", burst, 1, 1e6);
    const bool fleet = read_scope(fields);
    fields.report_unknown_fields();
    if (faults_.size() > before || !per_second) return;
    if (per_second->value > 0 && per_second->value < 1e-3)
      return fields.fault(node, "per_second", "0, or 0.001 and more is wanted");
    to = {Rate{per_second->value, burst ? burst->value : 1, fleet}, node.place};
  }

  // Returns true if the limit applies to all controllers of the fleet together.
  bool read_scope(Fields& fields) { return fields.is_alternative("scope", "controller", "fleet"); }

  void read_retries(const YamlNode& node, const std::string& path, OptionalLocated<RetryBudgetSettings>& to) {
    Fields fields(node, path, faults_);
    const std::size_t before = faults_.size();
    OptionalLocated<double> share, floor;
    OptionalLocated<TimeUs> window;
    if (fields.require("share") != nullptr) fields.share("share", share);
    fields.number("floor", floor, 0, 1e6);
    fields.time("window", window, 1'000);
    fields.report_unknown_fields();
    if (faults_.size() > before || !share) return;
    RetryBudgetSettings out;
    out.share = share->value;
    if (floor) out.floor = floor->value;
    if (window) out.window = window->value;
    to = {out, node.place};
  }

  std::vector<Fault>& faults_;
};

}  // namespace

OperatorFileResult read_operator_file(std::string_view text, const FileSizeLimits& size_limits) {
  OperatorFileResult out;
  const YamlNode root = parse_yaml(text, size_limits, out.faults);
  if (!out.faults.empty()) return out;
  OperatorFileReader(out.faults).read(root, out.file);
  std::stable_sort(out.faults.begin(), out.faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
  });
  if (out.faults.size() > kMaxFaults) out.faults.resize(kMaxFaults);
  return out;
}

std::string fault_line(const std::string& path, const limits::Fault& fault) {
  std::string out = path;
  if (fault.place.line > 0)
    out += ":" + std::to_string(fault.place.line) + ":" + std::to_string(fault.place.column);
  if (!fault.path.empty()) out += ": " + fault.path;
  return out + ": " + fault.why;
}

}  // namespace orchidgw::operator_file
