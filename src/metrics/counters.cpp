#include "metrics/counters.h"

namespace orchidgw::metrics {
namespace {

void print_line(std::ostream& out, const char* name, std::uint64_t value) {
  out << "counter " << name << ' ' << value << '\n';
}

void print_line(std::ostream& out, const char* name, const Gauge& gauge) {
  out << "counter " << name << ' ' << gauge.now << " most " << gauge.most << '\n';
}

void print_line(std::ostream& out, const char* name, const DurationStats& stats) {
  const auto mean = stats.count > 0 ? stats.sum / static_cast<TimeUs>(stats.count) : 0;
  out << "counter " << name << ' ' << stats.count << " mean_us " << mean << " worst_us " << stats.worst
      << '\n';
}

// One line for each counter that is not 0.
template <typename Values>
void print_non_zero(std::ostream& out, const char* group, const Values& values,
                    const char* (*name)(std::size_t)) {
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (values[i] == 0) continue;
    out << "counter " << group << '.' << name(i) << ' ' << values[i] << '\n';
  }
}

}  // namespace

void print(const Counters& counters, const CounterNames& names, std::ostream& out) {
  print_line(out, "queries.taken", counters.accepted_queries);
  print_line(out, "queries.served", counters.served);
  print_line(out, "queries.refused", counters.refused);
  print_line(out, "queries.failed", counters.failed);
  print_line(out, "queries.rejected", counters.rejected);
  print_line(out, "queries.discarded", counters.discarded);
  print_line(out, "queries.aborted", counters.aborted);
  print_line(out, "queries.open", counters.open_queries);
  print_line(out, "queries.waiting", counters.waiting_queries);
  for (std::size_t i = 0; i < counters.refusals.size(); ++i) {
    if (counters.refusals[i] == 0) continue;
    out << "counter queries.refused." << name_of(static_cast<Reason>(i)) << ' ' << counters.refusals[i]
        << '\n';
  }
  print_line(out, "attempts.sent", counters.sent);
  for (std::size_t i = 0; i < counters.outcomes.size(); ++i) {
    if (const char* name = names.outcome(i))
      out << "counter attempts." << name << ' ' << counters.outcomes[i] << '\n';
  }
  print_line(out, "calls.made", counters.calls);
  print_line(out, "calls.open", counters.open_calls);
  print_line(out, "calls.asked_again", counters.asked_again);
  print_line(out, "calls.unconfirmed", counters.unconfirmed);
  print_non_zero(out, "starts.denied", counters.starts_denied, names.denial);
  print_non_zero(out, "violations", counters.violations, names.denial);
  print_line(out, "queries.overdue", counters.answers_overdue);
  print_non_zero(out, "client_ends", counters.client_ends, names.end);
  print_non_zero(out, "engine_ends", counters.engine_ends, names.end);
  print_non_zero(out, "change_log_ends", counters.change_log_ends, names.end);
  print_line(out, "connections.accepted", counters.accepted_connections);
  print_line(out, "connections.connected", counters.connected);
  print_line(out, "connections.reused", counters.reused);
  print_line(out, "connections.clients", counters.clients);
  print_line(out, "connections.engines", counters.engine_connections);
  print_line(out, "calls.waiting", counters.waiting_calls);
  print_line(out, "buffers", counters.buffers);
  print_line(out, "descriptors", counters.descriptors);
  print_line(out, "bytes.client_in", counters.client_bytes_in);
  print_line(out, "bytes.client_out", counters.client_bytes_out);
  print_line(out, "clients.writes", counters.client_writes);
  print_line(out, "bytes.engine_in", counters.engine_bytes_in);
  print_line(out, "bytes.engine_out", counters.engine_bytes_out);
  print_line(out, "bytes.change_log_in", counters.change_log_bytes_in);
  print_line(out, "bytes.change_log_out", counters.change_log_bytes_out);
  if (counters.fleet_sent > 0) {
    print_line(out, "bytes.fleet_in", counters.fleet_bytes_in);
    print_line(out, "bytes.fleet_out", counters.fleet_bytes_out);
    print_line(out, "fleet.sent", counters.fleet_sent);
    print_line(out, "fleet.received", counters.fleet_received);
    print_line(out, "fleet.dropped", counters.fleet_dropped);
    print_line(out, "fleet.shares", counters.fleet_shares);
  }
  print_line(out, "list.changes", counters.list_changes);
  print_line(out, "list.calls", counters.change_log_calls);
  print_line(out, "list.overdue_answers", counters.change_log_overdue);
  print_line(out, "list.engines_left_out", counters.engines_left_out);
  print_line(out, "list.events_with_bad_fields", counters.events_with_bad_fields);
  print_line(out, "config.reloads", counters.reloads);
  print_line(out, "config.reloads_failed", counters.reloads_failed);
  print_line(out, "loop.wall_clock_steps", counters.wall_clock_steps);
  print_line(out, "loop.turns", counters.turns);
  print_line(out, "loop.late_turns", counters.late_turns);
  print_line(out, "loop.reads_paused", counters.reads_paused);
  print_line(out, "loop.accepts_paused", counters.accepts_paused);
  print_line(out, "clients.frames_discarded", counters.frames_discarded);
  print_line(out, "loop.timer_lateness", counters.timer_lateness);
  print_line(out, "loop.turn_length", counters.turn_length);
  print_line(out, "loop.read_lateness", counters.read_lateness);
  print_line(out, "loop.reducer_time", counters.reducer_time);
  print_line(out, "engines.connect_time", counters.connect_time);
  out << std::flush;
}

}  // namespace orchidgw::metrics
