// State machine of a controller: it owns the queries, attempts, engine list and timers, but no sockets. It
// takes one event at a time and returns the side effects that the adapters are to carry out. The decision
// module chooses what to send, refuse, cancel or fail; the engines' protocol determines the steps of an
// attempt.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/client_shares.h"
#include "core/effects.h"
#include "core/events.h"
#include "core/key_history.h"
#include "core/keys.h"
#include "core/reference_history.h"
#include "core/timer_queue.h"
#include "decision/decision.h"
#include "decision/permission.h"
#include "limits/limiter.h"
#include "metrics/counters.h"
#include "service_level/service_level.h"

namespace orchidgw::core {

// Bounds of the engines' and the clients' protocols. Times are in microseconds.
struct ProtocolBounds {
  TimeUs poll_hold = 250'000;           // an engine delays the answer to a start or a poll at most this long
  TimeUs engine_retention = 2'000'000;  // an engine drops a query that was not polled for this long
  TimeUs answer_grace = 100'000;        // a call without an answer this long after its hold counts as silent
  // A query without a final answer this long past its time budget is failed.
  TimeUs final_answer_grace = 20'000;
  int max_failed_calls = 8;  // so many failed calls in a row are retried; one more gives the attempt up
  std::size_t max_result_bytes = 48'000;  // all pages of one result together
  std::size_t max_open_requests_per_client = 32;
  std::size_t max_open_queries = 1'000'000;      // of all clients; see ClientShares
  std::size_t max_remembered_references = 8192;  // of queries that must not run twice; see ClientShares
  std::size_t max_remembered_keys = 4096;        // of open and of recent requests; see ClientShares
};

class Reducer final : private ActionSink {
 public:
  Reducer(const Settings& settings, std::uint64_t seed, metrics::Counters& counters,
          ProtocolBounds bounds = {});

  // Switches debug-level log lines about each query and attempt on or off; off by default.
  void set_trace(bool on) { trace_enabled_ = on; }

  // Looks up whether a query that must not run twice may be accepted; called before each such query is
  // accepted. Without a lookup no such check is made, and starts carry no identity to be stored or held.
  using KeyLookup = std::function<KeyStatus(const std::string& identity)>;
  void set_key_lookup(KeyLookup lookup) { key_lookup_ = std::move(lookup); }

  // Processes one event. The caller carries out the returned effects in their order. `now` is in
  // microseconds; a time before that of an earlier event counts as the earlier one's.
  std::vector<SideEffect> apply(TimeUs now, Event event);

  // Why the first byte of the start `call` may not be sent now; kNone if it may. A denial is counted.
  Denial start_denied(TimeUs now, CallId call);

  // When the next TimePassed event is due; none if no timer is set.
  std::optional<TimeUs> next_due() const;
  const limits::Limiter& limiter() const { return limiter_; }
  const service_level::ServiceLevel& levels() const { return levels_; }
  // Share of the buffer pool in use, 0 to 1: a signal for the service levels.
  void set_buffers_used(double share) { buffers_used_ = share; }
  // Whether the engine list has been received; until then valid requests are failed as "not ready".
  bool ready() const { return engine_list_known_; }
  // Number of requests without a final answer; a query may outlive its request.
  std::size_t open_requests() const { return open_requests_.size(); }
  std::size_t open_requests_of(ClientId client) const;
  std::size_t statement_bytes() const { return statement_bytes_; }  // total size of all queries' statements
  // Numbers of queries, of calls that have not ended, and of listed engines.
  std::size_t queries() const { return queries_.size(); }
  std::size_t calls() const { return calls_.size(); }
  std::size_t engines() const { return engines_.size(); }
  std::size_t remembered_keys() const { return key_history_.size(); }
  double cores() const;  // CPU cores of all engines in service

