#include "config/controller_config.h"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include "config/address.h"
#include "config/json_fields.h"
#include "config/settings_reader.h"
#include "core/parse_number.h"

namespace orchidgw::config {
namespace {

using rapidjson::Value;

constexpr std::int64_t kMemoryMbUnlessTold = 192;
constexpr std::int64_t kSocketsUnlessTold = 1024;
constexpr std::int64_t kSocketsLeast = 32;
constexpr TimeUs kConnectTimeoutUnlessTold = 250'000;

core::Address address_in(const Value& object, const char* key) {
  const auto address = parse_address(text_in(object, key, ""));
  if (!address) wrong(key, "an address like 127.0.0.1:7001 is needed");
  return *address;
}

std::uint64_t seed_in(const Value& object) {
  const std::string text = text_in(object, "seed", "0");
  const auto seed = core::parse_whole<std::uint64_t>(text, 16);
  if (!seed) wrong("seed", "hex digits are needed");
  return *seed;
}

void override_from_environment(ControllerConfig& config) {
  if (const char* name = std::getenv("BALANCER_NAME")) config.name = name;
  const char* listen = std::getenv("BALANCER_LISTEN");
  if (!listen) return;
  const auto address = parse_address(listen);
  if (!address) wrong("BALANCER_LISTEN", "an address like 127.0.0.1:7001 is needed");
  config.listen = *address;
}

}  // namespace

ControllerConfig parse_controller_config(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsObject()) wrong("BALANCER_CONFIG", "a JSON object is needed");
  ControllerConfig config;
  config.name = text_in(document, "name", "");
  config.listen = address_in(document, "listen");
  config.seed = seed_in(document);
  const Value& limits = object_in(document, "limits");
  config.memory_mb = integer_in(limits, "memory_mb", kMemoryMbUnlessTold);
  if (config.memory_mb <= 0) wrong("limits.memory_mb", "a number above 0 is needed");
  config.sockets = integer_in(limits, "sockets", kSocketsUnlessTold);
  if (config.sockets < kSocketsLeast) wrong("limits.sockets", "32 or more is needed");
  config.change_log = address_in(document, "changelog");
  const Value* known = find(document, "known");
  if (known) config.known = read_fleet_changes(*known);
  const Value* settings = find(document, "settings");
  if (!settings || !settings->IsObject()) wrong("settings", "an object is needed");
  config.settings = read_settings(*settings);
  config.operator_file = text_in(document, "operatorFile", "");
  config.fleet_file = text_in(document, "fleetFile", "");
  const Value& policy = object_in(*settings, "policyLimits");
  config.connect_timeout = integer_in(policy, "connectTimeout", kConnectTimeoutUnlessTold);
  return config;
}

ControllerConfig load_controller_config(const std::string& path) {
  if (path.empty()) wrong("BALANCER_CONFIG", "the path of the configuration is needed");
  std::ifstream file(path, std::ios::binary);
  if (!file) wrong("BALANCER_CONFIG", "the file can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  ControllerConfig config = parse_controller_config(text.str());
  override_from_environment(config);
  return config;
}

}  // namespace orchidgw::config
