// All connections to engines, up to a limit of connections. Takes calls and posts the outcome of each as an
// event.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "core/effects.h"
#include "core/timer_queue.h"
#include "net/context.h"
#include "net/engine_connection.h"

namespace orchidgw::net {

struct EngineClientLimits {
  std::size_t connections = 1;  // the most that may be open
  TimeUs connect_timeout = 0;
};

class EngineClient final : public EngineConnectionOwner {
 public:
  EngineClient(Context& context, EngineClientLimits limits);

  // Sends the call, or queues it while no connection is to be had. Each call ends with exactly one
  // CallAnswered or CallEnded event.
  void send(core::SendCall call);
  void drop(core::CallId call);  // ends the call; closes its connection if it has one
  // Ends the call if it waits for a connection or its connection is still being opened; else has no effect.
  void withdraw(core::CallId call);
  void close_idle_connection(core::AttemptId attempt);  // closes the attempt's connection if it is idle
  void check(TimeUs now);  // enforces time limits and sends waiting calls; once a turn
  std::optional<TimeUs> next_due() const { return timers_.next_due(); }
  std::size_t connections() const { return connections_.size(); }
  void close_all();

  void on_answer(EngineConnection& connection, core::CallId call, core::CallAnswer answer) override;
  void on_answer_begun(EngineConnection& connection) override { schedule_check(connection); }
  void on_closed(EngineConnection& connection, core::ConnectionEnd end,
                 std::optional<core::CallId> call) override;

 private:
  using ConnectionId = std::uint64_t;
  // In the order in which waiting calls get a connection: cancels and priority changes, polls and pages,
  // starts.
  enum Queue { kControl, kReads, kStarts, kQueueCount };
  struct Waiting {
    core::SendCall call;
    TimeUs deadline = 0;
  };

  static Queue queue_of(core::CallKind kind);
  // On the connection of its attempt or on a new one; false if none can be had.
  bool try_send(core::SendCall& call);
  bool send_on_idle_connection(core::SendCall& call);
  bool send_on_new_connection(core::SendCall& call);
  bool may_connect(Queue queue) const;
  void send_waiting();
  void expire_waiting(TimeUs now);
  void schedule_check(EngineConnection& connection);
  void update_waiting_count();
  bool end_waiting(core::CallId call, core::ConnectionEnd end);  // false: the call is not waiting
  void end_call(core::CallId call, core::ConnectionEnd end);

  Context& context_;
  EngineClientLimits limits_;
  std::map<ConnectionId, std::shared_ptr<EngineConnection>> connections_;
  // By attempt. Guards against a late duplicate of an answer: only the calls of one attempt share a
  // connection, so bytes behind an answer are never taken for the answer to another query.
  std::unordered_map<core::AttemptId, ConnectionId> idle_connections_;
  std::unordered_map<core::CallId, ConnectionId> call_connections_;
  std::array<std::deque<Waiting>, kQueueCount> waiting_;
  core::TimerQueue<ConnectionId> timers_;
  ConnectionId last_connection_id_ = 0;
};

}  // namespace orchidgw::net
