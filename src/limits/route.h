// What an operator may state about a route: which queries it matches and which limits apply to them. Plain
// values, each with its location in the operator file. No I/O, no clock, no decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decision/decision.h"

namespace orchidgw::limits {

// A location in the operator file, line and column counted from 1; 0: stated nowhere.
struct FileLocation {
  int line = 0;
  int column = 0;
};

// An error in the operator file.
struct Fault {
  FileLocation place;
  std::string path;  // like routes[2].second_copy.after
  std::string why;
};

// A value with the location where the file states it.
template <typename T>
struct Located {
  T value{};
  FileLocation place;
};
// Without a value: the file does not state it.
template <typename T>
using OptionalLocated = std::optional<Located<T>>;

// By idempotency key: all queries, those with a key, those without one.
enum class KeyMatch { kAny, kGiven, kAbsent };

// A table's full name or a prefix of it, in lower case: "schema.table" or "table".
struct TablePattern {
  std::string text;
  bool prefix = false;
  bool operator==(const TablePattern&) const = default;
};

// Which queries a route matches; a criterion that is not stated matches all.
struct Match {
  OptionalLocated<std::string> class_name;
  OptionalLocated<std::string> tenant;
  OptionalLocated<TablePattern> table;
  OptionalLocated<KeyMatch> key;
  KeyMatch key_or_any() const { return key ? key->value : KeyMatch::kAny; }
};

// Whether and when a second attempt is sent while the first is still in flight.
struct SecondCopy {
  enum class When { kNever, kDelay, kQuantile };
  When when = When::kNever;
  TimeUs delay = 0;     // of kDelay: time after the first attempt was sent
  double quantile = 0;  // of kQuantile: of the latency of the class's attempts, 0.5 to 0.999
  TimeUs at_least = 0;  // of kQuantile: lower bound on the delay that the quantile gives
  TimeUs at_most = 0;   // of kQuantile: upper bound on it; 0: none
};

// Delay between the end of an attempt and the next one: first x factor^n, at most `most`. A random part of
// it, up to the share `jitter`, is subtracted anew each time.
struct BackOff {
  TimeUs first = 0;
  TimeUs most = 0;
  double factor = 2;
  double jitter = 0.5;
};

// The outcomes of an attempt after which another may follow, one bit for each OutcomeKind.
class RetryOn {
 public:
  static RetryOn all() { return RetryOn(0xff); }
  RetryOn() = default;
  void add(OutcomeKind kind) { bits_ |= bit(kind); }
  bool has(OutcomeKind kind) const { return (bits_ & bit(kind)) != 0; }

 private:
  explicit RetryOn(unsigned bits) : bits_(bits) {}
  static unsigned bit(OutcomeKind kind) { return 1U << static_cast<unsigned>(kind); }
  unsigned bits_ = 0;
};

// How many queries of a route may be under way at one time.
struct Concurrency {
  int most = 0;        // 0: every query is refused
  int least = 0;       // lower bound of an adaptive limit; 0: the limit is fixed at `most`
  bool fleet = false;  // `scope: fleet`: of all controllers together, divided by src/budget
  bool adaptive() const { return least > 0; }
};

// How many queries of a route are admitted per second.
struct Rate {
  double per_second = 0;  // 0: every query is refused
  double burst = 1;       // size of the token bucket: admitted at once after a pause; 1 or more
  bool fleet = false;     // `scope: fleet`, as in Concurrency
};

// Limit of a retry budget: in any window at most floor + share x the queries admitted in that window.
struct RetryBudgetSettings {
  double share = 0;
  double floor = 0;
  TimeUs window = 10'000'000;
};

// The limits of a route. One that is not stated comes from the route it is like, else from the defaults.
struct Bounds {
  OptionalLocated<TimeUs> timeout;          // of the whole query, from its acceptance
  OptionalLocated<TimeUs> attempt_timeout;  // of each attempt, from when it is sent
  OptionalLocated<TimeUs> longest_hold;     // longest wait before the first attempt
  OptionalLocated<int> attempts;            // maximum number of all attempts, second copies included
  OptionalLocated<SecondCopy> second_copy;
  OptionalLocated<BackOff> back_off;
  OptionalLocated<RetryOn> retry_on;
  OptionalLocated<Concurrency> concurrency;
  OptionalLocated<Rate> rate;
  OptionalLocated<int> queue_size;  // maximum number of queries in the route's queue
  OptionalLocated<RetryBudgetSettings> retries;
};

// Calls f(to_field, from_field, name) for each limit.
template <typename To, typename From, typename F>
void for_each_bound(To& to, From& from, F f) {
  f(to.timeout, from.timeout, "timeout");
  f(to.attempt_timeout, from.attempt_timeout, "attempt_timeout");
  f(to.longest_hold, from.longest_hold, "longest_hold");
  f(to.attempts, from.attempts, "attempts");
  f(to.second_copy, from.second_copy, "second_copy");
  f(to.back_off, from.back_off, "back_off");
  f(to.retry_on, from.retry_on, "retry_on");
  f(to.concurrency, from.concurrency, "concurrency");
  f(to.rate, from.rate, "rate");
  f(to.queue_size, from.queue_size, "line");
  f(to.retries, from.retries, "retries");
}

struct Route {
  std::string name;
  FileLocation place;
  OptionalLocated<std::string> like;  // name of the route whose limits apply where this one states none
  Match match;
  Bounds bounds;
};

// The limits in an operator file as it was read: syntax and types are right, check() has not been called.
struct LimitFile {
  Bounds defaults;
  OptionalLocated<RetryBudgetSettings> retries;  // the budget over all routes
  std::vector<Route> routes;
};

// Names the limits of queries that no route matches.
inline constexpr const char* kDefaultRoute = "defaults";
inline constexpr int kDefaultQueueSize = 64;  // of a route that states no `line`

}  // namespace orchidgw::limits
