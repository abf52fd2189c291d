#include "metrics/counters.h"

namespace orchidgw::metrics {
namespace {

void print_line(std::ostream& out, const char* name, std::uint64_t value) {
  out << "counter " << name << ' ' << value << '\n';
}

void print_line(std::ostream& out, const char* name, const Gauge& level) {
  out << "counter " << name << ' ' << level.now << " most " << level.most << '\n';
}

void print_line(std::ostream& out, const char* name, const DurationStats& stats) {
  const auto mean = stats.count > 0 ? stats.sum / static_cast<TimeUs>(stats.count) : 0;
  out << "counter " << name << ' ' << stats.count << " mean_us " << mean << " worst_us " << stats.worst
      << '\n';
}

// One line for each counter that is not 0.
template <typename Numbers>
void print_non_zero(std::ostream& out, const char* where, const Numbers& all,
                    const char* (*name)(std::size_t)) {
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (all[i] == 0) continue;
    out << "counter " << where << '.' << name(i) << ' ' << all[i] << '\n';
  }
}

}  // namespace

void print(const Counters& c, const Names& names, std::ostream& out) {
  print_line(out, "queries.taken", c.taken);
  print_line(out, "queries.served", c.served);
  print_line(out, "queries.refused", c.refused);
  print_line(out, "queries.failed", c.failed);
  print_line(out, "queries.rejected", c.rejected);
  print_line(out, "queries.aborted", c.aborted);
  print_line(out, "queries.open", c.open_queries);
  print_line(out, "queries.waiting", c.waiting_queries);
  for (std::size_t i = 0; i < c.refusals.size(); ++i) {
    if (c.refusals[i] == 0) continue;
    out << "counter queries.refused." << name_of(static_cast<Reason>(i)) << ' ' << c.refusals[i] << '\n';
  }
  print_line(out, "attempts.sent", c.sent);
  for (std::size_t i = 0; i < c.outcomes.size(); ++i) {
    if (const char* name = names.outcome(i))
      out << "counter attempts." << name << ' ' << c.outcomes[i] << '\n';
  }
  print_line(out, "calls.made", c.calls);
  print_line(out, "calls.open", c.open_calls);
  print_line(out, "calls.asked_again", c.asked_again);
  print_line(out, "calls.unconfirmed", c.unconfirmed);
  print_non_zero(out, "starts.denied", c.starts_denied, names.denial);
  print_non_zero(out, "violations", c.violations, names.denial);
  print_line(out, "queries.overdue", c.answers_overdue);
  print_non_zero(out, "client_ends", c.client_ends, names.end);
  print_non_zero(out, "engine_ends", c.engine_ends, names.end);
  print_non_zero(out, "change_log_ends", c.change_log_ends, names.end);
  print_line(out, "connections.accepted", c.accepted);
  print_line(out, "connections.connected", c.connected);
  print_line(out, "connections.reused", c.reused);
  print_line(out, "connections.clients", c.clients);
  print_line(out, "connections.engines", c.engine_connections);
  print_line(out, "calls.waiting", c.waiting_calls);
  print_line(out, "buffers", c.buffers);
  print_line(out, "descriptors", c.descriptors);
  print_line(out, "bytes.client_in", c.client_bytes_in);
  print_line(out, "bytes.client_out", c.client_bytes_out);
  print_line(out, "bytes.engine_in", c.engine_bytes_in);
  print_line(out, "bytes.engine_out", c.engine_bytes_out);
  print_line(out, "bytes.change_log_in", c.change_log_bytes_in);
  print_line(out, "bytes.change_log_out", c.change_log_bytes_out);
  if (c.fleet_sent > 0) {
    print_line(out, "bytes.fleet_in", c.fleet_bytes_in);
    print_line(out, "bytes.fleet_out", c.fleet_bytes_out);
    print_line(out, "fleet.sent", c.fleet_sent);
    print_line(out, "fleet.received", c.fleet_received);
    print_line(out, "fleet.dropped", c.fleet_dropped);
    print_line(out, "fleet.shares", c.fleet_shares);
  }
  print_line(out, "list.changes", c.list_changes);
  print_line(out, "list.calls", c.change_log_calls);
  print_line(out, "config.reloads", c.reloads);
  print_line(out, "config.reloads_failed", c.reloads_failed);
  print_line(out, "loop.wall_clock_steps", c.wall_clock_steps);
  print_line(out, "loop.turns", c.turns);
  print_line(out, "loop.late_turns", c.late_turns);
  print_line(out, "loop.reads_paused", c.reads_paused);
  print_line(out, "loop.accepts_paused", c.accepts_paused);
  print_line(out, "loop.timer_lateness", c.timers);
  print_line(out, "loop.turn_length", c.turn);
  print_line(out, "loop.read_lateness", c.reads);
  print_line(out, "loop.reducer_time", c.reducer);
  print_line(out, "engines.connect_time", c.connects);
  out << std::flush;
}

}  // namespace orchidgw::metrics
