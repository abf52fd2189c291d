// One connection to an engine: one call at a time, kept for the next.
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

// What a connection reports to its owner. Each call given to it is reported exactly once.
class EngineConnectionOwner {
 public:
  virtual ~EngineConnectionOwner() = default;
  virtual void on_answer(EngineConnection& connection, core::CallId call, core::CallAnswer answer) = 0;
  // An answer has begun and goes on: what it waits for is due sooner now.
  virtual void on_answer_begun(EngineConnection& connection) = 0;
  // With the call that was on it, if one was. The connection is closed.
  virtual void on_closed(EngineConnection& connection, core::ConnectionEnd end,
                         std::optional<core::CallId> call) = 0;
};

class EngineConnection final : public ChannelHandler {
 public:
  EngineConnection(Context& context, EngineConnectionOwner& owner, std::uint64_t id, int fd,
                   core::StartCall call, TimeUs connect_deadline);

  std::uint64_t id() const { return id_; }
  core::AttemptId attempt() const { return attempt_; }
  bool idle() const { return state_ == State::kIdle; }
  bool connecting() const { return state_ == State::kConnecting; }
  std::optional<core::CallId> call() const;

  void send(core::StartCall call);  // on an idle connection
  TimeUs due() const;               // when `check` has something to do
  TimeUs next_check = 0;            // the owner's note: when it looks next; 0: not at all
  void check(TimeUs now);
  void drop();  // gives its call up
  void close(core::ConnectionEnd end);

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
  std::optional<core::StartCall> call_;
  TimeUs connect_started_at_;
  // On the clock without the time that this process lost: guards against laying its own stall on the engine,
  // whose answer lies unread.
  TimeUs connect_deadline_;
  TimeUs answer_deadline_;
  TimeUs last_read_at_ = 0;  // the last bytes of an answer
  http::ResponseParser parser_;
  BufferChain unsent_;
  BufferChain body_;
  http::RowCheck row_check_;
};

}  // namespace orchidgw::net
