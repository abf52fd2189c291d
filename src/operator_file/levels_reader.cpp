#include "operator_file/levels_reader.h"

#include <algorithm>
#include <ctime>
#include <string>

#include "operator_file/fields.h"

namespace orchidgw::operator_file {
namespace {

using namespace service_level;  // types of the values in the file

constexpr std::size_t kMaxListEntries = 32;

class LevelsReader {
 public:
  explicit LevelsReader(std::vector<Fault>& faults) : faults_(faults) {}

  void read(const YamlNode& node, LevelFile& to) {
    Fields fields(node, "levels", faults_);
    if (const YamlNode* list = fields.require("list")) read_list(fields, *list, to.levels);
    if (const YamlNode* trial = fields.find("trial")) read_trial(*trial, to.trial);
    if (const YamlNode* changes = fields.find("changes")) read_changes(*changes, to.changes);
    if (const YamlNode* manual = fields.find("manual")) read_manual(*manual, to.manual);
    fields.report_unknown_fields();
  }

 private:
  void read_list(Fields& outer, const YamlNode& node, std::vector<Level>& to) {
    if (node.kind != YamlNode::Kind::kSequence || node.items.empty())
      return outer.fault(node, "list", "a list of levels is wanted, the one that sheds least first");
    for (std::size_t i = 0; i < node.items.size(); ++i)
      read_level(node.items[i], "levels.list[" + std::to_string(i) + "]", to.emplace_back());
  }

  void read_level(const YamlNode& node, const std::string& path, Level& to) {
    Fields fields(node, path, faults_);
    to.place = node.place;
    if (!fields.is_map()) return;
    OptionalLocated<std::string> name, tenant;
    OptionalLocated<TimeUs> least, longest;
    if (fields.require("name") != nullptr) fields.word("name", name);
    fields.word("tenant", tenant);
    fields.time("least_stay", least);
    fields.time("longest_stay", longest);
    if (name) to.name = name->value;
    if (tenant) to.tenant = tenant->value;
    if (least) to.least_stay = least->value;
    if (longest) to.longest_stay = longest->value;
    if (!longest) to.longest_stay = std::max(to.longest_stay, to.least_stay);
    if (const YamlNode* enter = fields.require("enter")) read_condition(*enter, path + ".enter", to.enter, 0);
    if (const YamlNode* leave = fields.require("leave")) read_condition(*leave, path + ".leave", to.leave, 0);
    if (const YamlNode* effects = fields.require("effects"))
      read_effects(*effects, path + ".effects", to.effects);
    fields.report_unknown_fields();
  }

  void read_condition(const YamlNode& node, const std::string& path, Condition& to, int depth) {
    Fields fields(node, path, faults_);
    to.place = node.place;
    if (!fields.is_map()) return;
    const YamlNode* all = fields.find("all");
    const YamlNode* any = fields.find("any");
    if (all == nullptr && any == nullptr) return read_signal_condition(fields, to);
    to.kind = all != nullptr ? Condition::Kind::kAll : Condition::Kind::kAny;
    const YamlNode& list = all != nullptr ? *all : *any;
    const char* word = all != nullptr ? "all" : "any";
    if (all != nullptr && any != nullptr) return fields.fault(node, "", "one of all and any is wanted");
    fields.report_unknown_fields();
    if (depth > 1) return fields.fault(node, "", "all and any go two deep at most");
    if (list.kind != YamlNode::Kind::kSequence || list.items.empty() || list.items.size() > kMaxListEntries)
      return fields.fault(list, word, "a list of 1 to 32 conditions is wanted");
    for (std::size_t i = 0; i < list.items.size(); ++i)
      read_condition(list.items[i], path + "." + word + "[" + std::to_string(i) + "]",
                     to.parts.emplace_back(), depth + 1);
  }

  void read_signal_condition(Fields& fields, Condition& to) {
    OptionalLocated<std::string> signal, class_name, tenant;
    OptionalLocated<TimeUs> hold, window;
    if (fields.require("signal") != nullptr) fields.word("signal", signal);
    fields.word("class", class_name);
    fields.word("tenant", tenant);
    fields.time("for", hold);
    fields.time("over", window, 1'000'000);
    const YamlNode* above = fields.find("above");
    const YamlNode* below = fields.find("below");
    fields.report_unknown_fields();
    if (class_name) to.key.class_name = class_name->value;
    if (tenant) to.key.tenant = tenant->value;
    if (hold) to.hold = hold->value;
    if (window) to.key.window = window->value;
    if (!signal) return;
    const auto known = signal_named(signal->value);
    if (!known)
      return fields.fault(
          *fields.find("signal"), "signal",
          "one of these is wanted: line_length, line_age, refused_share, late_share, arrivals, "
          "slowdown, slowest_engine, in_service, loop_lag, buffers");
    to.key.signal = *known;
    if ((above == nullptr) == (below == nullptr))
      return fields.fault(*fields.find("signal"), "", "one of above and below is wanted");
    to.above = above != nullptr;
    read_threshold(fields, above != nullptr ? *above : *below, above != nullptr ? "above" : "below", to);
  }

