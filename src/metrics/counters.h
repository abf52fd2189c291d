// What a controller has taken in, sent and answered; printed on SIGUSR1 and at exit.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>

#include "base/reason.h"

namespace orchidgw::metrics {

using TimeUs = std::int64_t;  // microseconds

// How late something came: count, mean and worst.
struct Lateness {
  std::uint64_t count = 0;
  TimeUs sum = 0;
  TimeUs worst = 0;
  void add(TimeUs late) {
    ++count;
    sum += late;
    if (late > worst) worst = late;
  }
};

// How many there are and how many there were at the most.
struct Level {
  std::uint64_t now = 0;
  std::uint64_t most = 0;
  void set(std::uint64_t value) {
    now = value;
    if (value > most) most = value;
  }
  void up() { set(now + 1); }
  void down() { set(now - 1); }
};

// Kinds of ends are the core's; here they are numbers, with room for so many.
inline constexpr std::size_t kOutcomesMost = 8;
inline constexpr std::size_t kEndsMost = 24;
inline constexpr std::size_t kDenialsMost = 10;

// What the numbers are called: the core knows. Null for a number that stands for nothing.
struct Names {
  const char* (*outcome)(std::size_t) = nullptr;
  const char* (*end)(std::size_t) = nullptr;
  const char* (*denial)(std::size_t) = nullptr;
};

struct Counters {
  // Queries.
  std::uint64_t taken = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejected = 0;  // could not be taken: answered by the protocol alone
  std::uint64_t aborted = 0;   // the client gave it up or left
  Level open_queries;
  Level waiting_queries;                           // for their turn under the operators' limits
  std::array<std::uint64_t, kReasons> refusals{};  // by reason
  // Attempts and calls.
  std::uint64_t sent = 0;
  std::array<std::uint64_t, kOutcomesMost> outcomes{};
  std::uint64_t calls = 0;
  Level open_calls;
  std::uint64_t asked_again = 0;
  std::uint64_t unconfirmed = 0;  // given up without the engine's word
  // Starts that were taken back at their first byte, by what forbade them then (src/decision/permission.h).
  std::array<std::uint64_t, kDenialsMost> starts_denied{};
  // What was asked for and may never be: the decision module's faults. Not done; 0 in a program that works.
  std::array<std::uint64_t, kDenialsMost> violations{};
  // Queries that had no final answer when their time was over, and were failed for it.
  std::uint64_t answers_overdue = 0;
  // Connections.
  std::array<std::uint64_t, kEndsMost> client_ends{};
  std::array<std::uint64_t, kEndsMost> engine_ends{};
  std::array<std::uint64_t, kEndsMost> change_log_ends{};
  std::uint64_t accepted = 0;
  std::uint64_t connected = 0;
  std::uint64_t reused = 0;
  Level clients;
  Level engine_connections;
  Level waiting_calls;
  Level buffers;
  Level descriptors;
  // Bytes.
  std::uint64_t client_bytes_in = 0;
  std::uint64_t client_bytes_out = 0;
  std::uint64_t engine_bytes_in = 0;
  std::uint64_t engine_bytes_out = 0;
  std::uint64_t change_log_bytes_in = 0;
  std::uint64_t change_log_bytes_out = 0;
  // Between controllers of a fleet.
  std::uint64_t fleet_bytes_in = 0;
  std::uint64_t fleet_bytes_out = 0;
  std::uint64_t fleet_sent = 0;
  std::uint64_t fleet_received = 0;
  std::uint64_t fleet_dropped = 0;  // too much waited already
  std::uint64_t fleet_shares = 0;   // times that what may be used changed
  // The list, the loop.
  std::uint64_t list_changes = 0;
  std::uint64_t change_log_calls = 0;
  std::uint64_t reloads = 0;  // SIGHUP
  std::uint64_t reloads_failed = 0;
  std::uint64_t wall_clock_steps = 0;
  std::uint64_t turns = 0;
  std::uint64_t late_turns = 0;  // left to the next one, which comes once the sockets were read
  std::uint64_t reads_paused = 0;
  std::uint64_t accepts_paused = 0;
  Lateness timers;
  Lateness turn;      // time from the start of a turn to its end
  Lateness reads;     // time from reading an event to acting on it
  Lateness reducer;   // time in the reducer and the module, an event
  Lateness connects;  // time that connections to engines took to come up
};

void print(const Counters& counters, const Names& names, std::ostream& out);

}  // namespace orchidgw::metrics
