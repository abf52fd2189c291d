#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "config/address.h"
#include "operator_file/fields.h"
#include "operator_file/fleet_file.h"

namespace orchidgw::operator_file {
namespace {

using namespace limits;

constexpr int kMaxFleetSize = 10'000;
constexpr TimeUs kMinLeaseTerm = 200'000, kMaxLeaseTerm = 60'000'000;
constexpr TimeUs kMaxRamp = 600'000'000;
constexpr double kMaxDrift = 0.1;
constexpr double kPpmPerUnit = 1e6;
constexpr int kMaxCount = 1'000'000;

class FleetReader {
 public:
  FleetReader(std::vector<Fault>& faults, fleet::FleetConfig& to) : faults_(faults), to_(to) {}

  void read(const YamlNode& root) {
    Fields top(root, "", faults_);
    if (!top.is_map()) return;
    require_supported_version(top);
    if (const YamlNode* name = top.require("fleet")) read_name(*name);
    OptionalLocated<int> revision, largest, attempts;
    if (top.require("revision") != nullptr) top.count("revision", revision, 1, kMaxCount);
    if (top.require("largest") != nullptr) top.count("largest", largest, 1, kMaxFleetSize);
    top.count("further_attempts", attempts, 0, kMaxCount);
    if (revision) to_.revision = static_cast<std::uint64_t>(revision->value);
    if (largest) to_.largest = largest->value;
    if (attempts) to_.further_attempts = attempts->value;
    if (const YamlNode* lease = top.require("lease")) read_lease(*lease);
    if (const YamlNode* comes_back = top.find("return")) read_return(*comes_back);
    if (const YamlNode* keys = top.find("keys")) read_keys(*keys);
    if (const YamlNode* division = top.find("division")) read_division(*division);
    if (const YamlNode* keepers = top.require("keepers")) read_keepers(top, *keepers);
    OptionalLocated<std::string> store;
    top.word("store", store);
    if (store) to_.store = store->value;
    to_.start_with_bad_store = top.is_alternative("bad_store", "refuse", "careful");
    top.report_unknown_fields();
  }

 private:
  void read_name(const YamlNode& node) {
    Fields fields(node, "fleet", faults_);
    if (!fields.is_map()) return;
    OptionalLocated<std::string> name;
    OptionalLocated<int> number;
    if (fields.require("name") != nullptr) fields.word("name", name);
    if (fields.require("number") != nullptr) fields.count("number", number, 1, kMaxCount);
    fields.report_unknown_fields();
    if (name) to_.name = name->value;
    if (number) to_.number = static_cast<std::uint64_t>(number->value);
  }

  void read_lease(const YamlNode& node) {
    Fields fields(node, "lease", faults_);
    if (!fields.is_map()) return;
    OptionalLocated<TimeUs> term;
    OptionalLocated<double> drift;
    if (fields.require("term") != nullptr) fields.time("term", term, kMinLeaseTerm);
    if (fields.require("drift") != nullptr) fields.share("drift", drift);
    fields.report_unknown_fields();
    if (term && term->value > kMaxLeaseTerm) fields.fault(*fields.find("term"), "term", "60s at most");
    if (drift && drift->value > kMaxDrift) fields.fault(*fields.find("drift"), "drift", "10% at most");
    if (term) to_.term = term->value;
    if (drift) to_.drift_ppm = std::llround(drift->value * kPpmPerUnit);
  }

  void read_return(const YamlNode& node) {
    Fields fields(node, "return", faults_);
    if (!fields.is_map()) return;
    OptionalLocated<TimeUs> ramp;
    if (fields.require("ramp") != nullptr) fields.time("ramp", ramp, kMinLeaseTerm);
    fields.report_unknown_fields();
    if (ramp && ramp->value > kMaxRamp) fields.fault(*fields.find("ramp"), "ramp", "10m at most");
    if (ramp) to_.ramp = ramp->value;
  }

  void read_keys(const YamlNode& node) {
    Fields fields(node, "keys", faults_);
    if (!fields.is_map()) return;
    if (fields.require("scope") != nullptr) to_.keys = fields.is_alternative("scope", "controller", "fleet");
    fields.report_unknown_fields();
  }

  void read_division(const YamlNode& node) {
    Fields fields(node, "division", faults_);
    if (!fields.is_map()) return;
    const auto share = [&](const char* key, std::int64_t& ppm) {
      OptionalLocated<double> value;
      fields.share(key, value);
      if (value) ppm = std::llround(value->value * kPpmPerUnit);
    };
    share("cut_off", to_.division.cut_off_ppm);
    share("reserve", to_.division.reserve_ppm);
    share("least", to_.division.least_ppm);
    fields.report_unknown_fields();
    if (to_.division.cut_off_ppm + to_.division.reserve_ppm >= static_cast<std::int64_t>(kPpmPerUnit))
      fields.fault(node, "", "cut_off and reserve leave nothing to lease: together below 100%");
  }

  void read_keepers(Fields& top, const YamlNode& node) {
    if (node.kind != YamlNode::Kind::kSequence)
      return top.fault(node, "keepers", "a list of keepers is wanted");
    std::set<int> ids;
    std::set<std::string> names;
    for (std::size_t i = 0; i < node.items.size() && i < 8; ++i) {
      Fields fields(node.items[i], "keepers[" + std::to_string(i) + "]", faults_);
      if (!fields.is_map()) continue;
      OptionalLocated<int> id;
      OptionalLocated<std::string> name, address;
      if (fields.require("id") != nullptr) fields.count("id", id, 1, kMaxCount);
      if (fields.require("name") != nullptr) fields.word("name", name);
      if (fields.require("address") != nullptr) fields.word("address", address);
      fields.report_unknown_fields();
      if (!id || !name || !address) continue;
      if (!ids.insert(id->value).second) fields.fault(*fields.find("id"), "id", "another keeper has it");
      if (!names.insert(name->value).second)
        fields.fault(*fields.find("name"), "name", "another keeper has it");
      const auto at = config::parse_address(address->value);
      if (!at) {
        fields.fault(*fields.find("address"), "address", "HOST:PORT with an IPv4 address is wanted");
        continue;
      }
      to_.keepers.push_back({static_cast<fleet::KeeperId>(id->value), name->value, *at});
    }
    const std::size_t n = node.items.size();
    if (n != 1 && n != 3 && n != 5) top.fault(node, "keepers", "1, 3 or 5 keepers are wanted");
    if (static_cast<int>(n) > to_.largest) top.fault(node, "keepers", "more than the fleet's largest number");
  }

  std::vector<Fault>& faults_;
  fleet::FleetConfig& to_;
};

}  // namespace

FleetFileResult read_fleet_file(std::string_view text, const FileSizeLimits& size_limits) {
  FleetFileResult out;
  const YamlNode root = parse_yaml(text, size_limits, out.faults);
  if (!out.faults.empty()) return out;
  FleetReader(out.faults, out.fleet).read(root);
  std::stable_sort(out.faults.begin(), out.faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
  });
  return out;
}

}  // namespace orchidgw::operator_file
