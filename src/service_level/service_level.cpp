#include "service_level/service_level.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace orchidgw::service_level {
namespace {

void collect_signals(const Condition& condition, std::vector<SignalKey>& to) {
  if (condition.kind == Condition::Kind::kComparison) {
    if (std::find(to.begin(), to.end(), condition.key) == to.end()) to.push_back(condition.key);
    return;
  }
  for (const Condition& part : condition.parts) collect_signals(part, to);
}

void add_effects(CombinedEffects& to, const Effects& effects) {
  to.no_second_copies = to.no_second_copies || effects.no_second_copies;
  to.no_further_attempts = to.no_further_attempts || effects.no_further_attempts;
  if (effects.longest_hold > 0)
    to.longest_hold =
        to.longest_hold > 0 ? std::min(to.longest_hold, effects.longest_hold) : effects.longest_hold;
  to.grants *= effects.grants;
  to.priority += effects.priority;
}

std::uint64_t mix_bits(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

double to_unit_interval(std::uint64_t bits) { return static_cast<double>(mix_bits(bits) >> 11) * 0x1p-53; }

std::uint64_t hash_of(const ShedCandidate& query) {
  const std::hash<std::string_view> hash;
  return mix_bits(hash(query.identity)) ^ mix_bits(hash(query.class_name) + 1) ^
         mix_bits(hash(query.tenant) + 2);
}

bool matches(const ShedRule& shed, const ShedCandidate& query) {
  return (shed.class_name.empty() || shed.class_name == query.class_name) &&
         (shed.tenant.empty() || shed.tenant == query.tenant);
}

}  // namespace

std::vector<SignalKey> signals_of(const LevelFile& file) {
  std::vector<SignalKey> out;
  for (const Level& level : file.levels) {
    collect_signals(level.enter, out);
    collect_signals(level.leave, out);
  }
  return out;
}

// Looks up the active levels at each call, so that a level also applies to queries accepted before it was
// entered. Like all limits it can only forbid and shorten.
class ServiceLevel::LevelQueryLimits final : public QueryLimits {
 public:
  LevelQueryLimits(std::shared_ptr<const QueryLimits> inner,
                   std::shared_ptr<const ActiveEffects> active_effects, std::string tenant,
                   TimeUs accepted_at)
      : inner_(std::move(inner)),
        active_effects_(std::move(active_effects)),
        tenant_(std::move(tenant)),
        accepted_at_(accepted_at) {}

  bool may_send(TimeUs now, int sent, int in_flight) const override {
    if (sent > 0 && forbids_attempt(in_flight > 0)) return false;
    return !inner_ || inner_->may_send(now, sent, in_flight);
  }
  bool may_follow(TimeUs now, OutcomeKind last, int sent) const override {
    return !effects().no_further_attempts && (!inner_ || inner_->may_follow(now, last, sent));
  }
  TimeUs next_send_at() const override { return inner_ ? inner_->next_send_at() : 0; }
  TimeUs stop_at(TimeUs now, TimeUs deadline) const override {
    return inner_ ? inner_->stop_at(now, deadline) : deadline;
  }
  TimeUs hold_until(TimeUs last) const override {
    const TimeUs until = inner_ ? inner_->hold_until(last) : last;
    const TimeUs longest = effects().longest_hold;
    return longest > 0 ? std::min(until, accepted_at_ + longest) : until;
  }
  bool second_copy_due(TimeUs now, TimeUs sent_at, int sent) const override {
    return inner_ && !forbids_attempt(true) && inner_->second_copy_due(now, sent_at, sent);
  }

 private:
  const CombinedEffects& effects() const {
    const auto it = active_effects_->by_tenant.find(tenant_);
    return it == active_effects_->by_tenant.end() ? active_effects_->general : it->second;
  }
  bool forbids_attempt(bool copy) const {
    const CombinedEffects& active = effects();
    return active.no_further_attempts || (copy && active.no_second_copies);
  }

