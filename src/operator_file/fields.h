// Typed reading of one YAML map: every complaint names the place, the path and what is wanted. A field that
// is wrong is left unset, and reading goes on: all faults of a file are reported.
#pragma once

#include <string>
#include <vector>

#include "operator_file/yaml_tree.h"

namespace orchidgw::operator_file {

class Fields {
 public:
  // Complains where `node` is no map.
  Fields(const YamlNode& node, std::string path, std::vector<Fault>& faults);

  bool is_map() const { return node_.kind == YamlNode::Kind::kMap; }
  const std::string& path() const { return path_; }
  Place place() const { return node_.place; }

  const YamlNode* find(const char* key);     // null where it is absent; counts as known from then on
  const YamlNode* require(const char* key);  // complains where it is absent

  void time(const char* key, limits::Maybe<TimeUs>& to, TimeUs min_value = 1);
  void count(const char* key, limits::Maybe<int>& to, int min_value, int max_value);
  void number(const char* key, limits::Maybe<double>& to, double min_value, double max_value);
  void share(const char* key, limits::Maybe<double>& to);  // 0 to 1, or 0% to 100%
  void word(const char* key, limits::Maybe<std::string>& to);
  bool is_alternative(const char* key, const char* default_word,
                      const char* other_word);  // true: the other one is stated

  // Complains of every key that was not asked for.
  void report_unknown_fields();
  void fault(const YamlNode& at, const std::string& key, std::string why);

 private:
  const YamlNode& node_;
  std::string path_;
  std::vector<Fault>& faults_;
  std::vector<const char*> requested_keys_;
};

// Complains unless the file's form is one that this program reads (`version`).
void require_supported_version(Fields& top);

// Values of one node; nothing where it is no such value.
std::optional<TimeUs> to_time(const YamlNode& node);    // a number with us, ms, s or m; up to an hour
std::optional<double> to_number(const YamlNode& node);  // a plain decimal number
std::optional<double> to_share(const YamlNode& node);   // as above, or with %
std::optional<int> to_count(const YamlNode& node);      // a plain whole number

}  // namespace orchidgw::operator_file
