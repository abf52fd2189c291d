// One client: frames in, answers out. Holds no state of a query.
#pragma once

#include <functional>
#include <string>

#include "core/connection_end.h"
#include "core/effects.h"
#include "net/buffer_pool.h"
#include "net/channel.h"
#include "net/context.h"
#include "thrift/frame_reader.h"
#include "thrift/front.h"

namespace orchidgw::net {

// Bytes that all clients' unfinished frames hold together, and their bound.
struct FrameBytes {
  std::size_t most = 0;
  std::size_t held = 0;
};

class ClientConnection final : public ChannelHandler {
 public:
  ClientConnection(Context& context, core::ClientId id, int fd, FrameBytes& frame_bytes,
                   std::function<bool()> ready,
                   std::function<void(core::ClientId, core::ConnectionEnd)> closed);

  void answer(core::AnswerServed& served);
  void answer(const core::AnswerRefused& refused);
  void answer(const core::AnswerFailed& failed);
  void answer(const core::AnswerRejected& rejected);

  void sweep(TimeUs now, bool has_open_requests);  // closes what has stalled
  void read_on();                                  // buffers are free again
  bool paused() const { return paused_; }
  bool idle() const { return out_.empty() && !frames_.inside(); }
  bool spoke() const { return spoke_; }  // a whole message has come
  TimeUs quiet_since() const { return moved_at_; }
  std::size_t unsent() const { return out_.size(); }
  void close(core::ConnectionEnd end);

  void on_readable() override;
  void on_writable() override;
  void on_error() override;
  void on_failure(const char* what) override;

 private:
  bool take_frames(std::string_view bytes);
  bool take_call(const thrift::FrontCall& call);
  bool count_frame_bytes();
  void count_unusable();
  void send(std::string_view bytes);
  void flush();
  void pause();
  bool is_full() const;

  Context& context_;
  core::ClientId id_;
  Channel channel_;
  FrameBytes& frame_bytes_;
  std::function<bool()> ready_;
  std::function<void(core::ClientId, core::ConnectionEnd)> closed_;
  thrift::FrameReader frames_;
  BufferChain out_;
  TimeUs moved_at_ = 0;            // the last byte in or out
  TimeUs frame_begun_at_ = 0;      // or the connection, before its first frame
  std::size_t frame_counted_ = 0;  // of `frame_bytes_`
  int unusable_ = 0;               // requests that could not be taken
  bool spoke_ = false;
  bool paused_ = false;
};

}  // namespace orchidgw::net
