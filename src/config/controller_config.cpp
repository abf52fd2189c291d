#include "config/controller_config.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/system_call.h"
#include "config/address.h"
#include "config/json_fields.h"
#include "config/load_file.h"
#include "config/settings_reader.h"
#include "core/parse_number.h"

namespace orchidgw::config {
namespace {

using rapidjson::Value;

constexpr std::int64_t kDefaultMemoryMb = 192;
constexpr std::int64_t kDefaultSockets = 1024;
constexpr std::int64_t kMinSockets = 32;
constexpr TimeUs kDefaultConnectTimeout = 250'000;
constexpr const char* kFileField = "BALANCER_CONFIG";  // stands for the file as a whole in errors

constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
constexpr std::size_t kMaxFileBytes = 16 * kBytesPerMb;
constexpr std::size_t kMinFileBytes = kBytesPerMb;  // allowed whatever the memory limit
constexpr std::size_t kFileMemoryDivisor = 8;       // parsing takes several times the file's size

core::Address read_address(const Value& object, const char* key) {
  const auto address = parse_address(string_or(object, key, ""));
  if (!address) throw_field_error(key, "an address like 127.0.0.1:7001 is needed");
  return *address;
}

std::uint64_t read_seed(const Value& object) {
  const std::string text = string_or(object, "seed", "0");
  const auto seed = core::parse_integer<std::uint64_t>(text, 16);
  if (!seed) throw_field_error("seed", "hex digits are needed");
  return *seed;
}

void override_from_environment(ControllerConfig& config) {
  if (const char* name = std::getenv("BALANCER_NAME")) config.name = name;
  const char* listen = std::getenv("BALANCER_LISTEN");
  if (!listen) return;
  const auto address = parse_address(listen);
  if (!address) throw_field_error("BALANCER_LISTEN", "an address like 127.0.0.1:7001 is needed");
  config.listen = *address;
}

rapidjson::Document parse_document(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsObject())
    throw_field_error(kFileField, "a JSON object is needed");
  return document;
}

EngineListEvents read_initial_engine_list(const Value& object) {
  const Value* events = find_member(object, "known");
  return events != nullptr ? read_engine_list_events(*events) : EngineListEvents{};
}

ControllerConfig read_config(const Value& document) {
  ControllerConfig config;
  config.name = string_or(document, "name", "");
  config.listen = read_address(document, "listen");
  config.seed = read_seed(document);
  const Value& limits = object_or_empty(document, "limits");
  config.memory_mb = integer_or(limits, "memory_mb", kDefaultMemoryMb);
  if (config.memory_mb <= 0) throw_field_error("limits.memory_mb", "a number above 0 is needed");
  config.sockets = integer_or(limits, "sockets", kDefaultSockets);
  if (config.sockets < kMinSockets) throw_field_error("limits.sockets", "32 or more is needed");
  config.change_log = read_address(document, "changelog");
  config.initial_engine_list = read_initial_engine_list(document);
  const Value* settings = find_member(document, "settings");
  if (!settings || !settings->IsObject()) throw_field_error("settings", "an object is needed");
  config.settings = read_settings(*settings);
  config.operator_file = string_or(document, "operatorFile", "");
  config.fleet_file = string_or(document, "fleetFile", "");
  const Value& policy = object_or_empty(*settings, "policyLimits");
  config.connect_timeout = integer_or(policy, "connectTimeout", kDefaultConnectTimeout);
  return config;
}

void check_size(const std::string& text, std::size_t max_bytes) {
  if (text.size() > max_bytes)
    throw FieldError("field '" + std::string(kFileField) + "': over " + std::to_string(max_bytes) + " bytes");
}

// Throws FieldError that names the file, or SystemCallError if the cause may pass.
template <typename Load>
std::string load_text(const std::string& path, std::size_t max_bytes, Load load) {
  if (path.empty()) throw_field_error(kFileField, "the path of the configuration is needed");
  try {
    std::string text = load(path, max_bytes);
    check_size(text, max_bytes);
    return text;
  } catch (const SystemCallError&) {
    throw;
  } catch (const FieldError& error) {
    throw FieldError(path + ": " + error.what());
  } catch (const std::runtime_error& error) {
    throw FieldError("field '" + std::string(kFileField) + "': " + error.what());
  }
}

// Reads one field by itself: a fault is added to `faults`, and the field is nullopt then.
template <typename Read>
auto read_by_itself(std::vector<std::string>& faults, Read read) -> std::optional<decltype(read())> {
  try {
    return read();
  } catch (const FieldError& error) {
    faults.emplace_back(error.what());
    return std::nullopt;
  }
}

void name_file(const std::string& path, std::vector<std::string>& faults) {
  for (std::string& fault : faults) fault.insert(0, path + ": ");
}

// A path that the file states; nullopt if it states none.
std::optional<std::string> read_path(const Value& object, const char* key) {
  if (find_member(object, key) == nullptr) return std::nullopt;
  return string_or(object, key, "");
}

}  // namespace

std::size_t max_config_bytes(std::int64_t memory_mb) {
  const std::size_t part = static_cast<std::size_t>(memory_mb) * kBytesPerMb / kFileMemoryDivisor;
  return std::clamp(part, kMinFileBytes, kMaxFileBytes);
}

ControllerConfig parse_controller_config(const std::string& text) {
  ControllerConfig config = read_config(parse_document(text));
  check_size(text, max_config_bytes(config.memory_mb));
  return config;
}

ReloadedConfig parse_reloaded_config(const std::string& text) {
  const rapidjson::Document document = parse_document(text);
  ReloadedConfig out;
  out.change_log = read_by_itself(out.faults, [&] { return read_address(document, "changelog"); });
  out.initial_engine_list = read_by_itself(out.faults, [&] { return read_initial_engine_list(document); });
  const auto operator_file = read_by_itself(out.faults, [&] { return read_path(document, "operatorFile"); });
  const auto fleet_file = read_by_itself(out.faults, [&] { return read_path(document, "fleetFile"); });
  if (out.faults.empty()) read_by_itself(out.start_faults, [&] { return read_config(document); });
  out.operator_file = operator_file.value_or(std::nullopt);
  out.fleet_file = fleet_file.value_or(std::nullopt);
  // Guards against limits that are dropped by a file of which a part is missing.
  if (!out.faults.empty() || !out.start_faults.empty()) return out;
  if (!out.operator_file) out.operator_file = "";
  if (!out.fleet_file) out.fleet_file = "";
  return out;
}

ControllerConfig load_controller_config(const std::string& path) {
  const std::string text = load_text(path, kMaxFileBytes, load_file_or_pipe);
  ControllerConfig config;
  try {
    config = parse_controller_config(text);
  } catch (const FieldError& error) {
    throw FieldError(path + ": " + error.what());
  }
  override_from_environment(config);
  return config;
}

ReloadedConfig load_reloaded_config(const std::string& path, std::int64_t memory_mb) {
  const std::string text = load_text(path, max_config_bytes(memory_mb), load_file);
  try {
    ReloadedConfig config = parse_reloaded_config(text);
    name_file(path, config.faults);
    name_file(path, config.start_faults);
    return config;
  } catch (const FieldError& error) {
    throw FieldError(path + ": " + error.what());
  }
}

}  // namespace orchidgw::config