 private:
  // kPaging: the query has succeeded and its result pages are fetched. kGivingUp: the engine is being told to
  // stop, or has yet to drop the query. kConcluded: the engine has nothing left of the attempt.
  enum class Phase { kRunning, kPaging, kGivingUp, kConcluded };

  struct AttemptState {
    EngineId engine;
    std::string zone;  // the engine's, as is the cell
    int cell = 0;
    Address address;
    TimeUs sent_at = 0;
    TimeUs stop_at = 0;  // the attempt is given up then
    Phase phase = Phase::kRunning;
    CallId open_call = 0;                   // 0: none; priority changes don't count
    CallKind call_kind = CallKind::kStart;  // of the open call, or of the last one
    bool may_have_started = false;          // the engine may have the query
    bool outcome_reported = false;          // the module has its outcome, or will get it after this event
    AttemptId adapter_id = 0;               // the adapters' id of the attempt; 0: it was never sent
    TimeUs last_answer_at = 0;  // when the last complete answer came; before that, when it was sent
    int failed_calls = 0;       // in a row
    int page_count = 0;         // of the result, once it is known
    std::vector<PayloadPtr> result_pages;  // those received so far, in order
    std::optional<TimeUs> reported_cost;   // as the engine reported them
    std::optional<double> reported_memory_mb;
    OutcomeKind give_up_outcome = OutcomeKind::kCancelled;  // reported once giving up is done
    bool may_have_run = true;                               // valid once the attempt is over
    bool unsent = false;  // valid once the attempt is over: no byte of it was sent
  };

  struct QueryState {
    QueryId id = 0;
    ClientId client = 0;
    RequestTag tag = 0;
    ClientRequest request;
    TimeUs accepted_at = 0;
    TimeUs deadline = 0;
    int class_index = 0;  // in Settings::classes
    std::int64_t table_group = 0;
    bool admitted = false;  // passed to the module; false: it still waits under its limits
    int priority = 1;
    double grant_mb = 0;
    bool ended = false;                 // answered, or no answer is owed any more
    bool in_reference_history = false;  // reference_history_.open() was called for it
    std::vector<AttemptState> attempts;
    std::shared_ptr<KeyStarts> key_starts;  // of its idempotency key; null: repeats need not be recognised
  };

  struct CallOwner {
    QueryId query = 0;
    std::size_t attempt_index = 0;
    CallKind kind = CallKind::kPoll;
  };

  enum class TimerKind { kModule, kAttemptStop, kEngineRetention, kLevelSample, kOverdue, kShutDown };
  struct Timer {
    TimerKind kind = TimerKind::kModule;
    std::uint64_t token = 0;        // only of kModule
    QueryId query = 0;              // not of kModule and kLevelSample
    std::size_t attempt_index = 0;  // only of kAttemptStop and kEngineRetention
  };

  // An outcome that the module has yet to get.
  struct PendingOutcome {
    QueryId query = 0;
    std::size_t attempt_index = 0;
    OutcomeKind kind = OutcomeKind::kNotSent;
  };

  using RequestKey = std::pair<ClientId, RequestTag>;
  using OpenRequestMap = std::map<RequestKey, QueryId>;
  using OpenRequestRange = std::pair<OpenRequestMap::const_iterator, OpenRequestMap::const_iterator>;

  void on(EnginesChanged& event);
  void on(RequestArrived& event);
  void on(RequestAborted& event);
  void on(ClientClosed& event);
  void on(CallAnswered& event);
  void on(CallEnded& event);
  void on(TimePassed& event);
  void on(LimitsChanged& event);
  void on(LevelOverridden& event);
  void on(FleetShareChanged& event);
  void on(ShutdownBegun& event);

