#include "config/json_fields.h"

#include <cmath>

namespace orchidgw::config {

using rapidjson::SizeType;
using rapidjson::Value;

void throw_field_error(const std::string& field, const char* requirement) {
  throw FieldError("field '" + field + "': " + requirement);
}

const Value* find_member(const Value& object, const char* key) {
  const auto it = object.FindMember(key);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

std::int64_t to_integer(const Value& value, const std::string& field) {
  if (value.IsInt64()) return value.GetInt64();
  if (value.IsNumber()) {
    const double number = value.GetDouble();
    if (std::isfinite(number) && std::abs(number) < 9e15) return std::llround(number);
  }
  throw_field_error(field, "a whole number is needed");
}

double number_or(const Value& object, const char* key, double default_value) {
  const Value* value = find_member(object, key);
  if (!value) return default_value;
  if (!value->IsNumber()) throw_field_error(key, "a number is needed");
  return value->GetDouble();
}

std::int64_t integer_or(const Value& object, const char* key, std::int64_t default_value) {
  const Value* value = find_member(object, key);
  return value ? to_integer(*value, key) : default_value;
}

bool bool_or(const Value& object, const char* key, bool default_value) {
  const Value* value = find_member(object, key);
  if (!value) return default_value;
  if (!value->IsBool()) throw_field_error(key, "true or false is needed");
  return value->GetBool();
}

std::string string_or(const Value& object, const char* key, const std::string& default_value) {
  const Value* value = find_member(object, key);
  if (!value) return default_value;
  if (!value->IsString()) throw_field_error(key, "a text is needed");
  return {value->GetString(), value->GetStringLength()};
}

std::vector<std::string> string_list(const Value& object, const char* key) {
  std::vector<std::string> out;
  const Value* value = find_member(object, key);
  if (!value) return out;
  if (!value->IsArray()) throw_field_error(key, "a list is needed");
  for (const auto& element : value->GetArray()) {
    if (!element.IsString()) throw_field_error(key, "a list of texts is needed");
    out.emplace_back(element.GetString(), element.GetStringLength());
  }
  return out;
}

const Value& object_or_empty(const Value& object, const char* key) {
  static const Value kEmpty(rapidjson::kObjectType);
  const Value* value = find_member(object, key);
  if (!value) return kEmpty;
  if (!value->IsObject()) throw_field_error(key, "an object is needed");
  return *value;
}

namespace {

const Value* find_element(const Value& object, const char* key, SizeType index) {
  const Value* value = find_member(object, key);
  if (!value) return nullptr;
  if (!value->IsArray()) throw_field_error(key, "a list is needed");
  return index < value->Size() && !(*value)[index].IsNull() ? &(*value)[index] : nullptr;
}

}  // namespace

double number_at_or(const Value& object, const char* key, SizeType index, double default_value) {
  const Value* value = find_element(object, key, index);
  if (value && !value->IsNumber()) throw_field_error(key, "a list of numbers is needed");
  return value ? value->GetDouble() : default_value;
}

bool bool_at(const Value& object, const char* key, SizeType index) {
  const Value* value = find_element(object, key, index);
  if (value && !value->IsBool()) throw_field_error(key, "a list of true and false is needed");
  return value && value->GetBool();
}

}  // namespace orchidgw::config
