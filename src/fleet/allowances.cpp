#include "fleet/allowances.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "core/keys.h"

namespace orchidgw::fleet {
namespace {

using budget::Parts;

constexpr TimeUs kWindow = 5'000'000;  // over which demand is counted: the module's own window
constexpr std::size_t kWorkMost = 100'000;
constexpr const char* kCpu = "cpu/";
constexpr const char* kCold = "cold";
constexpr const char* kFurther = "further_attempts";
constexpr const char* kRate = "rate/";
constexpr const char* kConcurrency = "concurrency/";

bool begins(const std::string& name, const char* with) { return name.rfind(with, 0) == 0; }
std::string rest(const std::string& name, const char* with) { return name.substr(std::string(with).size()); }

budget::Allowance divided(const FleetConfig& config, std::string name, Parts whole) {
  const auto of_each = [&](std::int64_t ppm) {
    return static_cast<Parts>(static_cast<budget::WideParts>(whole) * ppm / kMillion / config.largest);
  };
  budget::Allowance out;
  out.name = std::move(name);
  out.whole = whole;
  out.cut_off = of_each(config.division.cut_off_ppm);
  out.reserve =
      static_cast<Parts>(static_cast<budget::WideParts>(whole) * config.division.reserve_ppm / kMillion);
  out.least = of_each(config.division.least_ppm);
  return out;
}

double part_of(const budget::Holder& holder, TimeUs now, std::size_t a) {
  const Parts whole = holder.terms().allowances[a].whole;
  return whole > 0 ? static_cast<double>(holder.usable(now, a)) / static_cast<double>(whole) : 0;
}

}  // namespace

budget::Terms terms_of(const FleetConfig& config, const Settings& settings, const limits::LimitSet* limits) {
  budget::Terms out;
  out.revision = config.revision;
  out.largest = config.largest;
  out.term = config.term;
  out.drift_ppm = config.drift_ppm;
  out.ramp = config.ramp;
  for (const ClassSettings& c : settings.classes)
    if (config.keys && c.effect != Effect::kIdempotent)
      out.longest_rest = std::max(out.longest_rest, core::rest_of(c));
  const auto add = [&](std::string name, Parts whole) {
    out.allowances.push_back(divided(config, std::move(name), whole));
  };
  if (settings.tenants.empty()) add(kCpu, kMillion);
  for (const TenantSettings& tenant : settings.tenants) add(kCpu + tenant.name, kMillion);
  if (settings.rules.fall_multiple > 0) add(kCold, kMillion);
  if (config.further_attempts) add(kFurther, *config.further_attempts);
  if (limits != nullptr) {
    for (const auto& route : limits->routes()) {
      const limits::Bounds& b = route->bounds;
      if (b.rate && b.rate->value.fleet)
        add(kRate + route->name, static_cast<Parts>(std::llround(b.rate->value.per_second * kMilli)));
      if (b.concurrency && b.concurrency->value.fleet)
        add(kConcurrency + route->name, b.concurrency->value.most);
    }
  }
  if (config.division.cut_off_ppm + config.division.reserve_ppm >= kMillion)
    throw std::invalid_argument("cut_off and reserve leave nothing to lease");
  return out;
}

Shares shares_of(const budget::Holder& holder, const Settings& settings, TimeUs now) {
  Shares out;
  FleetShare& m = out.module;
  const bool leased = holder.leased(now);
  m.live = leased ? holder.live() : 0;
  m.place = leased ? holder.place() : 0;
  m.budgets.assign(settings.tenants.size(), 0);
  const auto& allowances = holder.terms().allowances;
  for (std::size_t a = 0; a < allowances.size(); ++a) {
    const std::string& name = allowances[a].name;
    if (begins(name, kCpu)) {
      const double part = part_of(holder, now, a);
      for (std::size_t t = 0; t < settings.tenants.size(); ++t)
        if (settings.tenants[t].name == rest(name, kCpu)) m.budgets[t] = part;
      m.bounds += part / static_cast<double>(std::max<std::size_t>(settings.tenants.size(), 1));
    } else if (name == kCold) {
      m.cold = part_of(holder, now, a);
    } else if (name == kFurther) {
      m.further_attempts = static_cast<int>(holder.usable(now, a));
    } else if (begins(name, kRate)) {
      out.limits.rates[rest(name, kRate)] = static_cast<double>(holder.usable(now, a)) / kMilli;
    } else if (begins(name, kConcurrency)) {
      out.limits.places[rest(name, kConcurrency)] = static_cast<int>(holder.usable(now, a));
    }
  }
  return out;
}

void Demand::drop_old(TimeUs now) {
  while (!work_.empty() && (work_.front().at <= now - kWindow || work_.size() > kWorkMost)) {
    double& sum = sums_[work_.front().tenant];
    sum = std::max(0.0, sum - static_cast<double>(work_.front().cost));
    work_.pop_front();
  }
}

void Demand::taken(TimeUs now, const std::string& tenant, TimeUs cost) {
  drop_old(now);
  work_.push_back({now, tenant, cost});
  sums_[tenant] += static_cast<double>(cost);
}

std::vector<Parts> Demand::parts(TimeUs now, const budget::Terms& terms, const limits::FleetUse& use) {
  drop_old(now);
  double all = 0;
  for (const auto& [tenant, sum] : sums_) all += sum;
  const double tenants = static_cast<double>(std::max<std::size_t>(settings_.tenants.size(), 1));
  const double capacity = std::max(cores_, 1.0) * static_cast<double>(kWindow);
  std::vector<Parts> out;
  for (const budget::Allowance& allowance : terms.allowances) {
    const std::string& name = allowance.name;
    double part = 0;
    if (begins(name, kCpu)) {
      const auto sum = sums_.find(rest(name, kCpu));
      const double work = settings_.tenants.empty() ? all : sum == sums_.end() ? 0 : sum->second;
      part = work * tenants / capacity * static_cast<double>(allowance.whole);
    } else if (begins(name, kRate)) {
      if (const auto it = use.find(rest(name, kRate)); it != use.end()) part = it->second.rate * kMilli;
    } else if (begins(name, kConcurrency)) {
      if (const auto it = use.find(rest(name, kConcurrency)); it != use.end())
        part = it->second.under_way + it->second.waiting;
    } else {  // whoever has traffic may meet cold engines and failing ones
      part = all / capacity * static_cast<double>(allowance.whole);
    }
    const double beyond =
        std::min(part, static_cast<double>(allowance.whole)) - static_cast<double>(allowance.cut_off);
    out.push_back(static_cast<Parts>(std::ceil(std::max(beyond, 0.0))));
  }
  return out;
}

std::vector<Parts> Demand::in_use(TimeUs now, const budget::Holder& holder, const limits::FleetUse& use) {
  std::vector<Parts> out;
  const auto& allowances = holder.terms().allowances;
  for (std::size_t a = 0; a < allowances.size(); ++a) {
    const std::string& name = allowances[a].name;
    if (begins(name, kConcurrency)) {
      const auto it = use.find(rest(name, kConcurrency));
      out.push_back(std::max<Parts>(it == use.end() ? 0 : it->second.under_way - allowances[a].cut_off, 0));
    } else if (begins(name, kRate)) {
      out.push_back(0);  // a token that was taken is gone, and a smaller bucket keeps none beyond it
    } else {
      // What was spent of a slice is spent for its window: it is given back when that is over.
      auto& peaks = peaks_[name];
      const Parts lease = holder.leased(now) ? holder.part(a) : 0;
      while (!peaks.empty() && peaks.back().second < lease) peaks.pop_back();
      if (peaks.empty() || peaks.back().second > lease) peaks.emplace_back(now, lease);  // from when it is so
      while (peaks.size() > 1 && peaks[1].first <= now - kWindow) peaks.pop_front();
      out.push_back(peaks.front().second);
    }
  }
  return out;
}

}  // namespace orchidgw::fleet
