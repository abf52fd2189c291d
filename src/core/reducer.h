// All state of a controller but its sockets: queries, attempts, engine list, timers. One event in, the
// effects that it asks for out. It decides nothing: what to send, refuse, cancel or fail comes from the
// module, and the course of an attempt from the engines' protocol.
#pragma once

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/effects.h"
#include "core/events.h"
#include "core/keys.h"
#include "core/timer_queue.h"
#include "decision/decision.h"
#include "decision/permission.h"
#include "limits/limiter.h"
#include "metrics/counters.h"
#include "service_level/service_level.h"

namespace orchidgw::core {

// What the protocol fixes.
struct ProtocolBounds {
  TimeUs news_hold = 250'000;     // an engine holds a question for news at most this long
  TimeUs forgotten = 2'000'000;   // an engine drops a query that is not asked for so long
  TimeUs answer_grace = 100'000;  // a call is silent when nothing came so long past its hold
  TimeUs overdue_after = 20'000;  // a query without its final answer so long past its time is failed
  int broken_most = 8;            // calls in a row that may break before an attempt is given up
  std::size_t result_bytes = 48'000;
  std::size_t open_per_client = 32;
};

class Reducer final : private ActionSink {
 public:
  Reducer(const Settings& settings, std::uint64_t seed, metrics::Counters& counters,
          ProtocolBounds bounds = {});

  // Tells of each query and attempt at debug level; off at the start.
  void set_trace(bool on) { trace_ = on; }

  // Asked of each query that must not run twice, before it is taken on; none: intents are not kept.
  using Keys = std::function<KeyVerdict(const std::string& identity)>;
  void set_keys(Keys keys) { keys_ = std::move(keys); }

  // Takes one event in; the effects come in the order in which they are to be done.
  std::vector<SideEffect> apply(TimeUs now, Event event);

  // Whether the first byte of that start may go out in this moment; counted if not.
  Denial start_denied(TimeUs now, CallId call);

  std::optional<TimeUs> next_due() const;
  const limits::Limiter& limiter() const { return limiter_; }
  const service_level::ServiceLevel& levels() const { return levels_; }
  void set_buffers_used(double share) { buffers_used_ = share; }  // as the levels' signals see it
  bool ready() const { return list_known_; }                      // the module can decide
  std::size_t open_requests() const { return open_.size(); }
  std::size_t open_requests_of(ClientId client) const;
  std::size_t held_bytes() const { return held_bytes_; }  // statements of all queries
  std::size_t queries() const { return queries_.size(); }
  std::size_t calls() const { return calls_.size(); }
  std::size_t engines() const { return engines_.size(); }
  double cores() const;  // of all engines in service

 private:
  enum class Phase { kRunning, kPaging, kGivingUp, kOver };

  struct AttemptState {
    EngineId engine;
    std::string zone;  // of the engine, as is the cell
    int cell = 0;
    Address address;
    TimeUs sent_at = 0;
    TimeUs stop_at = 0;
    Phase phase = Phase::kRunning;
    CallId call = 0;  // the one that is out; 0: none
    CallKind call_kind = CallKind::kStart;
    bool started = false;  // the engine may have the query
    bool told = false;     // the module knows its end
    AttemptId serial = 0;  // as the adapters know it; 0: it was never sent
    TimeUs heard_at = 0;   // its last whole answer, or its start
    int broken = 0;        // calls in a row that broke
    int pages = 0;         // of the result, once it is known
    std::vector<PayloadPtr> rows;
    std::optional<TimeUs> told_cost;
    std::optional<double> told_memory_mb;
    OutcomeKind given_up_as = OutcomeKind::kCancelled;
    bool ran = true;      // once it is over: whether it may have
    bool unsent = false;  // likewise: whether not a byte of it was sent
  };

  struct QueryState {
    ClientId client = 0;
    RequestTag tag = 0;
    ClientRequest request;
    TimeUs taken_at = 0;
    TimeUs deadline = 0;
    int class_index = 0;
    std::int64_t table_group = 0;
    bool let_in = false;  // the module has it; else it waits for its turn under its limits
    int priority = 1;
    double grant_mb = 0;
    bool ended = false;  // answered, or nothing is owed any more
    std::vector<AttemptState> attempts;
  };

  struct CallOwner {
    QueryId query = 0;
    std::size_t attempt = 0;
    CallKind kind = CallKind::kNews;
  };

  enum class TimerKind { kModule, kStop, kForgotten, kSample, kOverdue, kShutDown };
  struct Timer {
    TimerKind kind = TimerKind::kModule;
    std::uint64_t token = 0;  // of kModule
    QueryId query = 0;
    std::size_t attempt = 0;
  };

  struct PendingOutcome {
    QueryId query = 0;
    std::size_t attempt = 0;
    OutcomeKind kind = OutcomeKind::kMoot;
  };

  using OpenKey = std::pair<ClientId, RequestTag>;
  using OpenMap = std::map<OpenKey, QueryId>;
  using OpenRange = std::pair<OpenMap::const_iterator, OpenMap::const_iterator>;

  // Events.
  void on(EnginesChanged& event);
  void on(RequestArrived& event);
  void on(RequestAborted& event);
  void on(ClientClosed& event);
  void on(CallAnswered& event);
  void on(CallEnded& event);
  void on(TimePassed& event);
  void on(LimitsChanged& event);
  void on(LevelSet& event);
  void on(FleetShared& event);
  void on(ShutdownBegun& event);

