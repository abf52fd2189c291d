// Counters of what a controller has accepted, sent and answered; printed on SIGUSR1 and at exit.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>

#include "base/reason.h"

namespace orchidgw::metrics {

using TimeUs = std::int64_t;  // microseconds

// Durations: their count, sum (for the mean) and maximum.
struct DurationStats {
  std::uint64_t count = 0;
  TimeUs sum = 0;
  TimeUs worst = 0;
  void add(TimeUs duration) {
    ++count;
    sum += duration;
    if (duration > worst) worst = duration;
  }
};

// The current number of something and the highest so far.
struct Gauge {
  std::uint64_t now = 0;
  std::uint64_t most = 0;
  void set(std::uint64_t value) {
    now = value;
    if (value > most) most = value;
  }
  void up() { set(now + 1); }
  void down() { set(now - 1); }
};

// Sizes of the arrays of counters. The core defines the enumerations that index them and checks that they
// fit.
inline constexpr std::size_t kMaxOutcomes = 8;
inline constexpr std::size_t kMaxConnectionEnds = 24;
inline constexpr std::size_t kMaxDenials = 10;

// Functions of the core that name the indexes of the arrays. They return null for an index without a meaning.
struct CounterNames {
  const char* (*outcome)(std::size_t) = nullptr;
  const char* (*end)(std::size_t) = nullptr;
  const char* (*denial)(std::size_t) = nullptr;
};

struct Counters {
  // Queries.
  std::uint64_t accepted_queries = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejected = 0;   // could not be accepted: answered on the protocol level only
  std::uint64_t discarded = 0;  // failed because no memory was left to keep them while they arrived
  std::uint64_t aborted = 0;    // aborted by the client, or the client disconnected
  Gauge open_queries;
  Gauge waiting_queries;                               // in a queue of the operators' limits
  std::array<std::uint64_t, kReasonCount> refusals{};  // by reason
  // Attempts and calls.
  std::uint64_t sent = 0;
  std::array<std::uint64_t, kMaxOutcomes> outcomes{};
  std::uint64_t calls = 0;
  Gauge open_calls;
  std::uint64_t asked_again = 0;
  std::uint64_t unconfirmed = 0;  // cancelled without a confirmation by the engine
  // Attempts withdrawn just before their first byte was sent, by reason (Denial of
  // src/decision/permission.h).
  std::array<std::uint64_t, kMaxDenials> starts_denied{};
  // Forbidden actions that the decision module asked for, by reason. They are not carried out; any count is a
  // bug.
  std::array<std::uint64_t, kMaxDenials> violations{};
  // Queries without a final answer when their time was over; they were failed for that reason.
  std::uint64_t answers_overdue = 0;
  // Connections.
  std::array<std::uint64_t, kMaxConnectionEnds> client_ends{};
  std::array<std::uint64_t, kMaxConnectionEnds> engine_ends{};
  std::array<std::uint64_t, kMaxConnectionEnds> change_log_ends{};
  std::uint64_t accepted_connections = 0;
  std::uint64_t connected = 0;
  std::uint64_t reused = 0;
  Gauge clients;
  Gauge engine_connections;
  Gauge waiting_calls;
  Gauge buffers;
  Gauge descriptors;
  // Bytes.
  std::uint64_t client_bytes_in = 0;
  std::uint64_t client_bytes_out = 0;
  std::uint64_t client_writes = 0;  // in each, all that a client is owed by then
  std::uint64_t engine_bytes_in = 0;
  std::uint64_t engine_bytes_out = 0;
  std::uint64_t change_log_bytes_in = 0;
  std::uint64_t change_log_bytes_out = 0;
  // Messages between controllers of a fleet.
  std::uint64_t fleet_bytes_in = 0;
  std::uint64_t fleet_bytes_out = 0;
  std::uint64_t fleet_sent = 0;
  std::uint64_t fleet_received = 0;
  std::uint64_t fleet_dropped = 0;  // the send buffer was full
  std::uint64_t fleet_shares = 0;   // changes of this controller's share
  // The engine list, configuration reloads, the event loop.
  std::uint64_t list_changes = 0;
  std::uint64_t change_log_calls = 0;
  std::uint64_t change_log_overdue = 0;      // answers that were overdue, whether they came later or not
  std::uint64_t engines_left_out = 0;        // invalid ones in answers of the change log
  std::uint64_t events_with_bad_fields = 0;  // of the change log: their number or flag could not be read
  std::uint64_t reloads = 0;                 // SIGHUP
  std::uint64_t reloads_failed = 0;
  std::uint64_t wall_clock_steps = 0;
  std::uint64_t turns = 0;
  std::uint64_t late_turns = 0;  // left their work to the next one, which comes once the sockets were read
  std::uint64_t reads_paused = 0;
  std::uint64_t frames_discarded = 0;  // unfinished frames of clients whose bodies were discarded
  std::uint64_t accepts_paused = 0;
  DurationStats timer_lateness;
  DurationStats turn_length;    // from the start of a turn to its end
  DurationStats read_lateness;  // from reading an event to acting on it
  DurationStats reducer_time;   // spent on one event in the reducer and the decision module
  DurationStats connect_time;   // to establish a connection to an engine
};

// Writes a line for each counter, without zeros of most arrays, and flushes.
void print(const Counters& counters, const CounterNames& names, std::ostream& out);

}  // namespace orchidgw::metrics
