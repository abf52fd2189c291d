// What an operator may state about a route: whom it matches and which limits hold there. Plain values, each
// with the place in the file where it stands. No I/O, no clock, no decision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decision/decision.h"

namespace orchidgw::limits {

// A place in the operators' file, both from 1; 0: stated nowhere.
struct Place {
  int line = 0;
  int column = 0;
};

// One thing that is wrong with a file.
struct Fault {
  Place place;
  std::string path;  // like routes[2].second_copy.after
  std::string why;
};

template <typename T>
struct Stated {
  T value{};
  Place place;
};
template <typename T>
using Maybe = std::optional<Stated<T>>;

enum class KeyMatch { kAny, kGiven, kAbsent };

// A table's whole name, or the beginning of it. Lower case, "schema.table" or "table".
struct TablePattern {
  std::string text;
  bool prefix = false;
  bool operator==(const TablePattern&) const = default;
};

// Whom a route matches; what is not stated matches all.
struct Match {
  Maybe<std::string> class_name;
  Maybe<std::string> tenant;
  Maybe<TablePattern> table;
  Maybe<KeyMatch> key;
  KeyMatch key_or_any() const { return key ? key->value : KeyMatch::kAny; }
};

// A further attempt while the first is still out.
struct SecondCopy {
  enum class When { kNever, kDelay, kQuantile };
  When when = When::kNever;
  TimeUs delay = 0;     // of kDelay: after the first attempt's send
  double quantile = 0;  // of kQuantile: of what the class's attempts took, 0.5 to 0.999
  TimeUs at_least = 0;  // of kQuantile: bounds on what was learned
  TimeUs at_most = 0;   // 0: none
};

// Time between the end of an attempt and the next: first x factor^n, at most `most`, less up to the share
// `jitter` of it, drawn anew for each.
struct BackOff {
  TimeUs first = 0;
  TimeUs most = 0;
  double factor = 2;
  double jitter = 0.5;
};

// Ends after which another attempt may be made, a bit for each OutcomeKind.
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

// Queries of a route that are under way at one time.
struct Concurrency {
  int most = 0;        // 0: none is let in
  int least = 0;       // of an adaptive bound: never below it; 0: the bound is fixed
  bool fleet = false;  // of all controllers together (`scope: fleet`), divided by src/budget
  bool adaptive() const { return least > 0; }
};

struct Rate {
  double per_second = 0;  // 0: none is let in
  double burst = 1;       // let in at once after a calm, 1 or more
  bool fleet = false;     // as above
};

// Further attempts in any window: at most floor + share x the queries let in within it.
struct RetryShare {
  double share = 0;
  double floor = 0;
  TimeUs window = 10'000'000;
};

// The limits of a route; what is not stated comes from the route it is like, then from the defaults.
struct Bounds {
  Maybe<TimeUs> timeout;          // of the whole query, from when it was taken
  Maybe<TimeUs> attempt_timeout;  // of each attempt, from its send
  Maybe<TimeUs> longest_hold;     // before the first attempt
  Maybe<int> attempts;            // all of them, copies too
  Maybe<SecondCopy> second_copy;
  Maybe<BackOff> back_off;
  Maybe<RetryOn> retry_on;
  Maybe<Concurrency> concurrency;
  Maybe<Rate> rate;
  Maybe<int> line;  // queries of the route that wait for a place or a token
  Maybe<RetryShare> retries;
};

// Calls `f` on each pair of like fields.
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
  f(to.line, from.line, "line");
  f(to.retries, from.retries, "retries");
}

struct Route {
  std::string name;
  Place place;
  Maybe<std::string> like;  // another route's name: its limits hold where this one states none
  Match match;
  Bounds bounds;
};

// The operators' file as it was read: its form is right, its sense is not checked.
struct LimitFile {
  Bounds defaults;
  Maybe<RetryShare> retries;  // over all routes
  std::vector<Route> routes;
};

inline constexpr const char* kDefaultRoute = "defaults";  // of queries that no route matches
inline constexpr int kLineUnlessStated = 64;

}  // namespace orchidgw::limits
