// Client of the change log (list and watch). Keeps a long poll in flight and posts the log's events to the
// core in order.
//
// A watch can stop answering without an error, so a poll whose answer is overdue is followed by another one
// on a new connection. The first stays open beside it, because the log may only be slow: were it given up,
// no answer of a log that always takes longer would ever be read. So there are two polls at most.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "config/fleet_changes.h"
#include "core/connection_end.h"
#include "core/engine_listing.h"
#include "decision/engine_starts.h"
#include "net/change_log_connection.h"
#include "net/context.h"

namespace orchidgw::net {

struct ChangeLogOptions {
  ChangeLogBounds bounds;
  TimeUs connect_timeout = 0;
  Rules rules;  // drain_grace: time after which an engine whose drain is in the log may get no new queries
  std::uint64_t seed = 0;  // of the backoff's jitter
};

class ChangeLog final : public ChangeLogConnection::Owner {
 public:
  // `known`: the events from the configuration, which are posted to the core at once.
  ChangeLog(Context& context, core::Address address, const config::EngineListEvents& known,
            ChangeLogOptions options);

  void check(TimeUs now);  // enforces time limits and reconnects; to be called when `next_due` is reached
  TimeUs next_due() const {
    return (overdue_ ? std::min(due_, overdue_until_) : due_) + context_.stalled_time;
  }
  // Reconnects to the log at `address`, going on from the last event number.
  void change_address(core::Address address);
  // Posts events from the reloaded configuration to the core, as far as they are new.
  void add_known_events(const config::EngineListEvents& known) { post_changes(known, false); }
  void close();
  std::size_t connections() const { return (current_ ? 1U : 0U) + (overdue_ ? 1U : 0U); }

 private:
  using Connection = std::unique_ptr<ChangeLogConnection>;

  void on_connected(ChangeLogConnection& connection) override;
  void on_events(ChangeLogConnection& connection) override;
  void on_answer(ChangeLogConnection& connection, std::uint64_t last) override;
  void on_invalid_answer(ChangeLogConnection& connection, const std::string& why) override;
  void on_end(ChangeLogConnection& connection, core::ConnectionEnd end) override;

  void connect(TimeUs now);
  void send_poll(ChangeLogConnection& connection);
  void keep_as_overdue();
  bool detect_log_reset(std::uint64_t last, std::uint64_t since);
  void post_changes(const config::EngineListEvents& changes, bool is_initial_list);
  void post_events(const std::vector<config::EngineListEvent>& events, bool is_initial_list);
  std::vector<config::EngineListEvent> take_events(ChangeLogConnection& connection);
  void set_start_times(std::vector<core::EngineListing>& engines, bool full_list);
  void end_current(core::ConnectionEnd end);  // the next connection comes after a backoff
  void end_overdue(core::ConnectionEnd end);
  void discard(Connection connection, core::ConnectionEnd end);
  TimeUs next_backoff();
  void set_due(TimeUs at) { due_ = at - context_.stalled_time; }

  Context& context_;
  core::Address address_;
  TimeUs connect_timeout_;
  TimeUs poll_timeout_;  // the log answers a poll after this time even if it has no new events
  TimeUs answer_grace_;  // an answer this long after the poll timeout is overdue
  TimeUs max_backoff_;
  TimeUs behind_since_ = 0;  // since when the log's last number is below ours; 0: it is not
  TimeUs last_backoff_ = 0;  // before jitter; 0: the last poll was answered
  std::minstd_rand jitter_random_;
  EngineStarts starts_;
  std::uint64_t last_number_ = 0;  // of the last event that was posted
  ChangeLogBounds bounds_;
  Connection current_;  // null: the next one is due
  Connection overdue_;  // its last answer, or the one that it waits for, is overdue; null: none
  // These exclude `Context::stalled_time`, the time in which this process was stalled.
  TimeUs due_ = 0;            // of the current connection's next step
  TimeUs overdue_until_ = 0;  // when the overdue answer counts as never coming: kSilent
};

}  // namespace orchidgw::net