  void read_threshold(Fields& fields, const YamlNode& node, const char* key, Condition& to) {
    if (is_time(to.key.signal)) {
      const auto time = to_time(node);
      if (!time) return fields.fault(node, key, "a time with its unit is wanted");
      to.threshold = static_cast<double>(*time);
      return;
    }
    const bool share = to.key.signal == Signal::kRefusedShare || to.key.signal == Signal::kLateShare ||
                       to.key.signal == Signal::kInService || to.key.signal == Signal::kBuffers;
    const auto number = share ? to_share(node) : to_number(node);
    if (!number || (share && *number > 1))
      return fields.fault(node, key,
                          share ? "a share is wanted: 0 to 1, or 0% to 100%" : "a number is wanted");
    to.threshold = *number;
  }

  void read_effects(const YamlNode& node, const std::string& path, Effects& to) {
    Fields fields(node, path, faults_);
    if (!fields.is_map()) return;
    if (const YamlNode* shed = fields.find("shed")) read_shed(fields, *shed, path, to.shed);
    read_off_switch(fields, "second_copies", to.no_second_copies);
    read_off_switch(fields, "further_attempts", to.no_further_attempts);
    read_scale(fields, "limits", to.limits);
    read_scale(fields, "grants", to.grants);
    OptionalLocated<TimeUs> hold;
    fields.time("longest_hold", hold);
    if (hold) to.longest_hold = hold->value;
    if (const YamlNode* priority = fields.find("priority")) {
      const bool minus = priority->text.starts_with('-');
      YamlNode digits = *priority;
      if (minus) digits.text.erase(0, 1);
      const auto by = to_count(digits);
      if (!by || *by < 1 || *by > 3) {
        fields.fault(*priority, "priority", "a whole number from -3 to 3 is wanted, not 0");
      } else {
        to.priority = minus ? -*by : *by;
      }
    }
    fields.report_unknown_fields();
  }

  static void read_off_switch(Fields& fields, const char* key, bool& to) {
    OptionalLocated<std::string> word;
    fields.word(key, word);
    if (!word) return;
    to = word->value == "off" || word->value == "false";
    if (!to) fields.fault(*fields.find(key), key, "'off' is wanted: a level can't switch it on");
  }

  static void read_scale(Fields& fields, const char* key, double& to) {
    OptionalLocated<double> share;
    fields.share(key, share);
    if (!share) return;
    if (share->value < 0.01) return fields.fault(*fields.find(key), key, "1% at least");
    to = share->value;
  }

  void read_shed(Fields& outer, const YamlNode& node, const std::string& path, std::vector<ShedRule>& to) {
    if (node.kind != YamlNode::Kind::kSequence || node.items.size() > kMaxListEntries)
      return outer.fault(node, "shed", "a list of 32 entries at most is wanted");
    for (std::size_t i = 0; i < node.items.size(); ++i) {
      Fields fields(node.items[i], path + ".shed[" + std::to_string(i) + "]", faults_);
      OptionalLocated<std::string> class_name, tenant;
      OptionalLocated<double> share;
      fields.word("class", class_name);
      fields.word("tenant", tenant);
      fields.share("share", share);
      fields.report_unknown_fields();
      ShedRule& shed = to.emplace_back();
      shed.place = node.items[i].place;
      if (class_name) shed.class_name = class_name->value;
      if (tenant) shed.tenant = tenant->value;
      if (share) shed.share = share->value;
    }
  }

  void read_trial(const YamlNode& node, Trial& to) {
    Fields fields(node, "levels.trial", faults_);
    OptionalLocated<TimeUs> step, wait, most;
    fields.time("step", step);
    fields.time("wait", wait);
    fields.time("wait_most", most);
    if (step) to.step = step->value;
    if (wait) to.wait = wait->value;
    if (most) to.wait_most = most->value;
    if (const YamlNode* parts = fields.find("parts")) {
      to.parts.clear();
      for (const YamlNode& item : parts->items)
        if (const auto part = to_share(item); part && *part > 0 && *part < 1) to.parts.push_back(*part);
      if (to.parts.empty() || to.parts.size() != parts->items.size() || to.parts.size() > kMaxListEntries)
        fields.fault(*parts, "parts", "a list of shares between 0 and 1 is wanted");
    }
    fields.report_unknown_fields();
  }

  void read_changes(const YamlNode& node, ChangeRateLimit& to) {
    Fields fields(node, "levels.changes", faults_);
    OptionalLocated<int> most;
    OptionalLocated<TimeUs> window;
    fields.count("most", most, 2, 1000);  // at least one level up and one down
    fields.time("within", window, 1'000'000);
    if (most) to.most = most->value;
    if (window) to.window = window->value;
    fields.report_unknown_fields();
  }

  void read_manual(const YamlNode& node, std::optional<ManualOverride>& to) {
    Fields fields(node, "levels.manual", faults_);
    OptionalLocated<std::string> level, until;
    if (fields.require("level") != nullptr) fields.word("level", level);
    if (fields.require("until") != nullptr) fields.word("until", until);
    fields.report_unknown_fields();
    if (!level || !until) return;
    std::tm utc{};
    const char* end = ::strptime(until->value.c_str(), "%Y-%m-%dT%H:%M:%SZ", &utc);
    if (end == nullptr || *end != '\0')
      return fields.fault(*fields.find("until"), "until",
                          "a time in UTC is wanted, like 2026-12-18T17:30:00Z");
    to = ManualOverride{level->value, static_cast<TimeUs>(::timegm(&utc)) * 1'000'000, node.place};
  }

  std::vector<Fault>& faults_;
};

}  // namespace

void read_levels(const YamlNode& node, std::vector<Fault>& faults, service_level::LevelFile& to) {
  LevelsReader(faults).read(node, to);
}

}  // namespace orchidgw::operator_file
