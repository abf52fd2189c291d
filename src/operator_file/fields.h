// Typed access to the fields of one YAML map. Each fault has a line, a column, the path of the field and the
// value that is expected. A field with a bad value is left unset and reading goes on, so that all faults of a
// file are reported at once.
#pragma once

#include <string>
#include <vector>

#include "operator_file/yaml_tree.h"

namespace orchidgw::operator_file {

// Refers to the node and the fault list, which must outlive it.
class Fields {
 public:
  // `path` is the path of the map in the file, empty for the top level. Adds a fault if `node` is not a map.
  Fields(const YamlNode& node, std::string path, std::vector<Fault>& faults);

  // False after a fault of the constructor; the reading calls below then find no field.
  bool is_map() const { return node_.kind == YamlNode::Kind::kMap; }
  const std::string& path() const { return path_; }
  FileLocation place() const { return node_.place; }

  // Each call with a key makes it a known field for report_unknown_fields(). Both return null if the field is
  // absent or has no value. No value is a fault in both, a missing field only in require().
  const YamlNode* find(const char* key);
  const YamlNode* require(const char* key);

  // Each of these reads a field if it is present. A bad value adds a fault and leaves `to` as it was.
  void time(const char* key, limits::OptionalLocated<TimeUs>& to, TimeUs min_value = 1);
  void count(const char* key, limits::OptionalLocated<int>& to, int min_value, int max_value);
  void number(const char* key, limits::OptionalLocated<double>& to, double min_value, double max_value);
  void share(const char* key, limits::OptionalLocated<double>& to);  // 0 to 1, or 0% to 100%
  void word(const char* key, limits::OptionalLocated<std::string>& to);
  // Reads a field that may have two values. Returns true if it is `other_word`; any third value is a fault.
  bool is_alternative(const char* key, const char* default_word, const char* other_word);

  // Adds a fault for each key of the map that no call above has asked for.
  void report_unknown_fields();
  // Adds a fault at the place of `at`. `key` is appended to this map's path; empty: the map itself.
  void fault(const YamlNode& at, const std::string& key, std::string why);

 private:
  const YamlNode& node_;
  std::string path_;
  std::vector<Fault>& faults_;
  std::vector<const char*> requested_keys_;
};

// Reads the field `version` and adds a fault unless it is the format version that this program reads.
void require_supported_version(Fields& top);

// The value of a scalar node; nullopt if the node is no such value.
std::optional<TimeUs> to_time(const YamlNode& node);    // a number with us, ms, s or m; an hour at most
std::optional<double> to_number(const YamlNode& node);  // without sign or exponent, unquoted
std::optional<double> to_share(const YamlNode& node);   // as to_number, or a percentage; no upper bound
std::optional<int> to_count(const YamlNode& node);      // an integer from 0, unquoted

}  // namespace orchidgw::operator_file
