// orchidgw's decision module: workload budgets after Pinot's query resource isolation (docs/design.md).
// The interface that it implements is src/decision/decision.h. Whether a query may be sent, repeated or
// refused at all is said in src/decision/permission.h; which of what is allowed is done is decided here
// alone. Map: constants | records | listing | events | learned costs | budget ledger | routing |
//      admission and holding | the guard of every send (rules 2-7) | attempts and answers (rule 1) | health
#include <algorithm>
#include <cmath>
#include <deque>
#include <set>
#include <stdexcept>
#include <utility>

#include "decision/decision.h"
#include "decision/permission.h"

namespace orchidgw {
namespace {

// --- Constants: value, unit, reason -----------------------------------------------------------------------
constexpr TimeUs kMs = 1000;
constexpr TimeUs kWindow = 5'000 * kMs;      // enforcement window (DESIGN)
constexpr double kMeanBound = 1.25;          // x this gateway's mean threads per engine (DESIGN)
constexpr double kThreadsPerCore = 2.0;      // threads per core, all gateways together (DESIGN)
constexpr double kHot = 1.5;                 // x the mean slowdown from which an engine's slices shrink
constexpr double kPressure = 2.0;            // slowdown from which the bounds bind: answers take twice
constexpr TimeUs kFullMemory = 1'000 * kMs;  // a "full" answer or a wait for memory is pressure for this long
constexpr double kCrowdStep = 0.8, kCrowdLeast = 0.3, kCrowdBack = 0.004;  // step down, floor, step up a tick
constexpr double kSilenceFloor = 700 * kMs, kSilencePart = 0.6;  // least wait for an answer; part of the aim
constexpr TimeUs kTick = 20 * kMs;          // housekeeping period: expiry of held queries, silence
constexpr TimeUs kAnswerMargin = 60 * kMs;  // a held query is answered this long before its time ends
constexpr double kOverdue = 4.0;            // x what its class takes now: an answer counts as lost
constexpr double kRunaway = 4.0;            // x what its class takes now, at the pace notes tell: a bad plan
constexpr TimeUs kNotesMissed = 3;          // x the progress interval without a sign of life: silent
constexpr TimeUs kTrial = 1'500 * kMs;      // a suspect engine gets one trial query this often
constexpr double kTrialSpread = 2.0 / 3;    // of that time: over so much of it gateways' trials are spread
constexpr double kEngineWeight = 0.2, kErrorShare = 0.3;   // of one answer; failed ones: suspect
constexpr double kLearnWeight = 0.05, kMeanWeight = 0.01;  // of one answer in costs; of one query in means
constexpr double kSlowMost = 10.0;    // one answer counts as at most this slow: loads stall readers
constexpr double kGrantSpill = 0.10;  // share of queries that may need more memory than granted
constexpr double kGrantMost = 0.2;    // of an engine's memory that one query gets
constexpr double kGrantStart = 1.25;  // x the estimate, before anything is learned
constexpr double kGrantStep = 0.1;    // how fast that multiple moves (log scale, per answer)
constexpr double kColdShare = 0.5, kColdOne = 0.2;  // of the cold allowance: all; one query by turn
constexpr int kTriedRank = 100;                     // engines tried before come after all others
constexpr size_t kOrdersMost = 4096;                // groups whose order is kept
constexpr size_t kScanMost = 48;                    // held queries tried for a place at one event
constexpr std::uint64_t kTokenTick = 1, kTokenReset = 2, kTokenWake = 3;

std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::uint64_t hash_text(const std::string& text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix(h);
}

bool never_ran(OutcomeKind k) { return k == OutcomeKind::kFull || never_sent(k); }

// --- Records ----------------------------------------------------------------------------------------------
struct Attempt {
  EngineEntry to;
  TimeUs sent_at = 0;
  TimeUs stalls = 0;    // of this gateway itself, all of them by then
  double charge = 0;    // us of CPU taken from the budget
  double grant_mb = 0;  // 0: left to the engine
  bool spilled = false;
  bool open = true;
  bool late = false;      // overdue, though its engine may live
  bool given_up = false;  // its engine fell silent, or it was cancelled
  OutcomeKind outcome = OutcomeKind::kOk;
};

EarlierAttempt as_earlier(const Attempt& a) {
  const bool unsent = !a.open && never_sent(a.outcome);
  return {a.sent_at, a.open, a.open || !never_ran(a.outcome), a.to.zone, a.to.cell, unsent};
}

struct Held {
  Query q;
  TimeUs arrived = 0;
  TimeUs deadline = 0;
  double cost = 0;     // us of CPU expected
  double density = 0;  // worth per CPU second
  std::uint64_t seq = 0;
  std::vector<Attempt> attempts;
  bool ended = false;
  bool waiting = false;     // in the holding line
  bool redrawn = false;     // an attempt of it was cancelled for its pace
  std::uint64_t tried = 0;  // the last events' count at which it found no place
  int in_flight() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), [](auto& a) { return a.open; }));
  }
  AttemptCounts made() const {
    AttemptCounts made;
    for (const Attempt& a : attempts) ++(as_earlier(a).unsent ? made.unsent : made.sent);
    return made;
  }
};

