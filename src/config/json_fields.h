// Typed reading of JSON objects: every complaint names the field and what is wanted of it.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace orchidgw::config {

// What is wrong with one value: says which field and why.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

[[noreturn]] void wrong(const std::string& field, const char* requirement);

// The member named `key`; null where it is absent or null.
const rapidjson::Value* find_member(const rapidjson::Value& object, const char* key);

std::int64_t to_integer(const rapidjson::Value& value, const std::string& field);

double number_or(const rapidjson::Value& object, const char* key, double default_value);
std::int64_t integer_or(const rapidjson::Value& object, const char* key, std::int64_t default_value);
bool bool_or(const rapidjson::Value& object, const char* key, bool default_value);
std::string string_or(const rapidjson::Value& object, const char* key, const std::string& default_value);
std::vector<std::string> string_list(const rapidjson::Value& object, const char* key);

// An empty object where the member is absent.
const rapidjson::Value& object_or_empty(const rapidjson::Value& object, const char* key);

// Element `i` of a list of figures; `otherwise` (or false) where the list or the element is missing.
double number_at_or(const rapidjson::Value& object, const char* key, rapidjson::SizeType index,
                    double default_value);
bool bool_at(const rapidjson::Value& object, const char* key, rapidjson::SizeType index);

}  // namespace orchidgw::config
