// What happens to a controller, in neutral terms. Adapters make these; the reducer alone acts on them.
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
using RequestTag = std::int32_t;  // the client's own number of a request on its connection
using CallId = std::uint64_t;     // one call to an engine
using AttemptId = std::uint64_t;  // one attempt of a query at an engine: all its calls

// What a client asks for; the adapter has checked its form.
struct ClientRequest {
  std::string class_name;
  std::string reference;  // the client's id of the query, passed on unchanged
  std::string tenant;
  std::string idempotency_key;  // empty: none
  std::string statement;
  TimeUs time_budget = 0;
  TimeUs cost_estimate = 0;
  double memory_mb = 0;
  bool repeat = false;
};

struct EnginesChanged {
  ListKind kind = ListKind::kDelta;
  std::vector<EngineListing> engines;
};

struct RequestArrived {
  ClientId client = 0;
  RequestTag tag = 0;
  std::optional<ClientRequest> request;  // none: it can't be used
  std::string why;                       // then: what is wrong with it
  Reason refuse_as = Reason::kNone;      // its connection takes no new query: it is refused at once
};

struct RequestAborted {
  ClientId client = 0;
  RequestTag tag = 0;
};

struct ClientClosed {
  ClientId client = 0;
};

enum class CallKind { kStart, kNews, kPage, kPriority, kGiveUp };

// How an engine answered a call.
struct CallAnswer {
  enum class Kind { kServed, kPage, kNotYet, kFull, kOver, kError, kDone };
  Kind kind = Kind::kError;
  PayloadPtr rows;  // of kServed (page 0) and kPage
  int pages = 0;    // of kServed: all pages
  int page = 0;     // of kPage: its number
  std::optional<TimeUs> told_cost;
  std::optional<double> told_memory_mb;
};

struct CallAnswered {
  CallId call = 0;
  CallAnswer answer;
};

struct CallEnded {
  CallId call = 0;
  ConnectionEnd end = ConnectionEnd::kClosedUnanswered;
};

struct TimePassed {};  // timers that are due fire

// A file's limits and levels are in force from now on.
struct LimitsChanged {
  std::shared_ptr<const limits::LimitSet> set;
  std::shared_ptr<const service_level::LevelFile> levels = nullptr;  // null: none
};

// An operator set a level by hand, until then.
struct LevelSet {
  std::string level;
  TimeUs until = 0;
};

// A planned shutdown has begun: every request has its final answer by then.
struct ShutdownBegun {
  TimeUs answer_by = 0;
};

// What a fleet leaves this controller, from now on.
struct FleetShared {
  FleetShare module;
  limits::FleetLimits limits;
};

using Event = std::variant<EnginesChanged, CallAnswered, CallEnded, RequestAborted, ClientClosed, TimePassed,
                           LimitsChanged, LevelSet, FleetShared, ShutdownBegun, RequestArrived>;

}  // namespace orchidgw::core
