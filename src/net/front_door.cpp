#include "net/front_door.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

constexpr TimeUs kSweepEvery = 100'000;
constexpr TimeUs kSettled = 100'000;  // a connection so long without a byte has none on the way

}  // namespace

FrontDoor::FrontDoor(Context& context, int listener, FrontLimits limits, const core::Reducer& reducer)
    : context_(context),
      listener_(context.reactor, listener, *this),
      limits_(limits),
      frame_bytes_{limits.frame_bytes, 0},
      reducer_(reducer) {
  listener_.want_read(true);
}

void FrontDoor::on_readable() { accept_all(); }

void FrontDoor::accept_all() {
  while (true) {
    if (context_.crowded() || (clients_.size() >= limits_.clients && !make_room())) return pause_accepting();
    const int fd = accept_one(listener_.fd());
    if (fd < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM))
      return pause_accepting();
    if (fd < 0) return;
    ++context_.counters.accepted;
    context_.counters.clients.up();
    const core::ClientId id = ++last_id_;
    const auto ended = [this](core::ClientId client, core::ConnectionEnd end) { closed(client, end); };
    const auto ready = [this] { return reducer_.ready(); };
    clients_[id] = std::make_shared<ClientConnection>(context_, id, fd, frame_bytes_, ready, ended);
  }
}

// Guards against silent connections by the hundred: with all places taken, a newcomer gets the place of one
// that never spoke, else of the one idle for longest. Nobody with an open request is put out.
bool FrontDoor::make_room() {
  const TimeUs now = unix_now();
  std::shared_ptr<ClientConnection> least;
  for (const auto& [id, client] : clients_) {
    const bool settled = now - client->quiet_since() > kSettled;
    if (!settled || (client->spoke() && !client->idle()) || has_open_requests(id)) continue;
    const auto rank = [](const ClientConnection& c) { return std::pair(c.spoke(), c.quiet_since()); };
    if (!least || rank(*client) < rank(*least)) least = client;
  }
  if (least) least->close(core::ConnectionEnd::kMadeRoom);
  return least != nullptr;
}

// Guards against running out of descriptors or buffers: who is not accepted waits in the system's line.
void FrontDoor::pause_accepting() {
  if (paused_ || stopping_) return;
  ++context_.counters.accepts_paused;
  context_.log.write(log::Level::kWarn, "no room for more clients: accepting pauses");
  paused_ = true;
  listener_.want_read(false);
}

void FrontDoor::go_on_accepting() {
  if (!paused_ || stopping_ || context_.crowded()) return;
  paused_ = false;
  listener_.want_read(true);
}

void FrontDoor::closed(core::ClientId id, core::ConnectionEnd end) {
  ++context_.counters.client_ends[static_cast<std::size_t>(end)];
  context_.counters.clients.down();
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  context_.closed.push_back(it->second);
  clients_.erase(it);
  context_.post(core::ClientClosed{id});
  go_on_accepting();
}

// Guards against clients that ask for much and read nothing: answers that they leave lying may take all
// memory.
void FrontDoor::shed_unread() {
  while (context_.pool.overdrawn()) {
    const auto most = std::max_element(clients_.begin(), clients_.end(), [](const auto& a, const auto& b) {
      return a.second->unsent() < b.second->unsent();
    });
    if (most == clients_.end() || most->second->unsent() == 0) return;
    context_.log.write(log::Level::kWarn, "memory is short: a client that reads nothing is closed");
    const std::shared_ptr<ClientConnection> client = most->second;
    client->close(core::ConnectionEnd::kSilent);
  }
}

void FrontDoor::between_turns(TimeUs now) {
  shed_unread();
  if (now - swept_at_ < kSweepEvery) return;
  swept_at_ = now;
  sweep(now);
  go_on_accepting();
}

TimeUs FrontDoor::next_sweep() const { return swept_at_ + kSweepEvery; }

void FrontDoor::sweep(TimeUs now) {
  const auto all = clients_;  // some close themselves meanwhile
  for (const auto& [id, client] : all) {
    if (client->paused()) client->read_on();
    client->sweep(now, has_open_requests(id));
    // A stop does not wait for clients that ask for nothing, nor for what they leave half said.
    const bool done = client->unsent() == 0 && !has_open_requests(id);
    if (stopping_ && done && now - client->quiet_since() > kSettled)
      client->close(core::ConnectionEnd::kShutDown);
  }
}

// Guards against a stop that throws away who waits to be accepted: the system counts these as connected.
void FrontDoor::stop_listening() {
  stopping_ = true;
  accept_all();
  listener_.close();
}

void FrontDoor::close_all() {
  while (!clients_.empty()) clients_.begin()->second->close(core::ConnectionEnd::kShutDown);
}

void FrontDoor::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("listener: ") + what);
}

}  // namespace orchidgw::net
