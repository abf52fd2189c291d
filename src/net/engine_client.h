// All connections to engines, within their part of the descriptors: calls in, their ends out as events.
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
  std::size_t connections = 1;  // at most
  TimeUs connect_timeout = 0;
};

class EngineClient final : public EngineConnectionOwner {
 public:
  EngineClient(Context& context, EngineClientLimits limits);

  void send(core::StartCall call);
  void drop(core::CallId call);
  void withdraw(core::CallId call);                     // unless its first byte is on its way
  void close_idle_connection(core::AttemptId attempt);  // the idle one that it has
  void check(TimeUs now);                               // time limits, calls that wait
  std::optional<TimeUs> next_due() const { return timers_.next_due(); }
  std::size_t connections() const { return connections_.size(); }
  void close_all();

  void on_answer(EngineConnection& connection, core::CallId call, core::CallAnswer answer) override;
  void on_answer_begun(EngineConnection& connection) override { schedule_check(connection); }
  void on_closed(EngineConnection& connection, core::ConnectionEnd end,
                 std::optional<core::CallId> call) override;

 private:
  using ConnectionId = std::uint64_t;
  // In the order in which they get a descriptor: giving up, news and pages, new sends.
  enum Queue { kControl, kReads, kStarts, kQueueCount };
  struct Waiting {
    core::StartCall call;
    TimeUs deadline = 0;
  };

  static Queue queue_of(core::CallKind kind);
  bool try_send(core::StartCall& call);  // on its attempt's connection or a new one; false if none can be had
  bool send_on_idle_connection(core::StartCall& call);
  bool send_on_new_connection(core::StartCall& call);
  bool may_connect(Queue queue) const;
  void send_waiting();
  void expire_waiting(TimeUs now);
  void schedule_check(EngineConnection& connection);
  void update_waiting_count();
  bool end_waiting(core::CallId call, core::ConnectionEnd end);  // false: it does not wait
  void end_call(core::CallId call, core::ConnectionEnd end);

  Context& context_;
  EngineClientLimits limits_;
  std::map<ConnectionId, std::shared_ptr<EngineConnection>> connections_;
  // Guards against a late second copy of an answer: bytes that come after their answer meet no other query,
  // as only the calls of one attempt share a connection.
  std::unordered_map<core::AttemptId, ConnectionId> idle_connections_;
  std::unordered_map<core::CallId, ConnectionId> call_connections_;
  std::array<std::deque<Waiting>, kQueueCount> waiting_;
  core::TimerQueue<ConnectionId> timers_;
  ConnectionId last_connection_id_ = 0;
};

}  // namespace orchidgw::net