struct Engine {
  EngineEntry entry;
  std::uint64_t hash = 0;
  bool listed = false;
  int cores = 1;
  double memory_mb = 0;
  double threads = 0;                          // this gateway's, out there now
  double granted_mb = 0;                       // this gateway's
  std::map<std::string, double> left;          // budget per tenant, us of CPU
  std::map<std::int64_t, int> loads;           // this gateway's loads per table group
  std::map<std::int64_t, TimeUs> stalled;      // table group: until when a load is known to stall readers
  std::deque<std::pair<TimeUs, double>> sent;  // work sent while cold
  std::set<std::pair<QueryId, int>> out;
  double slowdown = 1, answers = 0;  // x the ideal time; how many answers tell of it, fading
  double room = 1;                   // part of its share of memory that this gateway still finds free
  double errors = 0;
  TimeUs last_sign = 0;  // of life, an answer or a note, on the clock without this gateway's own stalls
  TimeUs last_full = -kWindow;
  std::map<int, TimeUs> closed;  // class: until when it is spared this engine, which turned it away
  bool suspect = false;
  TimeUs next_trial = 0;
};

struct Learned {
  double told = 0, estimated = 0;  // decayed sums: how far estimates of cost are off
  double mean = 0;                 // us of CPU; 0: nothing learned yet
  double slow = 1;                 // x the ideal time that answers take
  double base = 0;                 // where costs are not told: latency x threads per estimate when calm
  double grant = kGrantStart, grants = 0;  // multiple of the estimate; how often it was learned
};

struct Pool {  // sums over the listed engines, lest each query cost a pass over the fleet
  double engines = 0, cores = 0, memory_mb = 0;
  double threads = 0, granted_mb = 0;  // this gateway's, out there now
  double slowdown = 1;                 // mean over the answers of all engines
};

class WorkloadBudget final : public DecisionModule {
 public:
  explicit WorkloadBudget(const Settings& settings)
      : s_(settings), share_(1.0 / s_.gateways), learned_(s_.classes.size()) {
    if (s_.gateways < 1 || s_.classes.empty()) throw std::invalid_argument("no gateways or no classes");
    for (const auto& c : s_.classes) {
      if (c.threads < 1 || c.deadline <= 0) throw std::invalid_argument("class without threads or deadline");
      // No deployment asks for order now; rather no start than rule 5 broken unseen.
      if (c.in_order) throw std::invalid_argument("class " + c.name + " asks for order, which is not kept");
    }
    for (const auto& t : s_.tenants) quota_ += t.quota_per_s;
  }

  // --- Listing --------------------------------------------------------------------------------------------
  void on_engines(TimeUs now, ListKind kind, const std::vector<EngineEntry>& entries,
                  ActionSink& sink) override {
    start(now, sink);
    if (kind == ListKind::kError && s_.must_ask_discovery) ask_again_ = now + 1'000 * kMs;
    if (kind == ListKind::kError) return;
    if (kind != ListKind::kDelta)
      for (auto& [id, e] : engines_) e.listed = false;
    for (const auto& entry : entries) {
      Engine& e = engines_[entry.id];
      if (!e.entry.id.empty() && e.entry.started_at != entry.started_at) clear_suspicion(e), e.slowdown = 1;
      e.entry = entry;
      e.hash = hash_text(entry.id);
      e.listed = entry.state == EngineState::kInService;
      for (const auto& k : s_.kinds)
        if (k.name == entry.kind) e.cores = std::max(1, k.cores), e.memory_mb = k.memory_mb;
    }
    std::erase_if(engines_, [](const auto& p) { return !p.second.listed && p.second.out.empty(); });
    orders_.clear();
    pool_.engines = pool_.cores = pool_.memory_mb = 0;
    for (const auto& [id, e] : engines_) {
      pool_.engines += e.listed;
      pool_.cores += e.listed * e.cores;
      pool_.memory_mb += e.listed * e.memory_mb;
    }
    pump(now, sink);
  }

  // --- Events ---------------------------------------------------------------------------------------------
  void on_query(TimeUs now, const Query& q, ActionSink& sink) override {
    start(now, sink);
    arrivals_.push_back(now);
    // Guards against a ration over too late a window: one that waited before counts as no query taken now.
    if (s_.rules.attempts_rationed && q.waited == 0) taken_.push_back(now);
    const ClassSettings& c = s_.classes.at(static_cast<size_t>(q.class_index));
    Held& h = queries_[q.id];
    h.q = q;
    h.arrived = now - q.waited;
    h.deadline = now + std::min(q.time_budget, c.deadline);
    h.seq = ++seq_;
    h.cost = expected_cost(q);
    h.density = c.value / std::max(h.cost, 1.0) * 1e6;
    const double w = std::max(kMeanWeight, 1.0 / static_cast<double>(seq_));
    mean_value_ += w * (c.value - mean_value_);
    mean_work_ += w * (h.cost - mean_work_);
    hold(h);
    pump(now, sink, false);
    if (const auto it = queries_.find(q.id); it != queries_.end() && it->second.waiting)
      sink.set_timer(std::max<TimeUs>(give_up_at(it->second) - now, 1), kTokenWake);
  }

  void on_outcome(TimeUs now, const Outcome& o, ActionSink& sink) override {
    const auto it = queries_.find(o.query);
    if (it == queries_.end() || o.attempt < 0 || o.attempt >= static_cast<int>(it->second.attempts.size()))
      return;
    Held& h = it->second;
    Attempt& a = h.attempts[static_cast<size_t>(o.attempt)];
    if (!a.open) return;
    note_own_stall(now);
    a.open = false;
    a.outcome = o.kind;
    settle(h, a, o);
    if (o.attempt > 0) give_back_ration(a);
    judge(now, a, o);
    if (o.ended) end(h);
    if (o.ended && h.q.limits) cancel_open(h, sink);  // the copy that lost
    if (!h.ended) next_step(now, h, sink);
    forget_if_over(o.query);
    pump(now, sink);
  }

