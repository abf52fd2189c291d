#include "config/controller_config.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <utility>

#include "base/descriptor.h"
#include "base/system_call.h"
#include "config/address.h"
#include "config/json_fields.h"
#include "config/settings_reader.h"
#include "core/parse_number.h"

namespace orchidgw::config {
namespace {

using rapidjson::Value;

constexpr std::int64_t kDefaultMemoryMb = 192;
constexpr std::int64_t kDefaultSockets = 1024;
constexpr std::int64_t kMinSockets = 32;
constexpr TimeUs kDefaultConnectTimeout = 250'000;

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

}  // namespace

ControllerConfig parse_controller_config(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsObject())
    throw_field_error("BALANCER_CONFIG", "a JSON object is needed");
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
  const Value* initial_engine_list = find_member(document, "known");
  if (initial_engine_list) config.initial_engine_list = read_engine_list_events(*initial_engine_list);
  const Value* settings = find_member(document, "settings");
  if (!settings || !settings->IsObject()) throw_field_error("settings", "an object is needed");
  config.settings = read_settings(*settings);
  config.operator_file = string_or(document, "operatorFile", "");
  config.fleet_file = string_or(document, "fleetFile", "");
  const Value& policy = object_or_empty(*settings, "policyLimits");
  config.connect_timeout = integer_or(policy, "connectTimeout", kDefaultConnectTimeout);
  return config;
}

namespace {

// Throws SystemCallError for a transient error, for example a lack of descriptors, so that a start or a
// reload is tried again and doesn't fail for good.
[[noreturn]] void throw_read_error(const std::string& path) {
  const SystemCallError error(SystemCall::kFile, errno, path);
  if (error.is_transient()) throw error;
  throw_field_error("BALANCER_CONFIG", "the file can't be read");
}

std::string read_file(const std::string& path) {
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) throw_read_error(path);
  std::string text;
  std::array<char, 16384> bytes{};
  while (true) {
    const ssize_t n = ::read(file.get(), bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) throw_read_error(path);
    if (n == 0) return text;
    text.append(bytes.data(), static_cast<std::size_t>(n));
  }
}

}  // namespace

ControllerConfig load_controller_config(const std::string& path) {
  if (path.empty()) throw_field_error("BALANCER_CONFIG", "the path of the configuration is needed");
  ControllerConfig config = parse_controller_config(read_file(path));
  override_from_environment(config);
  return config;
}

}  // namespace orchidgw::config
