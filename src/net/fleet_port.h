// All connections to other controllers of the fleet: those that keepers accept, and one to each keeper that
// this controller has something to say to. Comes back after a break by itself, spread over time.
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
    std::function<void(std::uint64_t link, fleet::Message)> message;  // after its Hello
    std::function<void(std::uint64_t link)> link_closed;              // of those that were accepted
    std::function<void(fleet::KeeperId)> keeper_disconnected;  // the connection to it, or it never came up
    std::function<void(const fleet::Hello&)> keeper_hello;
  };

  // `listener`: owned from here on; -1: this controller keeps nothing. `seed`: of how reconnects are spread.
  FleetPort(Context& context, const fleet::FleetConfig& config, fleet::Hello self, int listener,
            std::uint64_t seed, Events events);

  // Over the connection to that keeper, which is opened where there is none; false: it is left out.
  bool send(fleet::KeeperId to, const fleet::Message& message);
  bool reply(std::uint64_t link, const fleet::Message& message);
  // Opens a connection to that keeper where there is none: each side greets the other.
  void ensure_connection(fleet::KeeperId keeper);
  void add_begun_keeper(fleet::KeeperId begun);                           // said in later greetings
  void set_log_standing(const fleet::LogStanding& at) { self_.at = at; }  // likewise
  void disconnect(
      fleet::KeeperId keeper);  // it does not answer: the next word to it goes over a new connection
  void check(TimeUs now);       // time limits
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
    TimeUs retry_at = 0;  // of the next try
    TimeUs retry_delay = 0;
  };
  std::shared_ptr<PeerLink> open_link(int fd, bool connected);
  bool connect(fleet::KeeperId to, Outgoing& outgoing);
  void on_message(PeerLink& link, fleet::Message message);
  void on_link_closed(PeerLink& link, const std::string& why);
  std::string mismatch_of(const fleet::Hello& hello) const;  // empty: it belongs here

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