  void on_note(TimeUs now, const Note& n, ActionSink& sink) override {
    const auto it = queries_.find(n.query);
    if (it == queries_.end() || n.attempt < 0 || n.attempt >= static_cast<int>(it->second.attempts.size()))
      return;
    Held& h = it->second;
    Attempt& a = h.attempts[static_cast<size_t>(n.attempt)];
    if (!a.open) return;
    note_own_stall(now);
    Engine& e = engines_.at(a.to.id);
    e.last_sign = now - stalls_;
    if (e.suspect && e.errors < kErrorShare) clear_suspicion(e);
    if (n.kind == NoteKind::kSpill && !a.spilled) {
      a.spilled = true;  // where memory is told, or what is short is shared out, the answer teaches instead
      if (!s_.tells_cost && s_.when_short != WhenShort::kShrink) learn_grant(learned(h), a, true);
    }
    if (n.kind == NoteKind::kWait && n.value >= 2)
      e.stalled[h.q.table_group] = now + 2 * std::max(s_.progress_interval, kTick);
    if (n.kind == NoteKind::kWait && n.value < 2) crowd(e, now);
    if (n.kind == NoteKind::kProgress && runaway(h, a, n.value, now))
      h.redrawn = true, sink.cancel(h.q.id, n.attempt);
    if (n.kind != NoteKind::kProgress) pump(now, sink);  // progress frees nothing; the tick places soon
  }

  void on_stream_started(TimeUs, QueryId, const EngineId&, ActionSink&) override {}  // no class streams yet

  void on_client_gone(TimeUs now, QueryId id, ActionSink& sink) override {
    const auto it = queries_.find(id);
    if (it == queries_.end()) return;
    end(it->second);
    cancel_open(it->second, sink);
    forget_if_over(id);
    pump(now, sink);
  }

  void on_probe(TimeUs, const EngineId&, bool, const LoadReport&, ActionSink&) override {}

  void on_peer(TimeUs, int, const std::string&, ActionSink&) override {}  // no peers to hear

  // A fleet changes only which share this gateway has; a window's budgets stay as they were dealt.
  void on_share(TimeUs now, const FleetShare& share, ActionSink& sink) override {
    fleet_ = share;
    update_share(now);
    pump(now, sink);
  }

  void on_timer(TimeUs now, std::uint64_t token, ActionSink& sink) override {
    note_own_stall(now);
    if (token == kTokenReset) {
      ++window_;
      reset_at_ = now;
      for (auto& [id, e] : engines_) e.left.clear();
      sink.set_timer(kWindow, kTokenReset);
    }
    if (token == kTokenTick) {
      set_tick(now, sink);
      update_share(now);
      for (auto& [id, e] : engines_) {
        if (now - e.last_full > kFullMemory) e.room = std::min(1.0, e.room + kCrowdBack);
        e.slowdown += kCrowdBack * (pool_.slowdown - e.slowdown);
        e.answers *= 1 - kCrowdBack;
        std::erase_if(e.stalled, [&](const auto& p) { return p.second <= now; });
      }
      watch_silence(now, sink);
    }
    if (ask_again_ > 0 && now >= ask_again_) ask_again_ = 0, sink.subscribe();
    expire(now, sink);
    pump(now, sink, token != kTokenWake);  // a query's own wake frees nothing
  }

 private:
  void set_tick(TimeUs now, ActionSink& sink) {
    tick_due_ = now + kTick;
    sink.set_timer(kTick, kTokenTick);
  }

  // Guards against a gateway that was starved of CPU and then shut all its engines at once, for answers that
  // lay ready unread: while its tick is overdue it heard nobody, and no engine is late by that.
  void note_own_stall(TimeUs now) {
    if (now - tick_due_ <= kTick) return;
    stalls_ += now - tick_due_;
    tick_due_ = now;
  }

  void start(TimeUs now, ActionSink& sink) {
    if (started_) return note_own_stall(now);
    started_ = true;
    started_at_ = now;
    reset_at_ = now - kWindow + kWindow * (s_.self + 1) / s_.gateways;
    set_tick(now, sink);
    sink.set_timer(kWindow * (s_.self + 1) / s_.gateways, kTokenReset);  // not all at once
    if (s_.must_ask_discovery) sink.subscribe();
  }

  const ClassSettings& cls(const Held& h) const { return s_.classes[static_cast<size_t>(h.q.class_index)]; }
  Learned& learned(const Held& h) { return learned_[static_cast<size_t>(h.q.class_index)]; }

  // --- Learned costs --------------------------------------------------------------------------------------
  double expected_cost(const Query& q) const {
    const auto c = static_cast<size_t>(q.class_index);
    const Learned& l = learned_[c];
    const double bias = l.estimated > 0 ? l.told / l.estimated : 1.0;
    if (q.cost_estimate > 0) return static_cast<double>(q.cost_estimate) * bias;
    return l.mean > 0 ? l.mean : static_cast<double>(s_.classes[c].aim) * 0.5;
  }

  // Without grants, where the engine lets all in and slows all once memory is over (page), the estimate of
  // memory is counted as a grant would be: the design's "memory may be checked likewise".
  bool counts_memory() const { return s_.grants || s_.when_short == WhenShort::kPage; }
  double wanted_mb(const Held& h) { return h.q.memory_mb * (s_.grants ? learned(h).grant : 1.0); }

  double grant_for(const Held& h, const Engine& e) {
    if (!counts_memory() || h.q.memory_mb <= 0) return 0;
    if (!s_.grants) return wanted_mb(h);
    const double most = std::min(s_.max_grant_share, kGrantMost);
    return e.memory_mb > 0 ? std::min(wanted_mb(h), e.memory_mb * most) : wanted_mb(h);
  }