  // Why a request of that class can't be accepted; empty if it can.
  std::string validation_error(const ClientRequest& request, const ClassSettings& query_class);
  void accept_request(RequestArrived& event, int class_index);
  // False: the request has its answer, as no further reference can be remembered.
  bool passes_reference_history(QueryId id);
  void close_reference(const QueryState& query);
  void fail_discarded(const RequestArrived& event);
  void apply_verdict(QueryId id, const limits::Verdict& verdict);
  void pass_to_module(QueryId id);
  // False: the request has its answer, as an earlier try may have run and it is too late to repeat it, or as
  // no further key can be remembered.
  bool passes_key_history(QueryId id);
  std::optional<EarlierAttempt> earlier_try_of(const QueryState& query) const;
  // Refuses the request, which tells the client that a retry is harmless. Where its own attempts do not allow
  // that, records a violation and fails the request instead; where an earlier try under its key does not
  // allow it, fails the request. Does nothing for a request that has its answer.
  void refuse_request(QueryId id, Reason reason, TimeUs retry_after);
  const ClassSettings& class_of(const QueryState& query) const {
    return settings_.classes[static_cast<std::size_t>(query.class_index)];
  }
  // The longest retry_after that a refusal may carry; 0: refusals carry none.
  TimeUs longest_retry_after() const {
    return settings_.limits.retry_after ? settings_.limits.max_retry_after : 0;
  }
  // Returns false if the query may have run before or its intent can't be stored; it has its answer then.
  bool passes_key_check(QueryId id);
  // The key under which a query that must not run twice is recorded; empty if it may run twice.
  std::string identity_of(const QueryState& query) const;
  void handle_blocked_start(QueryId id, std::size_t attempt_index, ConnectionEnd end);
  void release_key(QueryId id, const QueryState& query);
  // Fails the request with `why` as the text for the client. Does nothing for a request that has its answer.
  void fail_request(QueryId id, const std::string& why);
  void release_waiting_queries();
  service_level::ShedCandidate to_shed_query(const QueryState& query) const;
  // Samples the service levels' signals and applies level changes; `due`: when the sample was due.
  void sample_signals(TimeUs due);
  void shed(QueryId id);
  void shed_unsent_queries();
  void update_level_engines();
  void record_answer(const QueryState& query, bool late);
  void abandon_request(const RequestKey& key);
  std::vector<EngineId> remove_replaced_engines(const std::vector<EngineListing>& listings);
  void withdraw_from_leaving_engines();
  // Withdraws the attempt's start if that call is open; a start whose first byte was sent goes on.
  void withdraw_unsent_start(const AttemptState& attempt);

  // Steps of an attempt.
  void handle_answer(QueryId id, std::size_t attempt_index, CallAnswer& answer);
  void handle_result(QueryId id, std::size_t attempt_index, CallAnswer& answer);
  void handle_page(QueryId id, std::size_t attempt_index, CallAnswer& answer);
  // Fetches the next result page, or concludes the attempt if it was the last one or the result is too large.
  void continue_paging(QueryId id, std::size_t attempt_index);
  void handle_failed_call(QueryId id, std::size_t attempt_index, ConnectionEnd end);
  void retry_call(QueryId id, std::size_t attempt_index, CallKind kind, OutcomeKind fallback_outcome);
  void give_up(QueryId id, std::size_t attempt_index, OutcomeKind as);
  void handle_dropped_call_end(QueryId id, std::size_t attempt_index, ConnectionEnd end);
  void handle_failed_cancel(QueryId id, std::size_t attempt_index, ConnectionEnd end);
  void handle_stop_timer(QueryId id, std::size_t attempt_index);
  // Concludes an attempt that is being given up: by now its engine has dropped the query by itself.
  void handle_retention_timer(QueryId id, std::size_t attempt_index);
  void fail_overdue(QueryId id);
  void answer_for_shutdown(QueryId id);
  void set_final_answer_timer(QueryId id, TimeUs due);
  Denial start_denied(const QueryState& query, std::size_t attempt_index, TimeUs now) const;
  bool attempts_allow_refusal(const QueryState& query) const;
  bool earlier_try_allows_refusal(const QueryState& query) const;
  bool may_refuse(const QueryState& query) const {
    return attempts_allow_refusal(query) && earlier_try_allows_refusal(query);
  }
  static EarlierAttempt to_earlier_attempt(const AttemptState& attempt);
  // Counts and logs an action that was asked for but is not allowed: a fault of the program.
  void record_violation(Denial denial, const QueryState& query);
  void send_call(QueryId id, std::size_t attempt_index, CallKind kind);
  std::optional<CallOwner> release_call(CallId call);

