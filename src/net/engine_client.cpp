#include "net/engine_client.h"

#include <algorithm>
#include <utility>

#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

using core::CallKind;
using core::ConnectionEnd;

// One in so many connections is kept for calls of running attempts: starts may not use it.
constexpr std::size_t kReservedDivisor = 8;

}  // namespace

EngineClient::EngineClient(Context& context, EngineClientLimits limits)
    : context_(context), limits_(limits) {}

EngineClient::Queue EngineClient::queue_of(CallKind kind) {
  switch (kind) {
    case CallKind::kCancel:
    case CallKind::kPriority:
      return kControl;
    case CallKind::kPoll:
    case CallKind::kPage:
      return kReads;
    case CallKind::kStart:
      return kStarts;
  }
  return kStarts;
}

void EngineClient::send(core::SendCall call) {
  const Queue queue = queue_of(call.kind);
  if (waiting_[queue].empty() && try_send(call)) return;
  const TimeUs deadline = monotonic_now() + limits_.connect_timeout;
  waiting_[queue].push_back({std::move(call), deadline});
  update_waiting_count();
}

bool EngineClient::try_send(core::SendCall& call) {
  return send_on_idle_connection(call) || send_on_new_connection(call);
}

bool EngineClient::send_on_idle_connection(core::SendCall& call) {
  const auto it = idle_connections_.find(call.attempt);
  if (it == idle_connections_.end()) return false;
  const ConnectionId id = it->second;
  idle_connections_.erase(it);
  const std::shared_ptr<EngineConnection> connection = connections_.at(id);
  call_connections_[call.call] = id;
  ++context_.counters.reused;
  connection->send(std::move(call));
  if (connection->call()) schedule_check(*connection);
  return true;
}

// True also if connecting failed at once; the call has ended then. False if no connection may be opened now.
bool EngineClient::send_on_new_connection(core::SendCall& call) {
  if (!may_connect(queue_of(call.kind))) return false;
  const ConnectResult connecting = begin_connect(call.address);
  if (connecting.fd < 0 && connecting.end == ConnectionEnd::kNoDescriptor) return false;
  if (connecting.fd < 0) {
    ++context_.counters.engine_ends[static_cast<std::size_t>(connecting.end)];
    end_call(call.call, connecting.end);
    return true;
  }
  ++context_.counters.connected;
  context_.counters.engine_connections.up();
  const ConnectionId id = ++last_connection_id_;
  call_connections_[call.call] = id;
  const TimeUs connect_deadline = monotonic_now() + limits_.connect_timeout;
  auto connection = std::make_shared<EngineConnection>(context_, *this, id, connecting.fd, std::move(call),
                                                       connect_deadline);
  connections_[id] = connection;
  schedule_check(*connection);
  return true;
}

bool EngineClient::may_connect(Queue queue) const {
  const std::size_t reserved = queue == kStarts ? limits_.connections / kReservedDivisor : 0;
  return connections_.size() + reserved < limits_.connections;
}

bool EngineClient::end_waiting(core::CallId call, ConnectionEnd end) {
  for (auto& queue : waiting_) {
    const auto it =
        std::find_if(queue.begin(), queue.end(), [&](const Waiting& w) { return w.call.call == call; });
    if (it == queue.end()) continue;
    queue.erase(it);
    update_waiting_count();
    end_call(call, end);
    return true;
  }
  return false;
}

void EngineClient::drop(core::CallId call) {
  if (end_waiting(call, ConnectionEnd::kDroppedUnsent)) return;
  const auto it = call_connections_.find(call);
  if (it != call_connections_.end()) connections_.at(it->second)->drop();
}

void EngineClient::withdraw(core::CallId call) {
  if (end_waiting(call, ConnectionEnd::kWithdrawn)) return;
  const auto it = call_connections_.find(call);
  if (it == call_connections_.end()) return;
  const std::shared_ptr<EngineConnection> connection = connections_.at(it->second);
  if (connection->connecting()) connection->close(ConnectionEnd::kWithdrawn);
}

void EngineClient::close_idle_connection(core::AttemptId attempt) {
  const auto it = idle_connections_.find(attempt);
  if (it != idle_connections_.end()) connections_.at(it->second)->close(ConnectionEnd::kAttemptOver);
}

void EngineClient::on_answer(EngineConnection& connection, core::CallId call, core::CallAnswer answer) {
  call_connections_.erase(call);
  // Guards against a leaked connection that is neither used nor closed, where two calls of an attempt were in
  // flight at once.
  if (connection.idle() && idle_connections_.count(connection.attempt()) > 0)
    connection.close(ConnectionEnd::kAttemptOver);
  if (connection.idle()) idle_connections_[connection.attempt()] = connection.id();
  context_.post(core::CallAnswered{call, std::move(answer)});
}

void EngineClient::on_closed(EngineConnection& connection, ConnectionEnd end,
                             std::optional<core::CallId> call) {
  ++context_.counters.engine_ends[static_cast<std::size_t>(end)];
  context_.log.write(log::Level::kDebug, log::Component::kNet, "engine connection ended",
                     {{"end", name_of(end)}, {"call", static_cast<std::int64_t>(call.value_or(0))}});
  const auto it = connections_.find(connection.id());
  if (it != connections_.end()) {
    context_.counters.engine_connections.down();
    context_.pending_destruction.push_back(it->second);
    connections_.erase(it);
  }
  const auto idle = idle_connections_.find(connection.attempt());
  if (idle != idle_connections_.end() && idle->second == connection.id()) idle_connections_.erase(idle);
  if (call) end_call(*call, end);
}

void EngineClient::end_call(core::CallId call, ConnectionEnd end) {
  call_connections_.erase(call);
  context_.post(core::CallEnded{call, end});
}

// One timer per connection instead of one per call: guards against timers that pile up on busy connections.
void EngineClient::schedule_check(EngineConnection& connection) {
  const TimeUs due = connection.due();
  if (connection.next_check != 0 && connection.next_check <= due) return;
  connection.next_check = due;
  timers_.set(due, connection.id());
}

void EngineClient::check(TimeUs now) {
  while (const auto due = timers_.pop_due(now)) {
    const auto it = connections_.find(due->second);
    if (it == connections_.end()) continue;
    const std::shared_ptr<EngineConnection> connection = it->second;
    if (connection->next_check != due->first) continue;
    connection->next_check = 0;
    connection->check(now);
    if (connection->call()) schedule_check(*connection);
  }
  expire_waiting(now);
  send_waiting();
  update_waiting_count();
}

void EngineClient::send_waiting() {
  for (auto& queue : waiting_) {
    while (!queue.empty() && try_send(queue.front().call)) queue.pop_front();
  }
}

void EngineClient::expire_waiting(TimeUs now) {
  for (auto& queue : waiting_) {
    while (!queue.empty() && queue.front().deadline <= now) {
      const core::CallId call = queue.front().call.call;
      queue.pop_front();
      end_call(call, ConnectionEnd::kNoDescriptor);
    }
  }
}

void EngineClient::update_waiting_count() {
  std::size_t total = 0;
  for (const auto& queue : waiting_) total += queue.size();
  context_.counters.waiting_calls.set(total);
}

void EngineClient::close_all() {
  while (!connections_.empty()) {
    const std::shared_ptr<EngineConnection> connection = connections_.begin()->second;
    connection->close(ConnectionEnd::kShutDown);
  }
}

}  // namespace orchidgw::net
