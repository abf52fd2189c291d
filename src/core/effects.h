// What the reducer asks of its adapters.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/events.h"
#include "log/log.h"

namespace orchidgw::core {

// Call the engine. Every such call is followed by exactly one CallAnswered or CallEnded.
struct StartCall {
  CallId call = 0;
  AttemptId attempt = 0;  // whose calls alone share a connection
  CallKind kind = CallKind::kNews;
  EngineId engine;
  Address address;
  std::string reference;
  int page = 0;            // of kPage
  int priority = 1;        // of kStart and kPriority
  std::string class_name;  // of kStart, as are those below
  std::string idempotency_key;
  std::string statement;
  // Of a query that must not run twice, where that is kept: who it is, and how long it rests once sent.
  QueryId query = 0;
  std::string identity;
  TimeUs rest = 0;
  double grant_mb = 0;
  TimeUs stop_at = 0;    // the controller waits for the query until then
  TimeUs answer_by = 0;  // a call that has no whole answer by then is silent
};

// Give a call up. It ends as dropped, unless its end is on the way already.
struct DropCall {
  CallId call = 0;
};

// Give a call up unless its first byte is on its way: then it goes on as if this had not been asked.
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
  TimeUs retry_after = 0;  // 0: no advice
};

struct AnswerFailed {
  ClientId client = 0;
  RequestTag tag = 0;
  std::string why;
  bool unusable = false;  // the request was never taken: the client's own fault
};

// A query is over of which nothing ran: who it was may be sent again.
struct FreeKey {
  QueryId query = 0;
  std::string identity;
};

// The request can't be taken: it breaks the rules of the connection.
struct AnswerRejected {
  ClientId client = 0;
  RequestTag tag = 0;
  std::string why;
};

// No further call of the attempt goes over the connection that it has.
struct CloseConnection {
  AttemptId attempt = 0;
};

struct LogText {
  log::Level level = log::Level::kInfo;
  std::string text;
};

using SideEffect = std::variant<StartCall, DropCall, WithdrawCall, AnswerServed, AnswerRefused, AnswerFailed,
                                AnswerRejected, CloseConnection, FreeKey, LogText>;

}  // namespace orchidgw::core