  // An attempt's end and its outcome for the module.
  void queue_outcome(QueryId id, std::size_t attempt_index, OutcomeKind kind);  // once for each attempt
  void conclude(QueryId id, std::size_t attempt_index, OutcomeKind kind);
  void deliver_outcome(const PendingOutcome& pending);
  void deliver_pending_outcomes();
  void erase_finished_queries();
  void end_request(QueryState& query);

  // ActionSink: what the module asks for.
  void send(QueryId query, const EngineId& engine, TimeUs stop_at) override;
  void refuse(QueryId query, TimeUs retry_after) override;
  void fail(QueryId query) override;
  void cancel(QueryId query, int attempt) override;
  void set_priority_and_grant(QueryId query, int priority, double grant_mb) override;
  void probe(const EngineId& engine) override;
  void subscribe() override;
  void fetch_list() override;
  void broadcast_to_peers(const std::string& bytes) override;
  void set_timer(TimeUs delay, std::uint64_t token) override;
  void log(const std::string& text) override;

  void schedule_timer(TimerKind kind, TimeUs due, QueryId id, std::size_t attempt_index);
  OpenRequestRange open_request_range(ClientId client) const;  // the client's open requests
  QueryState* find_query(QueryId id);                          // null if it is not known (any more)
  AttemptState& attempt_at(QueryId id, std::size_t attempt_index);
  QueryId new_query_id();
  void trace_accepted(const Query& module_query, const QueryState& query);
  void trace_sent(QueryId id, std::size_t attempt_index, const QueryState& query);
  void trace_ended(const Outcome& outcome, const QueryState& query);
  void trace_call_ended(const CallOwner& owner, ConnectionEnd end);
  void trace_answered(QueryId id, const char* how, const QueryState& query);
  void emit(SideEffect effect) { effects_.push_back(std::move(effect)); }

  Settings settings_;
  metrics::Counters& counters_;
  ProtocolBounds bounds_;
  std::unique_ptr<DecisionModule> module_;
  std::map<std::string, int> class_indexes_;  // by class name
  bool engine_list_known_ = false;
  bool trace_enabled_ = false;
  TimeUs now_ = 0;                   // of the event that is being processed
  std::vector<SideEffect> effects_;  // of that event so far
  KeyLookup key_lookup_;             // may be empty
  std::map<EngineId, EngineListing> engines_;
  std::unordered_map<QueryId, QueryState> queries_;
  OpenRequestMap open_requests_;  // requests that are owed an answer
  std::unordered_map<CallId, CallOwner> calls_;
  TimerQueue<Timer> timers_;
  std::deque<PendingOutcome> pending_outcomes_;
  std::vector<QueryId> queries_to_check_;  // erased after the event if they are finished
  // References of all queries, so that an engine never has two under the same one.
  std::unordered_set<std::string> references_;
  ClientShares query_shares_;  // of open requests
  ReferenceHistory reference_history_;
  KeyHistory key_history_;
  limits::Limiter limiter_;
  service_level::ServiceLevel levels_;
  double buffers_used_ = 0;
  // When all requests must have their answers, once a shutdown has begun.
  TimeUs shutdown_answer_by_ = std::numeric_limits<TimeUs>::max();
  bool sample_timer_set_ = false;
  std::size_t statement_bytes_ = 0;
  AttemptId last_attempt_ = 0;
  QueryId last_query_ = 0;
  CallId last_call_ = 0;
};

}  // namespace orchidgw::core
