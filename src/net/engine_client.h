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

  void start(core::StartCall call);
  void drop(core::CallId call);
  void withdraw(core::CallId call);                   // unless its first byte is on its way
  void close_connection_of(core::AttemptId attempt);  // the idle one that it has
  void check(TimeUs now);                             // time limits, calls that wait
  std::optional<TimeUs> next_due() const { return due_.next_due(); }
  std::size_t connections() const { return connections_.size(); }
  void close_all();

  void answered(EngineConnection& connection, core::CallId call, core::CallAnswer answer) override;
  void begun(EngineConnection& connection) override { watch(connection); }
  void ended(EngineConnection& connection, core::ConnectionEnd end,
             std::optional<core::CallId> call) override;

 private:
  using ConnectionId = std::uint64_t;
  // In the order in which they get a descriptor: giving up, news and pages, new sends.
  enum Line { kGiveUps, kNews, kStarts, kLines };
  struct Waiting {
    core::StartCall call;
    TimeUs until = 0;
  };

  static Line line_of(core::CallKind kind);
  bool place(core::StartCall& call);  // on its attempt's connection or a new one; false if none can be had
  bool reuse(core::StartCall& call);
  bool connect(core::StartCall& call);
  bool may_open(Line line) const;
  void place_waiting();
  void expire_waiting(TimeUs now);
  void watch(EngineConnection& connection);
  void count_waiting();
  bool end_waiting(core::CallId call, core::ConnectionEnd end);  // false: it does not wait
  void end_call(core::CallId call, core::ConnectionEnd end);

  Context& context_;
  EngineClientLimits limits_;
  std::map<ConnectionId, std::shared_ptr<EngineConnection>> connections_;
  // Guards against a late second copy of an answer: bytes that come after their answer meet no other query,
  // as only the calls of one attempt share a connection.
  std::unordered_map<core::AttemptId, ConnectionId> idle_;
  std::unordered_map<core::CallId, ConnectionId> calls_;
  std::array<std::deque<Waiting>, kLines> waiting_;
  core::TimerQueue<ConnectionId> due_;
  ConnectionId last_id_ = 0;
};

}  // namespace orchidgw::net
