// Typed access to the members of JSON objects. Errors name the field and the value that is expected.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace orchidgw::config {

// A field has a bad value, or is missing. The message names the field and what is expected.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws FieldError.
[[noreturn]] void throw_field_error(const std::string& field, const char* requirement);

// Returns the member named `key`, or nullptr if it is absent or null.
const rapidjson::Value* find_member(const rapidjson::Value& object, const char* key);

// Returns a 64-bit integer as it is and rounds any other number. Throws FieldError if it is not a number, not
// finite, or no 64-bit integer and 9e15 or more in magnitude.
std::int64_t to_integer(const rapidjson::Value& value, const std::string& field);

// The value of a member, or `default_value` (for string_list: an empty list) if it is absent or null. Throw
// FieldError if it has another type.
double number_or(const rapidjson::Value& object, const char* key, double default_value);
std::int64_t integer_or(const rapidjson::Value& object, const char* key, std::int64_t default_value);
bool bool_or(const rapidjson::Value& object, const char* key, bool default_value);
std::string string_or(const rapidjson::Value& object, const char* key, const std::string& default_value);
std::vector<std::string> string_list(const rapidjson::Value& object, const char* key);

// As above; an empty object if the member is absent.
const rapidjson::Value& object_or_empty(const rapidjson::Value& object, const char* key);

// Element `index` of a list; `default_value` (or false) if the list or the element is missing. Throw
// FieldError if the list or the element has another type.
double number_at_or(const rapidjson::Value& object, const char* key, rapidjson::SizeType index,
                    double default_value);
bool bool_at(const rapidjson::Value& object, const char* key, rapidjson::SizeType index);

}  // namespace orchidgw::config