  // The grant tends to what all but a few need; first steps are long, as estimates may be far too low.
  void learn_grant(Learned& l, const Attempt& a, bool spilled) {
    if (a.grant_mb <= 0 || !s_.grants) return;
    const double step = std::max(kGrantStep, 1.0 / (2.0 + l.grants++));
    l.grant = std::clamp(l.grant * std::exp(step * (spilled ? 1 - kGrantSpill : -kGrantSpill)), 0.1, 10.0);
  }

  // An answer corrects its charge and teaches costs, memory and the engine's slowdown.
  void settle(const Held& h, Attempt& a, const Outcome& o) {
    Engine& e = engines_.at(a.to.id);  // kept while anything is out there
    const ClassSettings& c = cls(h);
    const TimeUs latency = std::max<TimeUs>(o.latency - (stalls_ - a.stalls), 0);
    const double spent = o.told_cost && o.kind == OutcomeKind::kOk ? static_cast<double>(*o.told_cost)
                                                                   : static_cast<double>(latency * c.threads);
    pool_.threads -= c.threads;
    pool_.granted_mb -= a.grant_mb;
    e.threads -= c.threads;
    e.granted_mb -= a.grant_mb;
    if (c.load && --e.loads[h.q.table_group] <= 0) e.loads.erase(h.q.table_group);
    e.out.erase({h.q.id, static_cast<int>(&a - h.attempts.data())});
    if (o.kind != OutcomeKind::kTimeout && o.kind != OutcomeKind::kCancelled)
      e.left[h.q.tenant] +=
          a.charge - (never_ran(o.kind) ? 0.0 : spent);  // after a reset: no fresh slice here
    if (o.kind != OutcomeKind::kOk) return;
    Learned& l = learned(h);
    const double estimate = static_cast<double>(h.q.cost_estimate);
    double slow = 0, told = spent;
    if (o.told_cost) {
      slow = static_cast<double>(latency * c.threads) / std::max(spent, 1.0);
    } else if (estimate > 0) {
      const double ratio = spent / estimate;
      if (l.base <= 0) l.base = ratio;
      // The calm median: answers slower than the pressure line hardly move it, or a jam would pass for calm.
      l.base *= std::exp(kLearnWeight * (ratio < l.base ? -0.5 : ratio < kPressure * l.base ? 0.5 : 0.03));
      told = l.base * estimate;
      slow = ratio / l.base;
    }
    if (estimate > 0) {
      l.told += kLearnWeight * (told - l.told);
      l.estimated += kLearnWeight * (estimate - l.estimated);
    }
    l.mean += (l.mean > 0 ? kLearnWeight : 1) * (spent - l.mean);
    slow = std::min(slow, kSlowMost);
    if (slow > 0) l.slow += kLearnWeight * (slow - l.slow);
    if (slow > 0 && !c.load) {
      pool_.slowdown += kLearnWeight * (slow - pool_.slowdown);
      learn_slowdown(e, slow);
    }
    if (o.told_memory_mb || !a.spilled) learn_grant(l, a, o.told_memory_mb.value_or(0) > a.grant_mb);
  }

  // Hundreds of gateways each see an engine once in seconds: the first answer counts in full, more ever less.
  static void learn_slowdown(Engine& e, double slow) {
    e.answers += 1;
    e.slowdown += std::max(kEngineWeight, 1 / e.answers) * (slow - e.slowdown);
  }

