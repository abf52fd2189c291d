// One connection to an engine. Carries one call at a time and stays open for the next.
#pragma once

#include <functional>
#include <optional>

#include "core/connection_end.h"
#include "core/effects.h"
#include "http/response_parser.h"
#include "http/row_check.h"
#include "net/buffer_pool.h"
#include "net/channel.h"
#include "net/context.h"

namespace orchidgw::net {

class EngineConnection;

// What a connection reports to its owner. Each call that it was given is reported exactly once, by
// `on_answer` or `on_closed`.
class EngineConnectionOwner {
 public:
  virtual ~EngineConnectionOwner() = default;
  virtual void on_answer(EngineConnection& connection, core::CallId call, core::CallAnswer answer) = 0;
  // A part of an answer was read and more is to come: `due` may be earlier now.
  virtual void on_answer_begun(EngineConnection& connection) = 0;
  // The connection was closed. `call`: the unanswered call that it carried, if any.
  virtual void on_closed(EngineConnection& connection, core::ConnectionEnd end,
                         std::optional<core::CallId> call) = 0;
};

class EngineConnection final : public ChannelHandler {
 public:
  EngineConnection(Context& context, EngineConnectionOwner& owner, std::uint64_t id, int fd,
                   core::SendCall call, TimeUs connect_deadline);

  std::uint64_t id() const { return id_; }
  core::AttemptId attempt() const { return attempt_; }
  bool idle() const { return state_ == State::kIdle; }
  bool connecting() const { return state_ == State::kConnecting; }
  std::optional<core::CallId> call() const;

  void send(core::SendCall call);       // only on an idle connection
  TimeUs due() const;                   // when `check` is to be called
  TimeUs next_check = 0;                // for the owner: when it calls `check` next; 0: never
  void check(TimeUs now);               // closes the connection if a time limit has passed
  void drop();                          // gives up the call and closes the connection
  void close(core::ConnectionEnd end);  // reports `on_closed`; no effect on a closed connection

  void on_readable() override;
  void on_writable() override;
  void on_error() override;
  void on_failure(const char* what) override;

 private:
  enum class State { kConnecting, kBusy, kIdle, kClosed };
  void on_connected();
  void write_request();
  void flush();
  bool read_bytes(std::string_view bytes);
  void on_complete_answer(bool no_trailing_bytes);
  core::ConnectionEnd end_by_peer(bool reset) const;

  Context& context_;
  EngineConnectionOwner& owner_;
  std::uint64_t id_;
  core::AttemptId attempt_;
  Channel channel_;
  State state_ = State::kConnecting;
  std::optional<core::SendCall> call_;
  TimeUs connect_started_at_;
  // Times that exclude `Context::stalled_time`. Guards against counting a stall of this process as the
  // engine's silence, while the engine's answer is unread.
  TimeUs connect_deadline_;
  TimeUs answer_deadline_;
  TimeUs last_read_at_ = 0;  // when bytes of an answer were last read
  http::ResponseParser parser_;
  BufferChain unsent_;
  BufferChain body_;
  http::RowValidator row_validator_;
};

}  // namespace orchidgw::net
