// The side effects that the reducer asks its adapters for.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/events.h"
#include "log/log.h"

namespace orchidgw::core {

// Sends a call to an engine, of any kind. Exactly one CallAnswered or CallEnded follows each.
struct SendCall {
  CallId call = 0;
  AttemptId attempt = 0;  // connections are shared only by calls of one attempt
  CallKind kind = CallKind::kPoll;
  EngineId engine;
  Address address;
  std::string reference;
  int page = 0;            // with kPage
  int priority = 1;        // with kStart and kPriority
  std::string class_name;  // with kStart, like all fields below except answer_by
  std::string idempotency_key;
  std::string statement;
  // Set where this process records what must not run twice: the id of the query, its key (empty: it may run
  // twice), and how long that key is held once the query is sent.
  QueryId query = 0;
  std::string identity;
  TimeUs key_hold = 0;
  double grant_mb = 0;
  TimeUs stop_at = 0;    // the controller waits for the query's result until then
  TimeUs answer_by = 0;  // without a whole answer by then, the call ends as kSilent
};

// Abandons a call. It ends as dropped, unless its answer or its end is under way already.
struct DropCall {
  CallId call = 0;
};

// Withdraws a call that has not been sent. Has no effect once its first byte is on its way.
struct WithdrawCall {
  CallId call = 0;
};

struct AnswerServed {
  ClientId client = 0;
  RequestTag tag = 0;
  std::vector<PayloadPtr> pages;
};

struct AnswerRefused {
  ClientId client = 0;
  RequestTag tag = 0;
  TimeUs retry_after = 0;  // how long the client should wait before it tries again; 0: not told
};

struct AnswerFailed {
  ClientId client = 0;
  RequestTag tag = 0;
  std::string why;               // sent to the client; may be empty
  bool invalid_request = false;  // the request was invalid and never accepted
};

// A query is over and nothing of it ran: its key is released, so that the client may send it again.
struct ReleaseKey {
  QueryId query = 0;
  std::string identity;
};

// The request breaks the rules of its connection and is not accepted.
struct AnswerRejected {
  ClientId client = 0;
  RequestTag tag = 0;
  std::string why;  // sent to the client
};

// Closes the attempt's idle connection, if it has one: no further call of the attempt may use it.
struct CloseConnection {
  AttemptId attempt = 0;
};

struct LogText {
  log::Level level = log::Level::kInfo;
  std::string text;
};

using SideEffect = std::variant<SendCall, DropCall, WithdrawCall, AnswerServed, AnswerRefused, AnswerFailed,
                                AnswerRejected, CloseConnection, ReleaseKey, LogText>;

}  // namespace orchidgw::core
