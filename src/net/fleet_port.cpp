#include "net/fleet_port.h"

#include <algorithm>
#include <utility>

#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

constexpr TimeUs kCheckInterval = 250'000;
constexpr TimeUs kHelloTimeout = 2'000'000;
constexpr TimeUs kMinRetryDelay = 50'000, kMaxRetryDelay = 1'000'000;  // before a connection is tried again

}  // namespace

FleetPort::FleetPort(Context& context, const fleet::FleetConfig& config, fleet::Hello self, int listener,
                     std::uint64_t seed, Events events)
    : context_(context),
      config_(config),
      self_(std::move(self)),
      events_(std::move(events)),
      random_state_(seed | 1) {
  if (listener < 0) return;
  listener_ = std::make_unique<Channel>(context.reactor, listener, *this);
  listener_->want_read(true);
}

std::shared_ptr<PeerLink> FleetPort::open_link(int fd, bool connected) {
  const PeerLink::Events events = {
      [this](PeerLink& link, fleet::Message message) { on_message(link, std::move(message)); },
      [this](PeerLink& link, const std::string& why) { on_link_closed(link, why); }};
  auto link = std::make_shared<PeerLink>(context_, fd, connected, ++last_link_id_, events);
  link->send(self_);
  return link;
}

void FleetPort::on_readable() {
  // Each member has one connection here, and a second one while an old one is not yet known to be dead. So do
  // keepers.
  const std::size_t max_links = 2 * static_cast<std::size_t>(config_.largest) + 4 * config_.keepers.size();
  while (true) {
    const AcceptResult accepted = accept_one(listener_->fd());
    if (accepted.kind != AcceptResult::Kind::kClient) return;
    auto link = open_link(accepted.fd, true);
    if (!link->is_open()) continue;
    accepted_[link->id()] = link;
    if (accepted_.size() <= max_links) continue;
    // Guards against running out of descriptors: the oldest is closed; if its peer is alive it reconnects.
    accepted_.begin()->second->close("more connections than the fleet has members");
  }
}

std::string FleetPort::mismatch_of(const fleet::Hello& hello) const {
  if (hello.version != fleet::kProtocolVersion) return "speaks version " + std::to_string(hello.version);
  if (hello.fleet != config_.name || hello.number != config_.number)
    return "is of fleet " + hello.fleet + " " + std::to_string(hello.number);
  return "";
}

void FleetPort::on_message(PeerLink& link, fleet::Message message) {
  if (const auto* hello = std::get_if<fleet::Hello>(&message)) {
    const std::string mismatch = mismatch_of(*hello);
    if (mismatch.empty()) {
      link.set_peer(*hello);
      if (hello->keeper != 0) events_.keeper_hello(*hello);
      return;
    }
    context_.log.write(log::Level::kWarn, log::Component::kFleet, "a stranger is turned away",
                       {{"name", hello->from.name}, {"why", mismatch}});
    return link.close(mismatch);
  }
  if (!link.peer()) return link.close("first message is not a Hello");
  events_.message(link.id(), std::move(message));
}

void FleetPort::on_link_closed(PeerLink& link, const std::string& why) {
  if (const auto it = accepted_.find(link.id()); it != accepted_.end()) {
    context_.pending_destruction.push_back(it->second);
    accepted_.erase(it);
    return events_.link_closed(link.id());
  }
  for (auto& [keeper, outgoing] : outgoing_) {
    if (outgoing.link.get() != &link) continue;
    context_.pending_destruction.push_back(std::move(outgoing.link));
    outgoing.link = nullptr;
    // Exponential backoff with jitter: members that lost a keeper do not all reconnect to it at once.
    outgoing.retry_delay =
        link.peer() ? kMinRetryDelay : std::clamp(outgoing.retry_delay * 2, kMinRetryDelay, kMaxRetryDelay);
    random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto spread = static_cast<TimeUs>(random_state_ >> 33) % outgoing.retry_delay;
    outgoing.retry_at = monotonic_now() + outgoing.retry_delay / 2 + spread;
    context_.log.write(log::Level::kDebug, log::Component::kFleet, "connection to a keeper closed",
                       {{"keeper", static_cast<std::int64_t>(keeper)}, {"why", why}});
    return events_.keeper_disconnected(keeper);
  }
}

