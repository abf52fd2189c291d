// What an operator states of reduced service: levels in order, each with the conditions on which it is
// entered and left and what it does. Plain values, each with its place in the file. No I/O, no clock, no
// decision.
#pragma once

#include <string>
#include <vector>

#include "limits/route.h"

namespace orchidgw::service_level {

using limits::Fault;
using limits::Maybe;
using limits::Place;

// What the gateway sees of its own service. Shares are 0 to 1, times microseconds.
enum class Signal {
  kLineLength,     // queries that wait to be sent
  kLineAge,        // how long the oldest of them has waited
  kRefusedShare,   // of the queries that no level turned away
  kLateShare,      // of the answered ones: past the aim, or failed
  kArrivals,       // queries a second, shed ones included
  kSlowdown,       // mean of time over expected time, all engines
  kSlowestEngine,  // that of the slowest engine over the mean of all
  kInService,      // share of the known engines that are in service
  kLoopLag,        // how late the program's own timers fire
  kBuffers,        // share of the buffers in use
};
inline constexpr std::size_t kSignals = static_cast<std::size_t>(Signal::kBuffers) + 1;

const char* name_of(Signal signal);
std::optional<Signal> signal_named(std::string_view name);
bool is_time(Signal signal);
bool by_class_or_tenant(Signal signal);  // others are of the whole gateway
// Whether shedding changes the signal itself: a line gets short, and what is refused early is no longer
// refused late. Such a signal can't say that the level may be left.
bool changed_by_shedding(Signal signal);

struct SignalKey {
  Signal signal = Signal::kSlowdown;
  std::string class_name;     // empty: all
  std::string tenant;         // empty: all
  TimeUs window = 5'000'000;  // over which it is smoothed
  bool operator==(const SignalKey&) const = default;
};

// One comparison, or all or any of several.
struct Condition {
  enum class Kind { kLeaf, kAll, kAny };
  Kind kind = Kind::kLeaf;
  Place place;
  SignalKey key;  // of kLeaf, as are those below
  bool above = true;
  double threshold = 0;
  TimeUs hold = 0;               // it must be so for this long
  std::vector<Condition> parts;  // of kAll and kAny
};

// Whose queries are turned away, and which share of them.
struct Shed {
  std::string class_name;  // empty: all
  std::string tenant;      // empty: all
  double share = 1;
  Place place;
};

struct Effects {
  std::vector<Shed> shed;
  bool no_second_copies = false;
  bool no_further_attempts = false;
  double limits = 1;        // scale of rates and bounds on queries under way, above 0
  TimeUs longest_hold = 0;  // before the first attempt; 0: as without the level
  double grants = 1;        // scale of memory grants, above 0
  int priority = 0;         // added to each, within 0 to 3
};

struct Level {
  std::string name;
  Place place;
  std::string tenant;  // a ladder of its own for this tenant; empty: the general one
  Condition enter;
  Condition leave;
  TimeUs least_stay = 30'000'000;
  TimeUs longest_stay = 600'000'000;  // then it is tried whether the level can be left
  Effects effects;
};

// How a level is left: in parts of what it sheds, each watched for a step.
struct Trial {
  std::vector<double> parts = {0.1, 0.3, 0.6};
  TimeUs step = 10'000'000;
  TimeUs wait = 30'000'000;  // after a failed trial; doubled with each
  TimeUs wait_most = 600'000'000;
};

// At most so many changes of a ladder in any window, whatever the signals do.
struct ChangeBound {
  int most = 4;
  TimeUs window = 600'000'000;
};

// A level that an operator set by hand.
struct Manual {
  std::string level;  // "full" for full service
  TimeUs until = 0;   // Unix time, microseconds
  Place place;
};

struct LevelFile {
  std::vector<Level> levels;  // of each ladder in order: the first sheds least
  Trial trial;
  ChangeBound changes;
  std::optional<Manual> manual;
};

inline constexpr const char* kFullService = "full";

}  // namespace orchidgw::service_level