  // What is wrong with a request of that class; empty: nothing.
  std::string fault_of(const ClientRequest& request, const ClassSettings& c) const;
  void take(RequestArrived& event, int class_index);
  void follow(QueryId id, const limits::Verdict& verdict);
  void let_in(QueryId id);
  void turn_away(QueryId id, Reason reason, TimeUs retry_after);
  const ClassSettings& class_of(const QueryState& query) const {
    return settings_.classes[static_cast<std::size_t>(query.class_index)];
  }
  // The longest time to come back that a refusal may tell; 0: none.
  TimeUs longest_advice() const {
    return settings_.limits.retry_after ? settings_.limits.max_retry_after : 0;
  }
  bool may_be_taken_on(QueryId id);
  std::string identity_of(const QueryState& query) const;  // empty: it may run twice
  void not_promised(QueryId id, std::size_t n, ConnectionEnd end);
  void free_key(QueryId id, const QueryState& query);
  void fail_because(QueryId id, const std::string& why);
  void release_those_due();
  service_level::ShedQuery as_shed_sees(const QueryState& query) const;
  void sample_signals(TimeUs due);
  void shed(QueryId id);
  void shed_those_held();
  void tell_levels_of_engines();
  void note_answered(const QueryState& query, bool late);
  void leave(const OpenKey& key);
  void withdraw_from_those_leaving();
  void withdraw_unsent(const AttemptState& attempt);

  // The course of an attempt.
  void answered(QueryId id, std::size_t n, CallAnswer& answer);
  void served(QueryId id, std::size_t n, CallAnswer& answer);
  void page_came(QueryId id, std::size_t n, CallAnswer& answer);
  void next_page(QueryId id, std::size_t n);
  void broke(QueryId id, std::size_t n, ConnectionEnd end);
  void ask_again(QueryId id, std::size_t n, CallKind kind, OutcomeKind else_as);
  void give_up(QueryId id, std::size_t n, OutcomeKind as);
  void stopped_asking(QueryId id, std::size_t n, ConnectionEnd end);
  void give_up_broke(QueryId id, std::size_t n, ConnectionEnd end);
  void stop_due(QueryId id, std::size_t n);
  void forgotten_due(QueryId id, std::size_t n);
  void overdue(QueryId id);
  void shut_down(QueryId id);
  void set_final_answer_timer(QueryId id, TimeUs due);
  Denial start_denied(const QueryState& query, std::size_t n, TimeUs now) const;
  bool may_refuse(const QueryState& query) const;
  static EarlierAttempt as_earlier(const AttemptState& attempt);
  void note_violation(Denial denial, const QueryState& query);
  void call(QueryId id, std::size_t n, CallKind kind);
  std::optional<CallOwner> release(CallId call);

  // An attempt's end, told to the module.
  void finish(QueryId id, std::size_t n, OutcomeKind kind);
  void conclude(QueryId id, std::size_t n, OutcomeKind kind);
  void deliver(const PendingOutcome& pending);
  void deliver_pending();
  void forget_what_is_over();
  void end(QueryState& query);

  // ActionSink: what the module asks for.
  void send(QueryId query, const EngineId& engine, TimeUs stop_at) override;
  void refuse(QueryId query, TimeUs retry_after) override;
  void fail(QueryId query) override;
  void cancel(QueryId query, int attempt) override;
  void set_terms(QueryId query, int priority, double grant_mb) override;
  void probe(const EngineId& engine) override;
  void subscribe() override;
  void fetch_list() override;
  void tell_all(const std::string& bytes) override;
  void set_timer(TimeUs delay, std::uint64_t token) override;
  void log(const std::string& text) override;

  void set_timer_for(TimerKind kind, TimeUs due, QueryId id, std::size_t n);
  OpenRange open_range(ClientId client) const;  // what the client is owed answers to
  QueryState* find_query(QueryId id);
  AttemptState& attempt_at(QueryId id, std::size_t n);
  QueryId new_query_id();
  void trace_taken(const Query& q, const QueryState& query);
  void trace_sent(QueryId id, std::size_t n, const QueryState& query);
  void trace_ended(const Outcome& outcome, const QueryState& query);
  void trace_call_ended(const CallOwner& owner, ConnectionEnd end);
  void trace_answered(QueryId id, const char* how, const QueryState& query);
  void emit(SideEffect effect) { effects_.push_back(std::move(effect)); }

  Settings settings_;
  metrics::Counters& counters_;
  ProtocolBounds bounds_;
  std::unique_ptr<DecisionModule> module_;
  std::map<std::string, int> classes_;
  bool list_known_ = false;
  bool trace_ = false;
  TimeUs now_ = 0;
  std::vector<SideEffect> effects_;
  Keys keys_;
  std::map<EngineId, EngineListing> engines_;
  std::unordered_map<QueryId, QueryState> queries_;
  OpenMap open_;  // requests that are owed an answer
  std::unordered_map<CallId, CallOwner> calls_;
  TimerQueue<Timer> timers_;
  std::deque<PendingOutcome> pending_;
  std::vector<QueryId> touched_;  // looked at once the event is done: what is over is forgotten
  // References of all queries that an engine may have, lest two share one there.
  std::unordered_set<std::string> references_;
  limits::Limiter limiter_;
  service_level::ServiceLevel levels_;
  double buffers_used_ = 0;
  TimeUs answer_by_ = std::numeric_limits<TimeUs>::max();  // of a shutdown that has begun
  bool sampling_ = false;                                  // the timer for the next sample is set
  std::size_t held_bytes_ = 0;
  AttemptId last_attempt_ = 0;
  QueryId last_query_ = 0;
  CallId last_call_ = 0;
};

}  // namespace orchidgw::core