  // --- Budget ledger --------------------------------------------------------------------------------------
  // Even (DESIGN); a gateway that takes more than an even part of the tenants' quotas has that part instead.
  void update_share(TimeUs now) {
    while (!arrivals_.empty() && arrivals_.front() < now - kWindow) arrivals_.pop_front();
    if (fleet_) return void(share_ = fleet_->bounds);
    const TimeUs seen = std::clamp<TimeUs>(now - started_at_, 1'000 * kMs, kWindow);
    const double rate = static_cast<double>(arrivals_.size()) * 1e6 / static_cast<double>(seen);
    share_ = std::clamp(quota_ > 0 ? rate / quota_ : 0.0, 1.0 / s_.gateways, 1.0);
  }

  double slice(const Engine& e, const std::string& tenant) const {
    const double tenants = static_cast<double>(std::max<size_t>(s_.tenants.size(), 1));
    double share = share_;
    for (size_t t = 0; fleet_ && t < s_.tenants.size(); ++t)
      if (s_.tenants[t].name == tenant) share = fleet_->budgets.at(t);
    return e.cores * static_cast<double>(kWindow) * share / tenants;
  }

  double& budget(Engine& e, const std::string& tenant) {
    const auto [it, fresh] = e.left.try_emplace(tenant, 0.0);
    if (fresh) it->second = slice(e, tenant);
    return it->second;
  }

  // This gateway's place, 0 to 1, in the line that all gateways form for an engine in a window, each at its
  // own.
  double turn_at(const Engine& e, std::uint64_t window) const {
    const double place = static_cast<double>(mix(e.hash ^ mix(window)) >> 11) * 0x1p-53 +
                         (fleet_ && fleet_->live > 0 ? static_cast<double>(fleet_->place) / fleet_->live
                                                     : static_cast<double>(s_.self) / s_.gateways);
    return place - std::floor(place);
  }

  // Guards against slices below one charge (DESIGN's weak point): each would let one query through, all at
  // the group's home. Such slices are dealt whole: of all gateways, the part slice / charge has its turn at
  // an engine in a window. 0: its turn; else how often the slice must double before it is; hot engines'
  // slices shrink.
  int out_of_turn(const Held& h, Engine& e) {
    if (h.q.tenant.empty()) return 0;
    const double left = budget(e, h.q.tenant);
    const double all = slice(e, h.q.tenant);
    if (all <= 0) return kTriedRank - 1;  // a fleet leaves its tenant nothing: no doubling reaches a turn
    const double heat = std::max(1.0, e.slowdown / (kHot * pool_.slowdown));
    const double turn = left < all ? 1.0 : turn_at(e, window_);
    const double ratio = heat * heat * (h.cost <= all ? 1.0 : turn * (h.cost + all - left) / all);
    return ratio <= 1 ? 0 : std::ilogb(ratio) + 1;
  }

  // --- Routing --------------------------------------------------------------------------------------------
  // Rendezvous order of the table group: the same at every gateway, stable as engines come and go. Kept until
  // the list changes, lest each query cost a ranking of the whole fleet.
  const std::vector<Engine*>& walk_order(std::int64_t group, bool load) {
    if (orders_.size() > kOrdersMost) orders_.clear();
    std::vector<Engine*>& order = orders_[{group, load}];
    if (!order.empty()) return order;
    for (auto& [id, e] : engines_)
      if (e.listed) order.push_back(&e);
    const std::uint64_t salt = mix(static_cast<std::uint64_t>(group) + 1);
    std::stable_sort(order.begin(), order.end(), [salt](const Engine* a, const Engine* b) {
      return mix(a->hash ^ salt) < mix(b->hash ^ salt);
    });
    // Readers stand still where a load holds their group: it keeps to the far half of the order, away from
    // their home, and each gateway starts at a place of its own there.
    if (load && order.size() > 1) {
      std::reverse(order.begin(), order.end());
      order.resize((order.size() + 1) / 2);
      std::rotate(order.begin(), order.begin() + s_.self % static_cast<long>(order.size()), order.end());
    }
    return order;
  }

  bool stalled_for(const Held& h, Engine& e, TimeUs now) {
    if (!cls(h).load && !cls(h).waits_for_loads) return false;
    if (e.loads.count(h.q.table_group) > 0) return true;
    const auto it = e.stalled.find(h.q.table_group);
    return it != e.stalled.end() && it->second > now;
  }

  // Answers slower than the pressure line shrink the bounds in proportion (exception "slow answers").
  static double ease(const Engine& e) { return std::min(1.0, kPressure / std::max(e.slowdown, 0.1)); }

  bool under_bounds(const Held& h, const Engine& e) const {
    const double threads = cls(h).threads;
    const double by_mean = kMeanBound * pool_.threads / std::max(pool_.engines, 1.0);
    const double by_cores = kThreadsPerCore * e.cores * share_ * ease(e) - threads;
    return e.threads <= std::min(by_mean, std::max(by_cores, 0.0)) + 1e-9;
  }

  // Memory is checked likewise (DESIGN leaves it open): queries wait here in order of worth, not in the
  // engine.
  bool memory_allows(const Held& h, const Engine& e) {
    if (!counts_memory() || e.memory_mb <= 0 || e.granted_mb <= 0) return true;
    return e.granted_mb + grant_for(h, e) <= e.memory_mb * share_ * ease(e) * e.room;
  }

  // Guards against parts of an engine that are below one query: each lets one through, and all gateways
  // together any number. The bounds hold for the sum over all engines too, but for short queries, which free
  // them soon.
  bool pool_allows(const Held& h) {
    if (share_ <= 0) return false;  // without a lease, and nothing set aside for that
    if (h.cost <= mean_work_ || pool_.threads <= 0) return true;
    const double most = kThreadsPerCore * pool_.cores * share_;
    if (pool_.slowdown > kPressure && pool_.threads + cls(h).threads > most) return false;
    return !counts_memory() || pool_.granted_mb + wanted_mb(h) <= pool_.memory_mb * share_;
  }

  // The first engine of the group's order whose turn it is, else the one nearest to its turn.
  Engine* route(const Held& h, TimeUs now) {
    Engine* best = nullptr;
    int best_rank = 0;
    if (!pool_allows(h)) return nullptr;
    for (Engine* e : walk_order(h.q.table_group, cls(h).load)) {
      // Guards against running out of CPU at full size: the cheap test of a pressed engine goes first.
      const bool pressed = e->slowdown > kPressure || now - e->last_full < kFullMemory;
      if (pressed && !under_bounds(h, *e)) continue;
      const bool tried = std::any_of(h.attempts.begin(), h.attempts.end(),
                                     [&](const Attempt& a) { return a.to.id == e->entry.id; });
      const int rank = out_of_turn(h, *e) + (tried ? kTriedRank : 0);
      if (best && rank >= best_rank) continue;
      if (stalled_for(h, *e, now) || !healthy(*e, h, now)) continue;
      if (!may_send(h, *e, now) || !memory_allows(h, *e)) continue;
      const bool open = h.q.tenant.empty() || budget(*e, h.q.tenant) > 0;
      if (!open && !under_bounds(h, *e)) continue;
      best = e;
      best_rank = rank;
      if (rank == 0) break;
    }
    return best;
  }

  // --- Admission and holding ------------------------------------------------------------------------------
  void hold(Held& h) { h.waiting = true, line_.insert({-h.density, h.seq, h.q.id}); }
  void unhold(Held& h) { h.waiting = false, line_.erase({-h.density, h.seq, h.q.id}); }

  double ideal(const Held& h) const { return h.cost / cls(h).threads; }

  // A held query is worth starting until its aim can't be met, or its time ends if it can't be refused.
  TimeUs give_up_at(const Held& h) const {
    TimeUs last = h.deadline - kAnswerMargin;
    if (h.q.limits && h.attempts.empty()) last = h.q.limits->hold_until(last);
    if (!may_refuse(h)) return last;
    const double aim = static_cast<double>(cls(h).aim) + cls(h).aim_stretch * ideal(h);
    return std::min(last, h.arrived + static_cast<TimeUs>(std::max(aim - 1.5 * ideal(h), aim * 0.3)));
  }

  void expire(TimeUs now, ActionSink& sink) {
    std::vector<QueryId> due;
    for (const auto& [density, seq, id] : line_)
      if (give_up_at(queries_.at(id)) <= now) due.push_back(id);
    for (const QueryId id : due) {
      Held& h = queries_.at(id);
      if (h.in_flight() > 0) {  // only the second copy is given up
        unhold(h);
        continue;
      }
      answer(now, h, sink);
      forget_if_over(id);
    }
  }

  // Places held queries, those with most worth per CPU second first.
  // Guards against running out of CPU at full size: a new query frees nothing, so at its arrival those that
  // found no place since the last other event are not walked through the fleet again.
  void pump(TimeUs now, ActionSink& sink, bool freed = true) {
    size_t tried = 0;
    epoch_ += freed;
    for (auto it = line_.begin(); it != line_.end() && tried++ < kScanMost;) {
      Held& h = queries_.at(std::get<2>(*it++));
      if (h.tried == epoch_) continue;
      if (Engine* e = route(h, now))
        send(now, h, *e, sink);
      else
        h.tried = epoch_;
    }
  }

  // --- The guard: every send passes here; rules 2 to 7 ---------------------------------------------------
  bool may_send(const Held& h, const Engine& e, TimeUs now) {
    const ClassSettings& c = cls(h);
    if (h.ended || now >= h.deadline) return false;
    if (!attempts_left(s_.limits, h.made())) return false;
    const int begun = static_cast<int>(h.attempts.size());
    if (h.q.limits && !h.q.limits->may_send(now, begun, h.in_flight())) return false;
    return e.listed  // rule 3: from the moment a drain is told, well inside the grace
           && effect_allows(h, c, e, now) && placement_allows(c, e) && ration_allows(h, now) &&
           cold_allows(h, e, now);
  }

  bool effect_allows(const Held& h, const ClassSettings& c, const Engine& e, TimeUs now) const {  // rule 2
    if (!s_.limits.second_copies && h.in_flight() > 0) return false;
    return std::all_of(h.attempts.begin(), h.attempts.end(), [&](const Attempt& a) {
      return repeat_denied(c, as_earlier(a), e.entry, now) == Denial::kNone;
    });
  }

  static bool placement_allows(const ClassSettings& c, const Engine& e) {  // rule 6
    const auto has = [](const auto& list, const std::string& x) {
      return !list || std::find(list->begin(), list->end(), x) != list->end();
    };
    return has(c.zones, e.entry.zone) && has(c.kinds, e.entry.kind);
  }

  bool ration_allows(const Held& h, TimeUs now) {  // rule 7
    if (h.attempts.empty() || !s_.rules.attempts_rationed) return true;
    while (!taken_.empty() && taken_.front() <= now - s_.rules.extra_window) taken_.pop_front();
    while (!extras_.empty() && extras_.front() < now - s_.rules.extra_window) extras_.pop_front();
    const double made = static_cast<double>(extras_.size()) + 1;
    if (fleet_ && fleet_->further_attempts >= 0 && made > fleet_->further_attempts) return false;
    return made <= s_.rules.extra_free + s_.rules.extra_share * static_cast<double>(taken_.size());
  }

  // Rule 7 spares engines work: an attempt that was never sent made none.
  void give_back_ration(const Attempt& a) {
    if (s_.limits.unsent_attempts_count || !as_earlier(a).unsent) return;
    const auto place = std::find(extras_.begin(), extras_.end(), a.sent_at);
    if (place != extras_.end()) extras_.erase(place);
  }

  bool cold(const Engine& e, TimeUs now) const {
    return s_.rules.fall_multiple > 0 && e.entry.started_at > 0 &&
           now - e.entry.started_at < s_.rules.cold_for;
  }

  // Rule 4: all gateways together; each keeps to an even part of the allowance, in any window. Where that is
  // below the query's charge, the part is dealt whole by turn; the gateway whose turn it is sends one query.
  // Turns are counted from the engine's start: gateways share no clock.
  bool cold_allows(const Held& h, const Engine& e, TimeUs now) const {
    if (!cold(e, now)) return true;
    const TimeUs window = s_.rules.fall_window;
    double recent = 0;
    for (const auto& [at, work] : e.sent)
      if (at > now - window) recent += work;
    const double warm =
        static_cast<double>(now - e.entry.started_at) / static_cast<double>(s_.rules.cold_for);
    const double capacity = e.cores * (s_.rules.cold_from + (1 - s_.rules.cold_from) * std::max(warm, 0.0));
    const double all = kColdShare * s_.rules.fall_multiple * capacity * static_cast<double>(window);
    const double gateways = fleet_ ? fleet_->live : s_.gateways;
    if (recent + h.cost <= all * (fleet_ ? fleet_->cold : 1.0 / s_.gateways)) return true;
    if (gateways == 0) return false;  // without a lease no turn is this gateway's
    if (h.cost > kColdOne * all || (!e.sent.empty() && e.sent.back().first > now - 2 * window)) return false;
    const TimeUs age = std::max<TimeUs>(now - e.entry.started_at, 0);
    return turn_at(e, static_cast<std::uint64_t>(age / (2 * window))) * h.cost * gateways <= all;
  }

  // --- Attempts and answers -------------------------------------------------------------------------------
  void send(TimeUs now, Held& h, Engine& e, ActionSink& sink) {
    if (!may_send(h, e, now)) return;
    unhold(h);
    const ClassSettings& c = cls(h);
    if (!h.attempts.empty() && s_.rules.attempts_rationed) extras_.push_back(now);
    Attempt a;
    a.to = e.entry;
    a.sent_at = now;
    a.stalls = stalls_;
    a.charge = h.cost;
    a.grant_mb = grant_for(h, e);
    const int priority = s_.priorities ? priority_for(h) : 1;
    const double grant = s_.grants ? std::floor(a.grant_mb) : 0;  // else only counted here
    if (grant > 0 || priority != 1) sink.set_terms(h.q.id, priority, grant);
    if (!h.q.tenant.empty()) budget(e, h.q.tenant) -= a.charge;
    e.threads += c.threads;
    e.granted_mb += a.grant_mb;
    pool_.threads += c.threads;
    pool_.granted_mb += a.grant_mb;
    if (c.load) ++e.loads[h.q.table_group];
    if (cold(e, now)) {
      while (!e.sent.empty() && e.sent.front().first < now - 2 * s_.rules.fall_window) e.sent.pop_front();
      e.sent.emplace_back(now, h.cost);
    }
    if (e.out.empty()) e.last_sign = std::max(e.last_sign, now - stalls_);
    e.out.insert({h.q.id, static_cast<int>(h.attempts.size())});
    if (e.suspect) suspect(e, now);
    h.attempts.push_back(std::move(a));
    sink.send(h.q.id, e.entry.id, h.q.limits ? h.q.limits->stop_at(now, h.deadline) : h.deadline);
  }

  // Short cores and disks go first to what earns most for them.
  int priority_for(const Held& h) const {
    if (cls(h).load) return 2;  // the sooner it ends, the less it stalls
    const double r = h.density * mean_work_ / std::max(mean_value_ * 1e6, 1e-9);
    return r >= 2 ? 3 : r >= 0.7 ? 2 : r >= 0.25 ? 1 : 0;
  }

  // After an outcome that did not end the query: try again where the rules allow it, else answer now.
  void next_step(TimeUs now, Held& h, ActionSink& sink) {
    if (h.waiting || h.in_flight() > 0) return;
    const bool tries_left = attempts_left(s_.limits, h.made());
    const bool may_repeat = std::any_of(engines_.begin(), engines_.end(), [&](const auto& p) {
      return effect_allows(h, cls(h), p.second, now) && placement_allows(cls(h), p.second);
    });
    const QueryLimits* const own = h.q.limits.get();
    const TimeUs next = own ? std::max(own->next_send_at(), now) : now;
    const bool may_follow =
        !own || own->may_follow(now, h.attempts.back().outcome, static_cast<int>(h.attempts.size()));
    if (!tries_left || !may_repeat || !may_follow || next >= give_up_at(h)) return answer(now, h, sink);
    hold(h);
    sink.set_timer(give_up_at(h) - now, kTokenWake);
  }

  bool may_refuse(const Held& h) const {
    return std::all_of(h.attempts.begin(), h.attempts.end(), [&](const Attempt& a) {
      return refusal_denied(cls(h), as_earlier(a)) == Denial::kNone;
    });
  }

  // Rule 1: the one place that gives a final answer, at once when the module has given up.
  void answer(TimeUs now, Held& h, ActionSink& sink) {
    if (h.ended) return;
    const bool refuse = may_refuse(h);
    end(h);
    cancel_open(h, sink);
    if (!refuse) return sink.fail(h.q.id);
    const TimeUs to_reset = std::max<TimeUs>(reset_at_ + kWindow - now, 0);
    sink.refuse(h.q.id, s_.limits.retry_after ? std::min(to_reset, s_.limits.max_retry_after) : 0);
  }

  void end(Held& h) {
    h.ended = true;
    if (h.waiting) unhold(h);
  }

  void cancel_open(Held& h, ActionSink& sink) {
    for (size_t i = 0; i < h.attempts.size(); ++i)
      if (h.attempts[i].open && s_.limits.cancel) sink.cancel(h.q.id, static_cast<int>(i));
  }

  void forget_if_over(QueryId id) {
    const auto it = queries_.find(id);
    if (it == queries_.end() || !it->second.ended || it->second.in_flight() > 0) return;
    queries_.erase(it);
  }

  // A wait for memory means that others fill the engine (work that outlives its time-out, a neighbour over
  // its part): this gateway's part shrinks with each such sign and grows back by the tick.
  void crowd(Engine& e, TimeUs now) {
    if (now - e.last_full <= kFullMemory / 2) return;
    e.room = std::max(kCrowdLeast, e.room * kCrowdStep);
    e.last_full = now;
  }

  // --- Engine health --------------------------------------------------------------------------------------
  // A suspect engine gets one trial query at a time: a fresh one of a class that is safe to repeat, or any
  // that has no other engine left.
  bool healthy(const Engine& e, const Held& h, TimeUs now) const {
    if (const auto at = e.closed.find(h.q.class_index); at != e.closed.end() && now < at->second)
      return false;
    if (!e.suspect) return true;
    if (now < e.next_trial) return false;
    return (cls(h).effect == Effect::kIdempotent && h.attempts.empty()) || none_unsuspected(h, now);
  }

  // Guards against queries that had their first try, or may not be repeated, waiting until they are refused
  // for engines that nobody tries: without fresh safe queries all suspects stayed shut.
  bool none_unsuspected(const Held& h, TimeUs now) const {
    return std::none_of(engines_.begin(), engines_.end(), [&](const auto& p) {
      const Engine& e = p.second;
      return e.listed && !e.suspect && placement_allows(cls(h), e) && effect_allows(h, cls(h), e, now);
    });
  }

  static void clear_suspicion(Engine& e) { e.suspect = false, e.errors = 0; }

  // Guards against a fleet that lost sight of an engine at one moment and tries it again at one moment: each
  // gateway's trials keep to a place of their own.
  void suspect(Engine& e, TimeUs now) {
    const double place = 1 + kTrialSpread * turn_at(e, window_);
    e.suspect = true, e.next_trial = now + static_cast<TimeUs>(place * static_cast<double>(kTrial));
  }

  void judge(TimeUs now, const Attempt& a, const Outcome& o) {
    Engine& e = engines_.at(a.to.id);
    if (o.kind == OutcomeKind::kOk) {
      e.last_sign = now - stalls_;
      e.errors *= 1 - kEngineWeight;
      if (e.suspect && e.errors < kErrorShare) clear_suspicion(e);
    } else if (o.kind == OutcomeKind::kFull) {
      e.last_full = now;
      e.closed[queries_.at(o.query).q.class_index] = now + kFullMemory;
    } else if (o.kind == OutcomeKind::kError) {
      e.last_sign = now - stalls_;
      e.errors += kEngineWeight * (1 - e.errors);
      if (e.errors > kErrorShare) suspect(e, now);
    } else if (o.kind == OutcomeKind::kConnectFailed || o.kind == OutcomeKind::kReset) {
      suspect(e, now);
    }
  }

  // Guards against engines that answer nothing (each reset reopened them) and answers lost on the way: a
  // query whose notes stay away or, without notes, that takes several times what its class does goes
  // elsewhere; its engine is silent if nothing came back since. Late while notes come: the engine is slow.
  void watch_silence(TimeUs now, ActionSink& sink) {
    for (auto& [id, e] : engines_) {
      for (const auto& [query, n] : e.out) {
        Held& h = queries_.at(query);
        Attempt& a = h.attempts[static_cast<size_t>(n)];
        const int sent = static_cast<int>(h.attempts.size());
        if (!h.ended && !h.waiting && h.q.limits && h.q.limits->copy_due(now, a.sent_at, sent)) hold(h);
        if (a.given_up) continue;  // counted once: an old silence must not put off the next trial for ever
        const bool notes = s_.progress_interval > 0;
        const TimeUs awake = now - stalls_, begun = a.sent_at - a.stalls;
        const bool quiet = awake - std::max(begun, e.last_sign) > kNotesMissed * s_.progress_interval;
        const double part = notes ? kSilenceFloor : kSilencePart * static_cast<double>(cls(h).aim);
        const double wait = std::max(kOverdue * learned(h).slow * ideal(h), std::min(kSilenceFloor, part));
        const bool late = static_cast<double>(awake - begun) > wait;
        const bool news = late && !a.late && !cls(h).load && !stalled_for(h, e, now);
        // Guards against waiting behind a load that nobody tells of, at an engine that answers others.
        const bool held = news && !notes && cls(h).waits_for_loads && e.last_sign > begun;
        if (held) e.stalled[h.q.table_group] = now + load_length();
        if (news) learn_slowdown(e, held ? kOverdue : kSlowMost);
        a.late = a.late || late;
        if (notes ? !quiet : !late) continue;
        rescue(now, h, n, sink);
        if (notes ? quiet : e.last_sign <= begun) suspect(e, now);
      }
    }
  }

  // What a load takes now, from its send to its answer.
  TimeUs load_length() const {
    double longest = 0;
    for (size_t c = 0; c < learned_.size(); ++c)
      if (const Learned& l = learned_[c]; s_.classes[c].load)
        longest = std::max(longest, l.mean * l.slow / s_.classes[c].threads);
    return static_cast<TimeUs>(longest);
  }

  // Guards against a bad plan (drawn anew for each attempt): the pace that notes tell would take several
  // times what the class takes now. Once a query, where it is safe to repeat and a new attempt is in time.
  bool runaway(const Held& h, const Attempt& a, double done, TimeUs now) {
    const double took = static_cast<double>(now - a.sent_at - (stalls_ - a.stalls));
    const double expected = learned(h).slow * ideal(h);
    return s_.limits.cancel && cls(h).effect == Effect::kIdempotent && !h.redrawn && !a.given_up &&
           took / std::max(done, 0.01) > kRunaway * expected && now < give_up_at(h);
  }

  // A query stuck on a silent engine goes elsewhere, as a second copy or after a cancel.
  void rescue(TimeUs now, Held& h, int n, ActionSink& sink) {
    h.attempts[static_cast<size_t>(n)].given_up = true;
    if (h.ended || cls(h).effect == Effect::kAtMostOnce) return;
    if (s_.limits.cancel) return sink.cancel(h.q.id, n);
    if (s_.limits.second_copies && !h.waiting && now < give_up_at(h)) hold(h);
  }

  Settings s_;
  bool started_ = false;
  TimeUs started_at_ = 0, reset_at_ = 0, ask_again_ = 0;
  TimeUs tick_due_ = 0, stalls_ = 0;  // the next tick; how late ticks were in all: this gateway's own stalls
  double share_, quota_ = 0;
  std::optional<FleetShare> fleet_;  // what a fleet leaves this gateway; none: no fleet
  std::uint64_t seq_ = 0, window_ = 0, epoch_ = 1;
  Pool pool_;
  std::map<std::pair<std::int64_t, bool>, std::vector<Engine*>> orders_;  // by group, loads apart
  double mean_value_ = 0, mean_work_ = 0;                                 // of a query: worth, us of CPU
  std::map<EngineId, Engine> engines_;
  std::map<QueryId, Held> queries_;
  std::set<std::tuple<double, std::uint64_t, QueryId>> line_;
  std::vector<Learned> learned_;
  std::deque<TimeUs> arrivals_, taken_, extras_;
};

}  // namespace

std::unique_ptr<DecisionModule> make_workload_budget(const Settings& settings, std::uint64_t /*seed*/) {
  return std::make_unique<WorkloadBudget>(settings);
}

}  // namespace orchidgw
