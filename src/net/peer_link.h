// One connection between two controllers of a fleet: framed messages in both directions, a Hello first.
// Limits how much it reads at once and how much may wait to be written. Messages beyond that are dropped,
// which the protocols of both sides tolerate.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "fleet/messages.h"
#include "net/channel.h"
#include "net/context.h"
#include "thrift/frame_reader.h"

namespace orchidgw::net {

class PeerLink final : public ChannelHandler {
 public:
  struct Events {
    std::function<void(PeerLink&, fleet::Message)> message;
    std::function<void(PeerLink&, const std::string& why)> closed;  // once; the link can't be used any more
  };

  // `connected`: the socket was accepted; else its connect is still in progress.
  PeerLink(Context& context, int fd, bool connected, std::uint64_t id, Events events);

  std::uint64_t id() const { return id_; }
  bool is_open() const { return channel_.is_open(); }
  // Who the peer is, once the owner has accepted its Hello with `set_peer`.
  const std::optional<fleet::Hello>& peer() const { return peer_; }
  void set_peer(fleet::Hello hello) { peer_ = std::move(hello); }
  TimeUs opened_at() const { return opened_at_; }

  // False: the link is closed, or too much is unsent already; the message was dropped.
  bool send(const fleet::Message& message);
  void close(const std::string& why);  // calls `closed`; no effect on a closed link

  void on_readable() override;
  void on_writable() override;
  void on_error() override;
  void on_failure(const char* what) override;

 private:
  void on_connected();
  void flush();

  Context& context_;
  std::uint64_t id_;
  Events events_;
  Channel channel_;
  bool connected_;
  thrift::FrameReader frames_;
  std::string unsent_;
  std::size_t written_bytes_ = 0;  // of `unsent_`
  std::optional<fleet::Hello> peer_;
  TimeUs opened_at_;
};

}  // namespace orchidgw::net
