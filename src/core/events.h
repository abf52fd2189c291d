// The events that reach a controller, independent of any protocol. Adapters create them; only the reducer
// acts on them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/reason.h"
#include "core/connection_end.h"
#include "core/engine_listing.h"
#include "core/payload.h"
#include "decision/decision.h"
#include "limits/fleet_share.h"
#include "limits/limit_set.h"
#include "service_level/level.h"

namespace orchidgw::core {

using ClientId = std::uint64_t;   // one client connection
using RequestTag = std::int32_t;  // the sequence number that a client gave a request on its connection
using CallId = std::uint64_t;     // one call to an engine
using AttemptId = std::uint64_t;  // one attempt to run a query on an engine, with all its calls

// A client's request; the adapter has checked its syntax.
struct ClientRequest {
  std::string class_name;
  std::string reference;  // the client's id of the query, passed to engines unchanged
  std::string tenant;
  std::string idempotency_key;  // empty: none
  std::string statement;
  TimeUs time_budget = 0;    // how long the client waits for the answer
  TimeUs cost_estimate = 0;  // estimated CPU time, summed over threads; 0: none
  double memory_mb = 0;      // estimate; 0: none
  bool is_retry = false;     // the client says that it has sent this query before
};

struct EnginesChanged {
  ListKind kind = ListKind::kDelta;
  std::vector<EngineListing> engines;
};

struct RequestArrived {
  ClientId client = 0;
  RequestTag tag = 0;
  std::optional<ClientRequest> request;  // nullopt: the request is invalid
  std::string why;                       // if so, what is wrong with it
  // Not kNone: refuse it at once, as its connection accepts no new query.
  Reason refusal_reason = Reason::kNone;
  // The earliest time at which it can have arrived; its client's time counts from then. 0: when the event is
  // processed.
  TimeUs arrived_at = 0;
  bool discarded = false;  // there is no request because it was not kept for want of memory
};

struct RequestAborted {
  ClientId client = 0;
  RequestTag tag = 0;
};

struct ClientClosed {
  ClientId client = 0;
};

// Start a query, ask for its state, fetch a page of its result, change its priority, or stop it.
enum class CallKind { kStart, kPoll, kPage, kPriority, kCancel };

// How an engine answered a call.
struct CallAnswer {
  // kServed: the query succeeded; its first page is here. kPage: the page that was asked for. kPending: the
  // query still runs. kFull: the engine had no room and did not start it. kExpired: its time was over before
  // the engine started it. kDone: a change of priority or a stop was received.
  enum class Kind { kServed, kPage, kPending, kFull, kExpired, kError, kDone };
  Kind kind = Kind::kError;
  PayloadPtr rows;                           // with kServed (page 0) and kPage
  int pages = 0;                             // with kServed: the number of pages of the result
  int page = 0;                              // with kPage: the page's number, from 0
  std::optional<TimeUs> reported_cost;       // CPU time that the query took, as the engine reported it
  std::optional<double> reported_memory_mb;  // memory that it needed, likewise
};

struct CallAnswered {
  CallId call = 0;
  CallAnswer answer;
};

// A call ended without an answer that can be used.
struct CallEnded {
  CallId call = 0;
  ConnectionEnd end = ConnectionEnd::kClosedUnanswered;
};

struct TimePassed {};  // fires the timers that are due

// The limits and service levels of an operator's file take effect.
struct LimitsChanged {
  std::shared_ptr<const limits::LimitSet> set;                       // null: the limits stay as they are
  std::shared_ptr<const service_level::LevelFile> levels = nullptr;  // null: no service levels
};

// An operator set a service level by hand.
struct LevelOverridden {
  std::string level;
  TimeUs until = 0;  // when the level is chosen automatically again
};

// A planned shutdown has begun.
struct ShutdownBegun {
  TimeUs answer_by = 0;  // every request has its final answer by then
};

// This controller's share of what its fleet divides, from now on.
struct FleetShareChanged {
  FleetShare module;
  limits::FleetLimits limits;
};

using Event = std::variant<EnginesChanged, CallAnswered, CallEnded, RequestAborted, ClientClosed, TimePassed,
                           LimitsChanged, LevelOverridden, FleetShareChanged, ShutdownBegun, RequestArrived>;

}  // namespace orchidgw::core
