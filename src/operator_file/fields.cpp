#include "operator_file/fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace orchidgw::operator_file {
namespace {

constexpr TimeUs kMaxTime = 3'600'000'000;
constexpr std::size_t kMaxWordBytes = 200;

// Parses a decimal number without sign, exponent or white space.
std::optional<double> parse_plain_number(std::string_view text) {
  if (text.empty() || text.find_first_not_of("0123456789.") != std::string_view::npos) return std::nullopt;
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string format_number(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

}  // namespace

std::optional<TimeUs> to_time(const YamlNode& node) {
  if (node.kind != YamlNode::Kind::kScalar) return std::nullopt;
  constexpr std::pair<std::string_view, double> kUnits[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}};
  const std::string_view text = node.text;
  const auto digits = std::min(text.find_first_not_of("0123456789."), text.size());
  for (const auto& [unit, us] : kUnits) {
    if (text.substr(digits) != unit) continue;
    const auto number = parse_plain_number(text.substr(0, digits));
    if (!number || *number * us > static_cast<double>(kMaxTime)) return std::nullopt;
    return static_cast<TimeUs>(std::llround(*number * us));
  }
  return std::nullopt;
}

std::optional<double> to_number(const YamlNode& node) {
  if (node.kind != YamlNode::Kind::kScalar || node.quoted) return std::nullopt;
  return parse_plain_number(node.text);
}

std::optional<double> to_share(const YamlNode& node) {
  if (node.kind != YamlNode::Kind::kScalar) return std::nullopt;
  if (!node.text.ends_with('%')) return to_number(node);
  const auto number = parse_plain_number(std::string_view(node.text).substr(0, node.text.size() - 1));
  return number ? std::optional(*number / 100) : std::nullopt;
}

std::optional<int> to_count(const YamlNode& node) {
  if (node.kind != YamlNode::Kind::kScalar || node.quoted) return std::nullopt;
  int value = 0;
  const char* last = node.text.data() + node.text.size();
  const auto [end, error] = std::from_chars(node.text.data(), last, value);
  if (error != std::errc() || end != last || value < 0 || node.text[0] == '-') return std::nullopt;
  return value;
}

Fields::Fields(const YamlNode& node, std::string path, std::vector<Fault>& faults)
    : node_(node), path_(std::move(path)), faults_(faults) {
  if (!is_map()) faults_.push_back({node.place, path_, "a map of fields is wanted"});
}

const YamlNode* Fields::find(const char* key) {
  requested_keys_.push_back(key);
  if (!is_map()) return nullptr;
  for (const Member& member : node_.members) {
    if (member.key.text != key) continue;
    if (member.value.kind != YamlNode::Kind::kNull) return &member.value;
    fault(member.key, key, "the field has no value");
    return nullptr;
  }
  return nullptr;
}

const YamlNode* Fields::require(const char* key) {
  const std::size_t before = faults_.size();
  const YamlNode* node = find(key);
  if (node == nullptr && is_map() && faults_.size() == before) fault(node_, key, "missing");
  return node;
}

void Fields::fault(const YamlNode& at, const std::string& key, std::string why) {
  const std::string path = path_.empty() || key.empty() ? path_ + key : path_ + "." + key;
  faults_.push_back({at.place, path, std::move(why)});
}

void Fields::time(const char* key, limits::OptionalLocated<TimeUs>& to, TimeUs min_value) {
  const YamlNode* node = find(key);
  if (node == nullptr) return;
  const auto value = to_time(*node);
  if (!value)
    return fault(*node, key, "a time with its unit is wanted, like 250ms, 2s or 5m, an hour at most");
  if (*value < min_value) return fault(*node, key, "a time above 0 is wanted");
  to = {*value, node->place};
}

void Fields::count(const char* key, limits::OptionalLocated<int>& to, int min_value, int max_value) {
  const YamlNode* node = find(key);
  if (node == nullptr) return;
  const auto value = to_count(*node);
  if (!value || *value < min_value || *value > max_value)
    return fault(*node, key,
                 "a whole number from " + std::to_string(min_value) + " to " + std::to_string(max_value) +
                     " is wanted");
  to = {*value, node->place};
}

void Fields::number(const char* key, limits::OptionalLocated<double>& to, double min_value,
                    double max_value) {
  const YamlNode* node = find(key);
  if (node == nullptr) return;
  const auto value = to_number(*node);
  if (!value || *value < min_value || *value > max_value)
    return fault(
        *node, key,
        "a number from " + format_number(min_value) + " to " + format_number(max_value) + " is wanted");
  to = {*value, node->place};
}

void Fields::share(const char* key, limits::OptionalLocated<double>& to) {
  const YamlNode* node = find(key);
  if (node == nullptr) return;
  const auto value = to_share(*node);
  if (!value || *value > 1) return fault(*node, key, "a share is wanted: 0 to 1, or 0% to 100%");
  to = {*value, node->place};
}

void Fields::word(const char* key, limits::OptionalLocated<std::string>& to) {
  const YamlNode* node = find(key);
  if (node == nullptr) return;
  if (node->kind != YamlNode::Kind::kScalar || node->text.empty() || node->text.size() > kMaxWordBytes)
    return fault(*node, key, "a word of 1 to 200 bytes is wanted");
  to = {node->text, node->place};
}

bool Fields::is_alternative(const char* key, const char* default_word, const char* other_word) {
  limits::OptionalLocated<std::string> stated;
  word(key, stated);
  if (stated && stated->value != default_word && stated->value != other_word)
    fault(*find(key), key, std::string("one of these is wanted: ") + default_word + ", " + other_word);
  return stated && stated->value == other_word;
}

void Fields::report_unknown_fields() {
  if (!is_map()) return;
  for (const Member& member : node_.members) {
    const std::string& key = member.key.text;
    const bool known =
        std::any_of(requested_keys_.begin(), requested_keys_.end(), [&](const char* k) { return key == k; });
    if (!known) fault(member.key, key, "unknown field");
  }
}

void require_supported_version(Fields& top) {
  const YamlNode* node = top.require("version");
  if (node == nullptr) return;
  const auto version = to_count(*node);
  if (!version || *version != kFormatVersion)
    top.fault(*node, "version", "this program reads version 1 alone");
}

}  // namespace orchidgw::operator_file