bool FleetPort::connect(fleet::KeeperId to, Outgoing& outgoing) {
  if (monotonic_now() < outgoing.retry_at) return false;
  for (const fleet::KeeperEndpoint& keeper : config_.keepers) {
    if (keeper.id != to) continue;
    const ConnectResult connecting = begin_connect(keeper.address);
    outgoing.retry_delay = std::clamp(outgoing.retry_delay * 2, kMinRetryDelay, kMaxRetryDelay);
    outgoing.retry_at = monotonic_now() + outgoing.retry_delay;
    if (connecting.fd < 0) return false;
    outgoing.link = open_link(connecting.fd, false);
    return true;
  }
  return false;
}

bool FleetPort::send(fleet::KeeperId to, const fleet::Message& message) {
  Outgoing& outgoing = outgoing_[to];
  if (!outgoing.link && !connect(to, outgoing)) return false;
  const std::shared_ptr<PeerLink> link = outgoing.link;  // kept alive if `send` closes it
  return link->send(message);
}

void FleetPort::ensure_connection(fleet::KeeperId keeper) {
  Outgoing& outgoing = outgoing_[keeper];
  if (!outgoing.link) connect(keeper, outgoing);
}

// Only keepers of the file are added: guards against invalid ids in messages.
void FleetPort::add_bootstrapped_keeper(fleet::KeeperId keeper_id) {
  const bool is_configured =
      std::any_of(config_.keepers.begin(), config_.keepers.end(),
                  [keeper_id](const fleet::KeeperEndpoint& one) { return one.id == keeper_id; });
  const bool known =
      std::find(self_.bootstrapped.begin(), self_.bootstrapped.end(), keeper_id) != self_.bootstrapped.end();
  if (is_configured && !known) self_.bootstrapped.push_back(keeper_id);
}

bool FleetPort::reply(std::uint64_t link, const fleet::Message& message) {
  const auto it = accepted_.find(link);
  if (it == accepted_.end()) return false;
  const std::shared_ptr<PeerLink> held_link = it->second;
  return held_link->send(message);
}

void FleetPort::disconnect(fleet::KeeperId keeper) {
  const auto it = outgoing_.find(keeper);
  if (it == outgoing_.end() || !it->second.link) return;
  const std::shared_ptr<PeerLink> link = it->second.link;
  link->close("no answer in time");
}

void FleetPort::check(TimeUs now) {
  if (now < next_check_) return;
  next_check_ = now + kCheckInterval;
  std::vector<std::shared_ptr<PeerLink>> silent;
  const auto collect_silent = [&](const std::shared_ptr<PeerLink>& link) {
    if (link && !link->peer() && now - link->opened_at() > kHelloTimeout) silent.push_back(link);
  };
  for (const auto& [id, link] : accepted_) collect_silent(link);
  for (const auto& [id, outgoing] : outgoing_) collect_silent(outgoing.link);
  for (const auto& link : silent) link->close("no Hello in time");
}

TimeUs FleetPort::next_due() const { return next_check_; }

void FleetPort::close_all() {
  std::vector<std::shared_ptr<PeerLink>> all;
  for (const auto& [id, link] : accepted_) all.push_back(link);
  for (const auto& [id, outgoing] : outgoing_)
    if (outgoing.link) all.push_back(outgoing.link);
  for (const auto& link : all) link->close("this controller is stopping");
  if (listener_) listener_->close();
}

void FleetPort::on_failure(const char* what) {
  context_.log.write(log::Level::kError, log::Component::kFleet, std::string("fleet port: ") + what);
}

}  // namespace orchidgw::net
