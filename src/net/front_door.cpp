#include "net/front_door.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

constexpr TimeUs kSweepInterval = 100'000;
constexpr TimeUs kShutdownSweepInterval = 10'000;
// For paused clients: an attempt that starts too long after its client's disconnect is a violation.
constexpr TimeUs kDisconnectCheckInterval = 20'000;
constexpr TimeUs kLingerTimeout = 1'000'000;    // within it a client closes its side of the connection
constexpr std::size_t kMaxExtraLingering = 16;  // descriptors in addition to those for connected clients

}  // namespace

ClientListener::ClientListener(Context& context, int listener, ClientListenerLimits limits,
                               const core::Reducer& reducer)
    : context_(context),
      listener_(context.reactor, listener, *this),
      limits_(limits),
      totals_{.max_buffered_bytes = limits.frame_bytes},
      reducer_(reducer) {
  listener_.want_read(true);
}

void ClientListener::on_readable() { accept_all(); }

bool ClientListener::accept_all() {
  const TimeUs connected_since =
      std::exchange(unaccepted_since_, std::nullopt).value_or(context_.earliest_arrival);
  while (true) {
    if (context_.under_memory_pressure() || (clients_.size() >= limits_.clients && !evict_idle_client()))
      return pause_at_capacity(connected_since);
    const AcceptResult accepted = accept_one(listener_.fd());
    if (accepted.kind == AcceptResult::Kind::kNoResources) return pause_at_capacity(connected_since);
    if (accepted.kind == AcceptResult::Kind::kNonePending) return true;
    ++context_.counters.accepted_connections;
    context_.counters.clients.up();
    const core::ClientId id = ++last_id_;
    ClientConnection::Owner& owner = *this;
    clients_[id] =
        std::make_shared<ClientConnection>(context_, id, accepted.fd, connected_since, totals_, owner);
  }
}

bool ClientListener::pause_at_capacity(TimeUs connected_since) {
  unaccepted_since_ = connected_since;
  pause_accepting();
  return false;
}

// Guards against hundreds of silent connections: at the limit, a connection that never sent a message is
// closed for a new one, else the one that has been idle for longest. Clients with an open request are never
// evicted.
bool ClientListener::evict_idle_client() {
  const TimeUs now = monotonic_now();
  std::shared_ptr<ClientConnection> candidate;
  for (const auto& [id, client] : clients_) {
    if (!client->has_nothing_in_transit(now) || (client->has_sent_message() && !client->idle()) ||
        has_open_requests(id))
      continue;
    const auto rank = [](const ClientConnection& c) {
      return std::pair(c.has_sent_message(), c.last_activity_at());
    };
    if (!candidate || rank(*client) < rank(*candidate)) candidate = client;
  }
  // What has just arrived from it is read: then it is not evicted, and the new connection waits until
  // accepting is tried again.
  if (candidate && candidate->confirm_quiet()) candidate->close(core::ConnectionEnd::kEvicted);
  return clients_.size() < limits_.clients;
}

// Guards against running out of descriptors or buffers: connections that are not accepted wait in the
// kernel's accept queue.
void ClientListener::pause_accepting() {
  if (paused_) return;
  ++context_.counters.accepts_paused;
  context_.log.write(log::Level::kWarn, "no room for more clients: accepting pauses");
  paused_ = true;
  listener_.want_read(false);
}

void ClientListener::resume_accepting() {
  if (!paused_ || shutdown_ || context_.under_memory_pressure()) return;
  paused_ = false;
  if (!has_input(listener_.fd())) unaccepted_since_.reset();
  listener_.want_read(true);
}

void ClientListener::on_client_closed(core::ClientId id, core::ConnectionEnd end) {
  ++context_.counters.client_ends[static_cast<std::size_t>(end)];
  context_.counters.clients.down();
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  if (it->second->lingers()) {
    lingering_.push_back({it->second, monotonic_now() + kLingerTimeout});
  } else {
    context_.pending_destruction.push_back(it->second);
  }
  clients_.erase(it);
  // Guards against running out of descriptors: the oldest is closed although the client has not closed its
  // side.
  if (clients_.size() + lingering_.size() > limits_.clients + kMaxExtraLingering) end_oldest_lingering();
  context_.post(core::ClientClosed{id});
  resume_accepting();
}

void ClientListener::on_buffered_bytes_exceeded() {
  const TimeUs now = monotonic_now();
  while (totals_.buffered_bytes > totals_.max_buffered_bytes) {
    const std::shared_ptr<ClientConnection> client = find_frame_to_discard(now);
    if (!client) return;
    client->discard_frame();
  }
}

