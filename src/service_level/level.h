// The service levels of the operator file: an ordered list, each level with the conditions on which it is
// entered and left, and its effects. Plain values with their locations in the file. No I/O, no clock, no
// decisions.
#pragma once

#include <string>
#include <vector>

#include "limits/route.h"

namespace orchidgw::service_level {

using limits::Fault;
using limits::FileLocation;
using limits::OptionalLocated;

// What the controller measures of its own service. Shares are 0 to 1, times microseconds.
enum class Signal {
  kQueueLength,    // queries of which no attempt was sent yet
  kQueueAge,       // wait of the oldest of them
  kRefusedShare,   // share of refused queries among those that no level shed
  kLateShare,      // share of answered queries that were past their latency target or failed
  kArrivals,       // queries per second, including shed ones
  kSlowdown,       // mean of time / expected time of successful attempts, all engines
  kSlowestEngine,  // slowdown of the slowest engine / mean slowdown of all
  kInService,      // share of the listed engines that are in service
  kLoopLag,        // how late the event loop's timers fire
  kBuffers,        // share of the buffer memory in use
};
inline constexpr std::size_t kSignalCount = static_cast<std::size_t>(Signal::kBuffers) + 1;

const char* name_of(Signal signal);                         // as in the operator file
std::optional<Signal> signal_named(std::string_view name);  // nothing: no signal has this name
bool is_time(Signal signal);
bool can_filter_by_class_or_tenant(Signal signal);  // others are of the whole controller
// Whether shedding by itself improves the signal: the queue gets shorter, and a query that is shed is not
// refused later. Such a signal does not show that the level can be left.
bool changed_by_shedding(Signal signal);

struct SignalKey {
  Signal signal = Signal::kSlowdown;
  std::string class_name;     // empty: all
  std::string tenant;         // empty: all
  TimeUs window = 5'000'000;  // smoothing window, microseconds
  bool operator==(const SignalKey&) const = default;
};

// One comparison of a signal with a threshold, or `all` or `any` of several conditions.
struct Condition {
  enum class Kind { kComparison, kAll, kAny };
  Kind kind = Kind::kComparison;
  FileLocation place;
  SignalKey key;                 // of kComparison, as are the fields up to `hold`
  bool above = true;             // false: holds below the threshold
  double threshold = 0;          // in the signal's unit
  TimeUs hold = 0;               // how long the comparison must be true, microseconds
  std::vector<Condition> parts;  // of kAll and kAny
};

// Whose queries are shed, and which share of them.
struct ShedRule {
  std::string class_name;  // empty: all
  std::string tenant;      // empty: all
  double share = 1;
  FileLocation place;
};

// What a level does while it is active.
struct Effects {
  std::vector<ShedRule> shed;
  bool no_second_copies = false;
  bool no_further_attempts = false;
  double limits = 1;        // factor on the limits' rates and concurrency, above 0
  TimeUs longest_hold = 0;  // longest wait before the first attempt; 0: as without the level
  double grants = 1;        // factor on memory grants, above 0
  int priority = 0;         // added to each query's priority; the sum is kept within 0 to 3
};

struct Level {
  std::string name;
  FileLocation place;
  std::string tenant;  // the level is of this tenant's own ladder; empty: of the general one
  Condition enter;
  Condition leave;
  TimeUs least_stay = 30'000'000;
  TimeUs longest_stay = 600'000'000;  // after it a trial begins even if `leave` does not hold
  Effects effects;
};

// How a level is left: growing shares of the queries that it sheds are admitted, each for one step.
struct Trial {
  std::vector<double> parts = {0.1, 0.3, 0.6};
  TimeUs step = 10'000'000;
  // Until the next trial after a failed one, and until a level that did not help may be entered again.
  // Doubles each time in a row, up to `wait_most`.
  TimeUs wait = 30'000'000;
  TimeUs wait_most = 600'000'000;
};

// Limits the changes of a ladder: at most `most` in any window, whatever the signals do.
struct ChangeRateLimit {
  int most = 4;
  TimeUs window = 600'000'000;
};

// An operator's override: this level, until then.
struct ManualOverride {
  std::string level;  // "full" for full service
  TimeUs until = 0;   // Unix time, microseconds
  FileLocation place;
};

struct LevelFile {
  std::vector<Level> levels;  // in the order of the file; of each ladder the first sheds least
  Trial trial;
  ChangeRateLimit changes;
  std::optional<ManualOverride> manual;
};

inline constexpr const char* kFullService = "full";

}  // namespace orchidgw::service_level
