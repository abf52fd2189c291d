#include "fleet/allowances.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "core/keys.h"

namespace orchidgw::fleet {
namespace {

using budget::Parts;

constexpr TimeUs kDemandWindow = 5'000'000;  // in which demand is measured: the decision module's own window
constexpr std::size_t kMaxAcceptedQueries = 100'000;
constexpr const char* kCpu = "cpu/";
constexpr const char* kCold = "cold";
constexpr const char* kFurtherAttempts = "further_attempts";
constexpr const char* kRate = "rate/";
constexpr const char* kConcurrency = "concurrency/";

bool has_prefix(const std::string& name, const char* prefix) { return name.rfind(prefix, 0) == 0; }
std::string without_prefix(const std::string& name, const char* prefix) {
  return name.substr(std::string(prefix).size());
}

budget::Allowance make_allowance(const FleetConfig& config, std::string name, Parts whole) {
  const auto per_controller = [&](std::int64_t ppm) {
    return static_cast<Parts>(static_cast<budget::WideParts>(whole) * ppm / kMillion / config.largest);
  };
  budget::Allowance out;
  out.name = std::move(name);
  out.whole = whole;
  out.cut_off = per_controller(config.division.cut_off_ppm);
  out.reserve =
      static_cast<Parts>(static_cast<budget::WideParts>(whole) * config.division.reserve_ppm / kMillion);
  out.least = per_controller(config.division.least_ppm);
  return out;
}

double usable_share(const budget::LeaseHolder& holder, TimeUs now, std::size_t a) {
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
      out.longest_key_hold = std::max(out.longest_key_hold, core::key_hold_of(c));
  const auto add = [&](std::string name, Parts whole) {
    out.allowances.push_back(make_allowance(config, std::move(name), whole));
  };
  if (settings.tenants.empty()) add(kCpu, kMillion);
  for (const TenantSettings& tenant : settings.tenants) add(kCpu + tenant.name, kMillion);
  if (settings.rules.overload_multiple > 0) add(kCold, kMillion);
  if (config.further_attempts) add(kFurtherAttempts, *config.further_attempts);
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

Shares shares_of(const budget::LeaseHolder& holder, const Settings& settings, TimeUs now) {
  Shares out;
  FleetShare& module_share = out.module;
  const bool leased = holder.leased(now);
  module_share.live = leased ? holder.live() : 0;
  module_share.place = leased ? holder.place() : 0;
  module_share.budgets.assign(settings.tenants.size(), 0);
  const auto& allowances = holder.terms().allowances;
  for (std::size_t a = 0; a < allowances.size(); ++a) {
    const std::string& name = allowances[a].name;
    if (has_prefix(name, kCpu)) {
      const double part = usable_share(holder, now, a);
      for (std::size_t t = 0; t < settings.tenants.size(); ++t)
        if (settings.tenants[t].name == without_prefix(name, kCpu)) module_share.budgets[t] = part;
      module_share.bounds += part / static_cast<double>(std::max<std::size_t>(settings.tenants.size(), 1));
    } else if (name == kCold) {
      module_share.cold = usable_share(holder, now, a);
    } else if (name == kFurtherAttempts) {
      module_share.further_attempts = static_cast<int>(holder.usable(now, a));
    } else if (has_prefix(name, kRate)) {
      out.limits.rates[without_prefix(name, kRate)] = static_cast<double>(holder.usable(now, a)) / kMilli;
    } else if (has_prefix(name, kConcurrency)) {
      out.limits.concurrency[without_prefix(name, kConcurrency)] = static_cast<int>(holder.usable(now, a));
    }
  }
  return out;
}

void Demand::drop_expired(TimeUs now) {
  while (!accepted_.empty() &&
         (accepted_.front().at <= now - kDemandWindow || accepted_.size() > kMaxAcceptedQueries)) {
    double& sum = cost_by_tenant_[accepted_.front().tenant];
    sum = std::max(0.0, sum - static_cast<double>(accepted_.front().cost));
    accepted_.pop_front();
  }
}

void Demand::query_accepted(TimeUs now, const std::string& tenant, TimeUs cost) {
  drop_expired(now);
  accepted_.push_back({now, tenant, cost});
  cost_by_tenant_[tenant] += static_cast<double>(cost);
}

std::vector<Parts> Demand::parts(TimeUs now, const budget::Terms& terms, const limits::FleetUsage& use) {
  drop_expired(now);
  double total_cost = 0;
  for (const auto& [tenant, sum] : cost_by_tenant_) total_cost += sum;
  const double tenants = static_cast<double>(std::max<std::size_t>(settings_.tenants.size(), 1));
  const double capacity = std::max(cores_, 1.0) * static_cast<double>(kDemandWindow);
  std::vector<Parts> out;
  for (const budget::Allowance& allowance : terms.allowances) {
    const std::string& name = allowance.name;
    double part = 0;
    if (has_prefix(name, kCpu)) {
      const auto sum = cost_by_tenant_.find(without_prefix(name, kCpu));
      const double work = settings_.tenants.empty()      ? total_cost
                          : sum == cost_by_tenant_.end() ? 0
                                                         : sum->second;
      part = work * tenants / capacity * static_cast<double>(allowance.whole);
    } else if (has_prefix(name, kRate)) {
      if (const auto it = use.find(without_prefix(name, kRate)); it != use.end())
        part = it->second.rate * kMilli;
    } else if (has_prefix(name, kConcurrency)) {
      if (const auto it = use.find(without_prefix(name, kConcurrency)); it != use.end())
        part = it->second.under_way + it->second.waiting;
    } else {  // any traffic may meet engines in slow start, or failing ones
      part = total_cost / capacity * static_cast<double>(allowance.whole);
    }
    const double above_cut_off =
        std::min(part, static_cast<double>(allowance.whole)) - static_cast<double>(allowance.cut_off);
    out.push_back(static_cast<Parts>(std::ceil(std::max(above_cut_off, 0.0))));
  }
  return out;
}

std::vector<Parts> Demand::parts_in_use(TimeUs now, const budget::LeaseHolder& holder,
                                        const limits::FleetUsage& use) {
  std::vector<Parts> out;
  const auto& allowances = holder.terms().allowances;
  for (std::size_t a = 0; a < allowances.size(); ++a) {
    const std::string& name = allowances[a].name;
    if (has_prefix(name, kConcurrency)) {
      const auto it = use.find(without_prefix(name, kConcurrency));
      out.push_back(std::max<Parts>(it == use.end() ? 0 : it->second.under_way - allowances[a].cut_off, 0));
    } else if (has_prefix(name, kRate)) {
      out.push_back(0);  // used tokens need not be given back, and a smaller bucket drops what exceeds it
    } else {
      // A share of the budget that was used counts for the whole window: it is given back when that is over.
      auto& peaks = leased_peaks_[name];
      const Parts leased_part = holder.leased(now) ? holder.part(a) : 0;
      while (!peaks.empty() && peaks.back().second < leased_part) peaks.pop_back();
      if (peaks.empty() || peaks.back().second > leased_part) peaks.emplace_back(now, leased_part);
      while (peaks.size() > 1 && peaks[1].first <= now - kDemandWindow) peaks.pop_front();
      out.push_back(peaks.front().second);
    }
  }
  return out;
}

}  // namespace orchidgw::fleet