// Guards against clients that fill the bound with frames which they don't finish, at the cost of the others:
// of the frames that have come to a halt the one of the largest weight goes first, then that of the others. A
// frame whose bytes wait to be read, as this process was stalled, has not come to a halt.
std::shared_ptr<ClientConnection> ClientListener::find_frame_to_discard(TimeUs now) const {
  std::shared_ptr<ClientConnection> halted;
  std::shared_ptr<ClientConnection> moving;
  std::uint64_t halted_weight = 0;
  std::uint64_t moving_weight = 0;
  for (const auto& [id, client] : clients_) {
    const std::uint64_t weight = client->discard_weight(now);
    if (weight > halted_weight && client->frame_halted(now)) {
      halted = client;
      halted_weight = weight;
    }
    if (weight > moving_weight) {
      moving = client;
      moving_weight = weight;
    }
  }
  return halted ? halted : moving;
}

// Guards against clients that request much and read nothing: their unread answers could use all memory. A
// client with an open request is not closed until the request has its answer, by its deadline at the latest:
// closing it would leave the request without one. The memory used meanwhile is bounded by the open requests,
// as no new ones are accepted while memory is short.
void ClientListener::reclaim_unread_answers() {
  if (!context_.pool.over_limit()) return;
  const auto snapshot = clients_;  // clients that close themselves are removed from clients_ during the loop
  for (const auto& [id, client] : snapshot)
    if (client->unsent_bytes() > 0) client->refuse_held_calls();
  while (context_.pool.over_limit()) {
    const std::shared_ptr<ClientConnection> client = find_answered_client_with_most_unsent();
    if (!client) return;
    context_.log.write(log::Level::kWarn, "memory is short: a client that reads nothing is closed");
    client->close(core::ConnectionEnd::kSilent);
  }
}

std::shared_ptr<ClientConnection> ClientListener::find_answered_client_with_most_unsent() const {
  std::shared_ptr<ClientConnection> largest;
  for (const auto& [id, client] : clients_) {
    if (client->unsent_bytes() == 0 || client->unanswered_requests() > 0) continue;
    if (!largest || client->unsent_bytes() > largest->unsent_bytes()) largest = client;
  }
  return largest;
}

void ClientListener::continue_catching_up() {
  if (!std::exchange(totals_.catching_up, false)) return;
  const auto snapshot = clients_;  // clients that close themselves are removed from clients_ during the loop
  for (const auto& [id, client] : snapshot)
    if (client->has_more_to_catch_up()) client->resume_reading();
  if (totals_.catching_up) context_.reactor.skip_next_wait();
}

void ClientListener::between_turns(TimeUs now) {
  totals_.reads_in_last_turn = std::exchange(totals_.reads_in_turn, 0);
  reclaim_unread_answers();
  continue_catching_up();
  end_lingering(now);
  close_disconnected_clients(now);
  if (now - last_sweep_at_ < sweep_interval()) return;
  last_sweep_at_ = now;
  sweep(now);
  resume_accepting();
}

TimeUs ClientListener::next_sweep_at() const {
  const TimeUs sweep = last_sweep_at_ + sweep_interval();
  return totals_.paused_clients > 0 ? std::min(sweep, last_disconnect_check_at_ + kDisconnectCheckInterval)
                                    : sweep;
}

// Guards against attempts for clients that disconnected while nothing was read from them, because of memory
// or of unsent answers: the reactor does not report a close that comes after unread bytes.
void ClientListener::close_disconnected_clients(TimeUs now) {
  if (totals_.paused_clients == 0 || now - last_disconnect_check_at_ < kDisconnectCheckInterval) return;
  last_disconnect_check_at_ = now;
  const auto snapshot = clients_;  // clients that close themselves are removed from clients_ during the loop
  for (const auto& [id, client] : snapshot) client->close_if_peer_disconnected();
}

void ClientListener::end_lingering(TimeUs now) {
  while (!lingering_.empty() && (!lingering_.front().client->lingers() || lingering_.front().until <= now))
    end_oldest_lingering();
}

void ClientListener::end_oldest_lingering() {
  lingering_.front().client->end_lingering();
  context_.pending_destruction.push_back(std::move(lingering_.front().client));
  lingering_.pop_front();
}

void ClientListener::sweep(TimeUs now) {
  const auto snapshot = clients_;  // clients that close themselves are removed from clients_ during the loop
  for (const auto& [id, client] : snapshot) {
    if (client->paused()) client->resume_reading();
    client->sweep(now, has_open_requests(id));
    if (shutdown_) client->shut_down(now, now >= shutdown_->answer_by);
  }
}

void ClientListener::begin_shutdown(const ShutdownSchedule& schedule) {
  if (shutdown_) return;
  shutdown_ = schedule;
  totals_.shutting_down = true;
}

TimeUs ClientListener::sweep_interval() const { return shutdown_ ? kShutdownSweepInterval : kSweepInterval; }

// Guards against a shutdown that drops connections waiting to be accepted: for their clients they are
// connected already.
bool ClientListener::stop_listening(bool force) {
  if (!accept_all() && !force) return false;
  listener_.close();
  return true;
}

void ClientListener::close_all() {
  while (!clients_.empty()) clients_.begin()->second->close(core::ConnectionEnd::kShutDown);
  end_lingering(std::numeric_limits<TimeUs>::max());
}

void ClientListener::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("listener: ") + what);
}

}  // namespace orchidgw::net
