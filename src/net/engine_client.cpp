#include "net/engine_client.h"

#include <algorithm>
#include <utility>

#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

using core::CallKind;
using core::ConnectionEnd;

constexpr std::size_t kKeptForRunning = 8;  // one part in so many is not for new sends

}  // namespace

EngineClient::EngineClient(Context& context, EngineClientLimits limits)
    : context_(context), limits_(limits) {}

EngineClient::Line EngineClient::line_of(CallKind kind) {
  switch (kind) {
    case CallKind::kGiveUp:
    case CallKind::kPriority:
      return kGiveUps;
    case CallKind::kNews:
    case CallKind::kPage:
      return kNews;
    case CallKind::kStart:
      return kStarts;
  }
  return kStarts;
}

void EngineClient::start(core::StartCall call) {
  const Line line = line_of(call.kind);
  if (waiting_[line].empty() && place(call)) return;
  const TimeUs until = monotonic_now() + limits_.connect_timeout;
  waiting_[line].push_back({std::move(call), until});
  count_waiting();
}

bool EngineClient::place(core::StartCall& call) { return reuse(call) || connect(call); }

bool EngineClient::reuse(core::StartCall& call) {
  const auto it = idle_.find(call.attempt);
  if (it == idle_.end()) return false;
  const ConnectionId id = it->second;
  idle_.erase(it);
  const std::shared_ptr<EngineConnection> connection = connections_.at(id);
  calls_[call.call] = id;
  ++context_.counters.reused;
  connection->give(std::move(call));
  if (connection->call()) watch(*connection);
  return true;
}

// True also if the connection failed at once: the call has ended then.
bool EngineClient::connect(core::StartCall& call) {
  if (!may_open(line_of(call.kind))) return false;
  const Connecting begun = begin_connect(call.address);
  if (begun.fd < 0 && begun.end == ConnectionEnd::kNoDescriptor) return false;
  if (begun.fd < 0) {
    ++context_.counters.engine_ends[static_cast<std::size_t>(begun.end)];
    end_call(call.call, begun.end);
    return true;
  }
  ++context_.counters.connected;
  context_.counters.engine_connections.up();
  const ConnectionId id = ++last_id_;
  calls_[call.call] = id;
  const TimeUs up_by = monotonic_now() + limits_.connect_timeout;
  auto connection = std::make_shared<EngineConnection>(context_, *this, id, begun.fd, std::move(call), up_by);
  connections_[id] = connection;
  watch(*connection);
  return true;
}

bool EngineClient::may_open(Line line) const {
  const std::size_t kept = line == kStarts ? limits_.connections / kKeptForRunning : 0;
  return connections_.size() + kept < limits_.connections;
}

bool EngineClient::end_waiting(core::CallId call, ConnectionEnd end) {
  for (auto& line : waiting_) {
    const auto it =
        std::find_if(line.begin(), line.end(), [&](const Waiting& w) { return w.call.call == call; });
    if (it == line.end()) continue;
    line.erase(it);
    count_waiting();
    end_call(call, end);
    return true;
  }
  return false;
}

void EngineClient::drop(core::CallId call) {
  if (end_waiting(call, ConnectionEnd::kDroppedUnsent)) return;
  const auto it = calls_.find(call);
  if (it != calls_.end()) connections_.at(it->second)->drop();
}

void EngineClient::withdraw(core::CallId call) {
  if (end_waiting(call, ConnectionEnd::kWithdrawn)) return;
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  const std::shared_ptr<EngineConnection> connection = connections_.at(it->second);
  if (connection->connecting()) connection->close(ConnectionEnd::kWithdrawn);
}

void EngineClient::close_connection_of(core::AttemptId attempt) {
  const auto it = idle_.find(attempt);
  if (it != idle_.end()) connections_.at(it->second)->close(ConnectionEnd::kAttemptOver);
}

void EngineClient::answered(EngineConnection& connection, core::CallId call, core::CallAnswer answer) {
  calls_.erase(call);
  // Guards against a connection that nobody gives a call or closes, where two of an attempt were out at once.
  if (connection.idle() && idle_.count(connection.attempt()) > 0)
    connection.close(ConnectionEnd::kAttemptOver);
  if (connection.idle()) idle_[connection.attempt()] = connection.id();
  context_.post(core::CallAnswered{call, std::move(answer)});
}

void EngineClient::ended(EngineConnection& connection, ConnectionEnd end, std::optional<core::CallId> call) {
  ++context_.counters.engine_ends[static_cast<std::size_t>(end)];
  context_.log.write(log::Level::kDebug, log::Component::kNet, "engine connection ended",
                     {{"end", name_of(end)}, {"call", static_cast<std::int64_t>(call.value_or(0))}});
  const auto it = connections_.find(connection.id());
  if (it != connections_.end()) {
    context_.counters.engine_connections.down();
    context_.closed.push_back(it->second);
    connections_.erase(it);
  }
  const auto idle = idle_.find(connection.attempt());
  if (idle != idle_.end() && idle->second == connection.id()) idle_.erase(idle);
  if (call) end_call(*call, end);
}

void EngineClient::end_call(core::CallId call, ConnectionEnd end) {
  calls_.erase(call);
  context_.post(core::CallEnded{call, end});
}

// One timer a connection, not one a call: guards against timers that gather on busy connections.
void EngineClient::watch(EngineConnection& connection) {
  const TimeUs due = connection.due();
  if (connection.watched != 0 && connection.watched <= due) return;
  connection.watched = due;
  due_.set(due, connection.id());
}

void EngineClient::check(TimeUs now) {
  while (const auto due = due_.pop_due(now)) {
    const auto it = connections_.find(due->second);
    if (it == connections_.end()) continue;
    const std::shared_ptr<EngineConnection> connection = it->second;
    if (connection->watched != due->first) continue;
    connection->watched = 0;
    connection->check(now);
    if (connection->call()) watch(*connection);
  }
  expire_waiting(now);
  place_waiting();
  count_waiting();
}

void EngineClient::place_waiting() {
  for (auto& line : waiting_) {
    while (!line.empty() && place(line.front().call)) line.pop_front();
  }
}

void EngineClient::expire_waiting(TimeUs now) {
  for (auto& line : waiting_) {
    while (!line.empty() && line.front().until <= now) {
      const core::CallId call = line.front().call.call;
      line.pop_front();
      end_call(call, ConnectionEnd::kNoDescriptor);
    }
  }
}

void EngineClient::count_waiting() {
  std::size_t all = 0;
  for (const auto& line : waiting_) all += line.size();
  context_.counters.waiting_calls.set(all);
}

void EngineClient::close_all() {
  while (!connections_.empty()) {
    const std::shared_ptr<EngineConnection> connection = connections_.begin()->second;
    connection->close(ConnectionEnd::kShutDown);
  }
}

}  // namespace orchidgw::net
