#include "net/front_door.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

constexpr TimeUs kSweepEvery = 100'000;
constexpr TimeUs kShutdownSweepEvery = 10'000;
constexpr TimeUs kLookEvery = 20'000;     // for paused clients that left: an attempt after it is soon a break
constexpr TimeUs kLingerFor = 1'000'000;  // a client that was told of the end ends its side meanwhile
constexpr std::size_t kLingerBesides = 16;  // descriptors: so many beside those of the clients' part

}  // namespace

FrontDoor::FrontDoor(Context& context, int listener, FrontLimits limits, const core::Reducer& reducer)
    : context_(context),
      listener_(context.reactor, listener, *this),
      limits_(limits),
      totals_{limits.frame_bytes, 0, 0, false},
      reducer_(reducer) {
  listener_.want_read(true);
}

void FrontDoor::on_readable() { accept_all(); }

bool FrontDoor::accept_all() {
  while (true) {
    if (context_.crowded() || (clients_.size() >= limits_.clients && !make_room())) return no_room();
    const Accepted accepted = accept_one(listener_.fd());
    if (accepted.kind == Accepted::Kind::kNoRoom) return no_room();
    if (accepted.kind == Accepted::Kind::kNobodyWaits) return true;
    ++context_.counters.accepted;
    context_.counters.clients.up();
    const core::ClientId id = ++last_id_;
    const auto ended = [this](core::ClientId client, core::ConnectionEnd end) { closed(client, end); };
    const auto ready = [this] { return reducer_.ready(); };
    clients_[id] = std::make_shared<ClientConnection>(context_, id, accepted.fd, totals_, ready, ended);
  }
}

bool FrontDoor::no_room() {
  pause_accepting();
  return false;
}

// Guards against silent connections by the hundred: with all places taken, a newcomer gets the place of one
// that never spoke, else of the one idle for longest. Nobody with an open request is put out.
bool FrontDoor::make_room() {
  const TimeUs now = monotonic_now();
  std::shared_ptr<ClientConnection> least;
  for (const auto& [id, client] : clients_) {
    if (!client->settled(now) || (client->spoke() && !client->idle()) || has_open_requests(id)) continue;
    const auto rank = [](const ClientConnection& c) { return std::pair(c.spoke(), c.quiet_since()); };
    if (!least || rank(*client) < rank(*least)) least = client;
  }
  // What it said in this moment is read: then it keeps its place, and who comes waits for the next look.
  if (least && least->still_quiet()) least->close(core::ConnectionEnd::kMadeRoom);
  return clients_.size() < limits_.clients;
}

// Guards against running out of descriptors or buffers: who is not accepted waits in the system's line.
void FrontDoor::pause_accepting() {
  if (paused_) return;
  ++context_.counters.accepts_paused;
  context_.log.write(log::Level::kWarn, "no room for more clients: accepting pauses");
  paused_ = true;
  listener_.want_read(false);
}

void FrontDoor::go_on_accepting() {
  if (!paused_ || shutdown_ || context_.crowded()) return;
  paused_ = false;
  listener_.want_read(true);
}

void FrontDoor::closed(core::ClientId id, core::ConnectionEnd end) {
  ++context_.counters.client_ends[static_cast<std::size_t>(end)];
  context_.counters.clients.down();
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  if (it->second->lingers()) {
    lingering_.push_back({it->second, monotonic_now() + kLingerFor});
  } else {
    context_.closed.push_back(it->second);
  }
  clients_.erase(it);
  // Guards against running out of descriptors: the oldest goes without having ended its side.
  if (clients_.size() + lingering_.size() > limits_.clients + kLingerBesides) end_oldest_lingering();
  context_.post(core::ClientClosed{id});
  go_on_accepting();
}

// Guards against clients that ask for much and read nothing: answers that they leave lying may take all
// memory. A client with a request open is spared until that has its answer, by its deadline at the latest: a
// close would leave the request without one. What memory takes meanwhile is bounded by the open requests, as
// nothing new is taken on while it is short.
void FrontDoor::shed_unread() {
  if (!context_.pool.overdrawn()) return;
  const auto all = clients_;  // some close themselves meanwhile
  for (const auto& [id, client] : all)
    if (client->unsent() > 0) client->refuse_held();
  while (context_.pool.overdrawn()) {
    const std::shared_ptr<ClientConnection> client = most_unread_of_those_answered();
    if (!client) return;
    context_.log.write(log::Level::kWarn, "memory is short: a client that reads nothing is closed");
    client->close(core::ConnectionEnd::kSilent);
  }
}

std::shared_ptr<ClientConnection> FrontDoor::most_unread_of_those_answered() const {
  std::shared_ptr<ClientConnection> most;
  for (const auto& [id, client] : clients_) {
    if (client->unsent() == 0 || client->owed() > 0) continue;
    if (!most || client->unsent() > most->unsent()) most = client;
  }
  return most;
}

void FrontDoor::between_turns(TimeUs now) {
  shed_unread();
  end_lingering(now);
  look_for_gone(now);
  if (now - swept_at_ < sweep_every()) return;
  swept_at_ = now;
  sweep(now);
  go_on_accepting();
}

TimeUs FrontDoor::next_sweep() const {
  const TimeUs sweep = swept_at_ + sweep_every();
  return totals_.paused > 0 ? std::min(sweep, looked_at_ + kLookEvery) : sweep;
}

// Guards against attempts for clients that left while they were not read, for memory or for unsent answers:
// nothing tells of a close that lies behind what is unread.
void FrontDoor::look_for_gone(TimeUs now) {
  if (totals_.paused == 0 || now - looked_at_ < kLookEvery) return;
  looked_at_ = now;
  const auto all = clients_;  // some close themselves meanwhile
  for (const auto& [id, client] : all) client->look_if_gone();
}

void FrontDoor::end_lingering(TimeUs now) {
  while (!lingering_.empty() && (!lingering_.front().client->lingers() || lingering_.front().until <= now))
    end_oldest_lingering();
}

void FrontDoor::end_oldest_lingering() {
  lingering_.front().client->end_lingering();
  context_.closed.push_back(std::move(lingering_.front().client));
  lingering_.pop_front();
}

void FrontDoor::sweep(TimeUs now) {
  const auto all = clients_;  // some close themselves meanwhile
  for (const auto& [id, client] : all) {
    if (client->paused()) client->read_on();
    client->sweep(now, has_open_requests(id));
    if (shutdown_) client->shut_down(now, now >= shutdown_->answer_by);
  }
}

void FrontDoor::begin_shutdown(const ShutdownSchedule& schedule) {
  if (shutdown_) return;
  shutdown_ = schedule;
  totals_.shutting_down = true;
}

TimeUs FrontDoor::sweep_every() const { return shutdown_ ? kShutdownSweepEvery : kSweepEvery; }

// Guards against a stop that throws away who waits to be accepted: the system counts these as connected.
bool FrontDoor::stop_listening(bool give_up) {
  if (!accept_all() && !give_up) return false;
  listener_.close();
  return true;
}

void FrontDoor::close_all() {
  while (!clients_.empty()) clients_.begin()->second->close(core::ConnectionEnd::kShutDown);
  end_lingering(std::numeric_limits<TimeUs>::max());
}

void FrontDoor::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("listener: ") + what);
}

}  // namespace orchidgw::net