  std::shared_ptr<const QueryLimits> inner_;
  std::shared_ptr<const ActiveEffects> active_effects_;
  std::string tenant_;
  TimeUs accepted_at_;
};

void ServiceLevel::activate(TimeUs now, std::shared_ptr<const LevelFile> file) {
  if (file && file->levels.empty()) file = nullptr;
  std::vector<Scope> scopes;
  if (file) {
    std::vector<std::string> tenants;  // in the order of the file
    for (const Level& level : file->levels)
      if (std::find(tenants.begin(), tenants.end(), level.tenant) == tenants.end())
        tenants.push_back(level.tenant);
    for (const std::string& tenant : tenants) {
      std::vector<const Level*> levels;
      for (const Level& level : file->levels)
        if (level.tenant == tenant) levels.push_back(&level);
      Scope scope{tenant, std::make_unique<Ladder>(std::move(levels), file->trial, file->changes)};
      for (const Scope& before : scopes_)
        if (before.tenant == tenant) scope.ladder->adopt_state(*before.ladder);
      if (file->manual && file->manual->until > now)
        scope.ladder->override_level(file->manual->level, file->manual->until);
      scopes.push_back(std::move(scope));
    }
    meters_ = std::make_unique<Meters>(signals_of(*file));
    recorder_ = std::make_unique<Recorder>(signals_of(*file));
  } else {
    meters_.reset();
    recorder_.reset();
  }
  scopes_ = std::move(scopes);
  file_ = std::move(file);
  // Guards against names that accumulate over reloads.
  if (!file_) time_by_level_.clear();
  std::erase_if(time_by_level_, [&](const auto& entry) {
    const auto dot = entry.first.rfind('.');
    return !has_level(dot == std::string::npos ? entry.first : entry.first.substr(dot + 1));
  });
  recompute_effects();
}

std::vector<LadderEvent> ServiceLevel::sample(TimeUs now, const Readings& readings) {
  std::vector<LadderEvent> changes;
  if (!has_levels()) return changes;
  meters_->sample(now, readings.queue_length, readings.queue_age, readings.loop_lag, readings.buffers);
  recorder_->record(now, *meters_);
  const TimeUs passed = last_sample_ > 0 ? std::max<TimeUs>(now - last_sample_, 0) : 0;
  last_sample_ = now;
  for (const Scope& scope : scopes_) {
    const Level* level = scope.ladder->level();
    time_by_level_[(scope.tenant.empty() ? "" : scope.tenant + ".") + (level ? level->name : kFullService)] +=
        passed;
    if (auto change = scope.ladder->sample(now, *meters_)) changes.push_back(std::move(*change));
  }
  if (!changes.empty()) recompute_effects();
  return changes;
}

// In a ladder, the active level and all below it apply: a level adds to those below it.
void ServiceLevel::recompute_effects() {
  *active_effects_ = {};
  const auto add_active_effects = [&](const Scope& scope, CombinedEffects& to) {
    if (!file_) return;
    std::size_t position = 0;
    for (const Level& level : file_->levels)
      if (level.tenant == scope.tenant && position++ < scope.ladder->active_level_count())
        add_effects(to, level.effects);
  };
  for (const Scope& scope : scopes_)
    if (scope.tenant.empty()) add_active_effects(scope, active_effects_->general);
  for (const Scope& scope : scopes_) {
    if (scope.tenant.empty()) continue;
    CombinedEffects& own = active_effects_->by_tenant[scope.tenant];
    own = active_effects_->general;
    add_active_effects(scope, own);
  }
}

double ServiceLevel::shed_draw(const ShedCandidate& query, const Ladder& ladder) const {
  // Differs after each change of level, so that not always the same clients are shed; constant while the
  // level is active, so that a retry gets the same answer.
  return to_unit_interval(hash_of(query) + 0x9e3779b97f4a7c15ULL * (ladder.change_count() + 1));
}

const Level* ServiceLevel::shedding_level(const ShedCandidate& query) const {
  if (query.keyed_retry) return nullptr;
  for (const Scope& scope : scopes_) {
    if (scope.ladder->active_level_count() == 0) continue;
    if (!scope.tenant.empty() && scope.tenant != query.tenant) continue;
    const double draw = shed_draw(query, *scope.ladder);
    std::size_t position = 0;
    for (const Level& level : file_->levels) {
      if (level.tenant != scope.tenant) continue;
      if (position++ >= scope.ladder->active_level_count()) break;
      const bool is_highest = position == scope.ladder->active_level_count();
      const double admitted = is_highest ? scope.ladder->admitted_share() : 0;
      for (const ShedRule& shed : level.effects.shed)
        if (matches(shed, query) && draw < shed.share * (1 - admitted)) return &level;
    }
  }
  return nullptr;
}

bool ServiceLevel::any_level_active() const {
  return std::any_of(scopes_.begin(), scopes_.end(),
                     [](const Scope& s) { return s.ladder->active_level_count() > 0; });
}

TimeUs ServiceLevel::retry_after(const ShedCandidate& query, TimeUs most) const {
  const double part = 0.5 + 0.5 * to_unit_interval(hash_of(query) ^ static_cast<std::uint64_t>(last_sample_));
  return static_cast<TimeUs>(part * static_cast<double>(most));
}

CombinedEffects ServiceLevel::effects_for(std::string_view tenant) const {
  const auto it = active_effects_->by_tenant.find(tenant);
  return it == active_effects_->by_tenant.end() ? active_effects_->general : it->second;
}

double ServiceLevel::limits_scale() const {
  double scale = 1;
  for (const Scope& scope : scopes_) {
    if (!scope.tenant.empty()) continue;
    std::size_t position = 0;
    for (const Level& level : file_->levels)
      if (level.tenant.empty() && position++ < scope.ladder->active_level_count())
        scale *= level.effects.limits;
  }
  return scale;
}

std::shared_ptr<const QueryLimits> ServiceLevel::wrap_query_limits(std::shared_ptr<const QueryLimits> inner,
                                                                   const std::string& tenant,
                                                                   TimeUs accepted_at) const {
  if (!has_levels()) return inner;
  return std::make_shared<const LevelQueryLimits>(std::move(inner), active_effects_, tenant, accepted_at);
}

std::string ServiceLevel::general_level() const {
  for (const Scope& scope : scopes_)
    if (scope.tenant.empty() && scope.ladder->level() != nullptr) return scope.ladder->level()->name;
  return kFullService;
}

void ServiceLevel::override_level(const std::string& level, TimeUs until) {
  for (const Scope& scope : scopes_) scope.ladder->override_level(level, until);
}

bool ServiceLevel::has_level(const std::string& level) const {
  if (!file_) return false;
  if (level == kFullService) return true;
  return std::any_of(file_->levels.begin(), file_->levels.end(),
                     [&](const Level& l) { return l.name == level; });
}

std::string ServiceLevel::status(TimeUs now) const {
  std::string out;
  for (const Scope& scope : scopes_) {
    const Ladder& ladder = *scope.ladder;
    const Level* level = ladder.level();
    out += "level " + (scope.tenant.empty() ? "" : "of tenant " + scope.tenant + " ") +
           (level != nullptr ? level->name : kFullService);
    if (ladder.level_since() > 0)
      out += " for " + std::to_string((now - ladder.level_since()) / 1'000'000) + " s";
    if (ladder.admitted_share() > 0)
      out += ", trial with " + std::to_string(std::lround(ladder.admitted_share() * 100)) + "% admitted";
    out += ", changes " + std::to_string(ladder.change_count()) + "\n";
  }
  if (scopes_.empty()) out = "no levels in the operators' file\n";
  return out;
}

std::uint64_t ServiceLevel::change_count() const {
  std::uint64_t n = 0;
  for (const Scope& scope : scopes_) n += scope.ladder->change_count();
  return n;
}

}  // namespace orchidgw::service_level
