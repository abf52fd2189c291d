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

constexpr int kLargestMost = 10'000;
constexpr TimeUs kTermLeast = 200'000, kTermMost = 60'000'000;
constexpr TimeUs kRampMost = 600'000'000;
constexpr double kDriftMost = 0.1;
constexpr double kMillion = 1e6;
constexpr int kCountMost = 1'000'000;

class FleetReader {
 public:
  FleetReader(std::vector<Fault>& faults, fleet::FleetConfig& to) : faults_(faults), to_(to) {}

  void read(const YamlNode& root) {
    Fields top(root, "", faults_);
    if (!top.is_map()) return;
    need_version(top);
    if (const YamlNode* name = top.need("fleet")) read_name(*name);
    Maybe<int> revision, largest, attempts;
    if (top.need("revision") != nullptr) top.count("revision", revision, 1, kCountMost);
    if (top.need("largest") != nullptr) top.count("largest", largest, 1, kLargestMost);
    top.count("further_attempts", attempts, 0, kCountMost);
    if (revision) to_.revision = static_cast<std::uint64_t>(revision->value);
    if (largest) to_.largest = largest->value;
    if (attempts) to_.further_attempts = attempts->value;
    if (const YamlNode* lease = top.need("lease")) read_lease(*lease);
    if (const YamlNode* comes_back = top.find("return")) read_return(*comes_back);
    if (const YamlNode* keys = top.find("keys")) read_keys(*keys);
    if (const YamlNode* division = top.find("division")) read_division(*division);
    if (const YamlNode* keepers = top.need("keepers")) read_keepers(top, *keepers);
    Maybe<std::string> store;
    top.word("store", store);
    if (store) to_.store = store->value;
    to_.careful = top.either("bad_store", "refuse", "careful");
    top.finish();
  }

 private:
  void read_name(const YamlNode& node) {
    Fields fields(node, "fleet", faults_);
    if (!fields.is_map()) return;
    Maybe<std::string> name;
    Maybe<int> number;
    if (fields.need("name") != nullptr) fields.word("name", name);
    if (fields.need("number") != nullptr) fields.count("number", number, 1, kCountMost);
    fields.finish();
    if (name) to_.name = name->value;
    if (number) to_.number = static_cast<std::uint64_t>(number->value);
  }

  void read_lease(const YamlNode& node) {
    Fields fields(node, "lease", faults_);
    if (!fields.is_map()) return;
    Maybe<TimeUs> term;
    Maybe<double> drift;
    if (fields.need("term") != nullptr) fields.time("term", term, kTermLeast);
    if (fields.need("drift") != nullptr) fields.share("drift", drift);
    fields.finish();
    if (term && term->value > kTermMost) fields.fault(*fields.find("term"), "term", "60s at most");
    if (drift && drift->value > kDriftMost) fields.fault(*fields.find("drift"), "drift", "10% at most");
    if (term) to_.term = term->value;
    if (drift) to_.drift_ppm = std::llround(drift->value * kMillion);
  }

  void read_return(const YamlNode& node) {
    Fields fields(node, "return", faults_);
    if (!fields.is_map()) return;
    Maybe<TimeUs> ramp;
    if (fields.need("ramp") != nullptr) fields.time("ramp", ramp, kTermLeast);
    fields.finish();
    if (ramp && ramp->value > kRampMost) fields.fault(*fields.find("ramp"), "ramp", "10m at most");
    if (ramp) to_.ramp = ramp->value;
  }

  void read_keys(const YamlNode& node) {
    Fields fields(node, "keys", faults_);
    if (!fields.is_map()) return;
    if (fields.need("scope") != nullptr) to_.keys = fields.either("scope", "controller", "fleet");
    fields.finish();
  }

  void read_division(const YamlNode& node) {
    Fields fields(node, "division", faults_);
    if (!fields.is_map()) return;
    const auto share = [&](const char* key, std::int64_t& ppm) {
      Maybe<double> value;
      fields.share(key, value);
      if (value) ppm = std::llround(value->value * kMillion);
    };
    share("cut_off", to_.division.cut_off_ppm);
    share("reserve", to_.division.reserve_ppm);
    share("least", to_.division.least_ppm);
    fields.finish();
    if (to_.division.cut_off_ppm + to_.division.reserve_ppm >= static_cast<std::int64_t>(kMillion))
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
      Maybe<int> id;
      Maybe<std::string> name, address;
      if (fields.need("id") != nullptr) fields.count("id", id, 1, kCountMost);
      if (fields.need("name") != nullptr) fields.word("name", name);
      if (fields.need("address") != nullptr) fields.word("address", address);
      fields.finish();
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

ReadFleet read_fleet_file(std::string_view text, const Size& most) {
  ReadFleet out;
  const YamlNode root = parse_yaml(text, most, out.faults);
  if (!out.faults.empty()) return out;
  FleetReader(out.faults, out.fleet).read(root);
  std::stable_sort(out.faults.begin(), out.faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
  });
  return out;
}

}  // namespace orchidgw::operator_file
