// One connection between two controllers of a fleet: framed messages both ways, one Hello first. Bounded in
// what it reads at once and in what waits to be written: past that a message is left out, which both sides'
// protocols bear.
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
    std::function<void(PeerLink&, const std::string& why)> closed;  // once; the link is no use any more
  };

  // `up`: accepted, else it is still connecting.
  PeerLink(Context& context, int fd, bool connected, std::uint64_t id, Events events);

  std::uint64_t id() const { return id_; }
  bool is_open() const { return channel_.is_open(); }
  const std::optional<fleet::Hello>& peer() const { return peer_; }
  void set_peer(fleet::Hello hello) { peer_ = std::move(hello); }
  TimeUs opened_at() const { return opened_at_; }

  // False: too much waits already, the message is left out.
  bool send(const fleet::Message& message);
  void close(const std::string& why);

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
  std::size_t written_bytes_ = 0;  // of `out_`
  std::optional<fleet::Hello> peer_;
  TimeUs opened_at_;
};

}  // namespace orchidgw::net
