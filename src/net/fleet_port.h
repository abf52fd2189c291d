// All connections to other controllers of the fleet: those that a keeper accepts, and one to each keeper that
// this controller sends messages to. A lost connection is opened again by the first `send` or
// `ensure_connection` after a random delay.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet_config.h"
#include "net/peer_link.h"

namespace orchidgw::net {

class FleetPort final : public ChannelHandler {
 public:
  struct Events {
    // Any message but a Hello, on a link whose peer has sent its Hello.
    std::function<void(std::uint64_t link, fleet::Message)> message;
    std::function<void(std::uint64_t link)> link_closed;  // only for accepted links
    // The connection to that keeper was closed, or could not be opened.
    std::function<void(fleet::KeeperId)> keeper_disconnected;
    std::function<void(const fleet::Hello&)> keeper_hello;  // a keeper's Hello was accepted
  };

  // `listener`: a keeper's listening socket, of which this takes ownership; -1: not a keeper. `self`: sent
  // first on each connection. `seed`: for the random delays of reconnects.
  FleetPort(Context& context, const fleet::FleetConfig& config, fleet::Hello self, int listener,
            std::uint64_t seed, Events events);

  // Sends to that keeper, opening a connection if there is none. False: the message was dropped.
  bool send(fleet::KeeperId to, const fleet::Message& message);
  // Sends on an accepted link. False: the message was dropped.
  bool reply(std::uint64_t link, const fleet::Message& message);
  // Opens a connection to that keeper if there is none; both sides then exchange their Hello.
  void ensure_connection(fleet::KeeperId keeper);
  // For later Hellos: that keeper is known to have a log.
  void add_bootstrapped_keeper(fleet::KeeperId keeper_id);
  // For later Hellos: the position of this keeper's log.
  void set_log_progress(const fleet::LogProgress& at) { self_.at = at; }
  // Closes the connection to a keeper that does not answer; the next message to it goes over a new one.
  void disconnect(fleet::KeeperId keeper);

  void check(TimeUs now);  // closes links whose Hello is overdue
  TimeUs next_due() const;
  std::size_t connections() const { return accepted_.size() + outgoing_.size(); }
  void close_all();

  void on_readable() override;
  void on_writable() override {}
  void on_error() override {}
  void on_failure(const char* what) override;

 private:
  struct Outgoing {
    std::shared_ptr<PeerLink> link;
    TimeUs retry_at = 0;  // not before this time
    TimeUs retry_delay = 0;
  };
  std::shared_ptr<PeerLink> open_link(int fd, bool connected);
  bool connect(fleet::KeeperId to, Outgoing& outgoing);
  void on_message(PeerLink& link, fleet::Message message);
  void on_link_closed(PeerLink& link, const std::string& why);
  std::string mismatch_of(const fleet::Hello& hello) const;  // why it may not connect; empty: it may

  Context& context_;
  fleet::FleetConfig config_;
  fleet::Hello self_;
  Events events_;
  std::unique_ptr<Channel> listener_;
  std::map<std::uint64_t, std::shared_ptr<PeerLink>> accepted_;
  std::map<fleet::KeeperId, Outgoing> outgoing_;
  std::uint64_t last_link_id_ = 0;
  std::uint64_t random_state_;
  TimeUs next_check_ = 0;
};

}  // namespace orchidgw::net
