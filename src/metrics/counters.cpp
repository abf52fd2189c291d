#include "metrics/counters.h"

namespace orchidgw::metrics {
namespace {

void line(std::ostream& out, const char* name, std::uint64_t value) {
  out << "counter " << name << ' ' << value << '\n';
}

void line(std::ostream& out, const char* name, const Level& level) {
  out << "counter " << name << ' ' << level.now << " most " << level.most << '\n';
}

void line(std::ostream& out, const char* name, const Lateness& late) {
  const auto mean = late.count > 0 ? late.sum / static_cast<TimeUs>(late.count) : 0;
  out << "counter " << name << ' ' << late.count << " mean_us " << mean << " worst_us " << late.worst << '\n';
}

// One line for each that is not 0.
template <typename Numbers>
void by_name(std::ostream& out, const char* where, const Numbers& all, const char* (*name)(std::size_t)) {
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (all[i] == 0) continue;
    out << "counter " << where << '.' << name(i) << ' ' << all[i] << '\n';
  }
}

}  // namespace

void print(const Counters& c, const Names& names, std::ostream& out) {
  line(out, "queries.taken", c.taken);
  line(out, "queries.served", c.served);
  line(out, "queries.refused", c.refused);
  line(out, "queries.failed", c.failed);
  line(out, "queries.rejected", c.rejected);
  line(out, "queries.aborted", c.aborted);
  line(out, "queries.open", c.open_queries);
  line(out, "queries.waiting", c.waiting_queries);
  for (std::size_t i = 0; i < c.refusals.size(); ++i) {
    if (c.refusals[i] == 0) continue;
    out << "counter queries.refused." << name_of(static_cast<Reason>(i)) << ' ' << c.refusals[i] << '\n';
  }
  line(out, "attempts.sent", c.sent);
  for (std::size_t i = 0; i < c.outcomes.size(); ++i) {
    if (const char* name = names.outcome(i))
      out << "counter attempts." << name << ' ' << c.outcomes[i] << '\n';
  }
  line(out, "calls.made", c.calls);
  line(out, "calls.open", c.open_calls);
  line(out, "calls.asked_again", c.asked_again);
  line(out, "calls.unconfirmed", c.unconfirmed);
  by_name(out, "starts.denied", c.starts_denied, names.denial);
  by_name(out, "violations", c.violations, names.denial);
  line(out, "queries.overdue", c.answers_overdue);
  by_name(out, "client_ends", c.client_ends, names.end);
  by_name(out, "engine_ends", c.engine_ends, names.end);
  by_name(out, "change_log_ends", c.change_log_ends, names.end);
  line(out, "connections.accepted", c.accepted);
  line(out, "connections.connected", c.connected);
  line(out, "connections.reused", c.reused);
  line(out, "connections.clients", c.clients);
  line(out, "connections.engines", c.engine_connections);
  line(out, "calls.waiting", c.waiting_calls);
  line(out, "buffers", c.buffers);
  line(out, "descriptors", c.descriptors);
  line(out, "bytes.client_in", c.client_bytes_in);
  line(out, "bytes.client_out", c.client_bytes_out);
  line(out, "bytes.engine_in", c.engine_bytes_in);
  line(out, "bytes.engine_out", c.engine_bytes_out);
  line(out, "bytes.change_log_in", c.change_log_bytes_in);
  line(out, "bytes.change_log_out", c.change_log_bytes_out);
  if (c.fleet_sent > 0) {
    line(out, "bytes.fleet_in", c.fleet_bytes_in);
    line(out, "bytes.fleet_out", c.fleet_bytes_out);
    line(out, "fleet.sent", c.fleet_sent);
    line(out, "fleet.received", c.fleet_received);
    line(out, "fleet.dropped", c.fleet_dropped);
    line(out, "fleet.shares", c.fleet_shares);
  }
  line(out, "list.changes", c.list_changes);
  line(out, "list.calls", c.change_log_calls);
  line(out, "config.reloads", c.reloads);
  line(out, "config.reloads_failed", c.reloads_failed);
  line(out, "loop.wall_clock_steps", c.wall_clock_steps);
  line(out, "loop.turns", c.turns);
  line(out, "loop.late_turns", c.late_turns);
  line(out, "loop.reads_paused", c.reads_paused);
  line(out, "loop.accepts_paused", c.accepts_paused);
  line(out, "loop.timer_lateness", c.timers);
  line(out, "loop.turn_length", c.turn);
  line(out, "loop.read_lateness", c.reads);
  line(out, "loop.reducer_time", c.reducer);
  line(out, "engines.connect_time", c.connects);
  out << std::flush;
}

}  // namespace orchidgw::metrics
