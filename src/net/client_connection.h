// One client: frames in, answers out. Holds no state of a query.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "core/connection_end.h"
#include "core/effects.h"
#include "net/buffer_pool.h"
#include "net/channel.h"
#include "net/context.h"
#include "thrift/frame_reader.h"
#include "thrift/front.h"

namespace orchidgw::net {

// Of all clients together.
struct ClientTotals {
  std::size_t max_buffered_bytes = 0;  // bytes that their unfinished frames may hold
  std::size_t buffered_bytes = 0;      // and do, with what those that are paused asked
  std::size_t paused_clients = 0;      // so many wait for memory, or until they read their answers
  bool shutting_down = false;          // each is closed behind its next answer
};

class ClientConnection final : public ChannelHandler {
 public:
  ClientConnection(Context& context, core::ClientId id, int fd, ClientTotals& totals,
                   std::function<bool()> is_ready,
                   std::function<void(core::ClientId, core::ConnectionEnd)> on_closed);

  void answer(core::AnswerServed& served);
  void answer(const core::AnswerRefused& refused);
  void answer(const core::AnswerFailed& failed);
  void answer(const core::AnswerRejected& rejected);

  void sweep(TimeUs now, bool has_open_requests);  // closes what has stalled
  void resume_reading();                           // buffers are free again
  bool paused() const { return paused_; }
  // Its held calls are answered without being served: it reads nothing, or memory is short.
  void refuse_held_calls();
  void close_if_peer_disconnected();  // of one that is paused: its close may not be read
  // Reads what lies there; true if that is nothing. False of one that is paused: what it said is not known.
  bool confirm_quiet();
  bool idle() const { return output_.empty() && !frame_reader_.inside() && held_calls_.empty(); }
  bool has_sent_message() const { return has_sent_message_; }  // a whole message has come
  TimeUs last_activity_at() const { return last_activity_at_; }
  bool has_nothing_in_transit(TimeUs now) const;  // none of its bytes is on the way
  std::size_t unsent_bytes() const { return output_.size(); }
  // Told to the owner at once; where the other side may not know yet, the descriptor lingers.
  void close(core::ConnectionEnd end);
  // Reads nothing more, and closes once every request that was read has its answer and it is written.
  void close_when_answered(core::ConnectionEnd end);
  // Closes it once it rests or has the answers that are owed; with `force` it rests now.
  void shut_down(TimeUs now, bool force);
  // Requests that were read and neither answered nor given up by the client.
  std::size_t unanswered_requests() const { return unanswered_.size() + held_calls_.size(); }
  bool lingers() const { return lingering_ && channel_.is_open(); }
  void end_lingering() { channel_.close(); }

  void on_readable() override;
  void on_writable() override;
  void on_error() override;
  void on_failure(const char* what) override;

 private:
  bool is_open() const { return channel_.is_open() && !lingering_; }
  void mark_answered(std::int32_t sequence);
  void close_if_answered();
  bool closes_after_answers() const { return closing_end_ || draining_; }
  void read_available();
  void discard_input();
  void catch_up();
  bool parse_frames(std::string_view bytes);
  void handle_call(thrift::FrontCall call);
  void handle_abort(std::int32_t sequence);
  void dispatch_call(const thrift::FrontCall& call, Reason refuse_as);
  thrift::FrontCall pop_held_call();
  bool remove_held_call(std::int32_t sequence);
  bool can_hold_more() const;
  bool reads_for_aborts() const;
  bool should_read() const { return !paused_ || can_hold_more() || reads_for_aborts(); }
  bool update_buffered_bytes();
  void count_invalid_request();
  void send(std::string_view bytes);
  void flush();
  void pause();
  bool is_output_full() const;

  Context& context_;
  core::ClientId id_;
  Channel channel_;
  ClientTotals& totals_;
  std::function<bool()> is_ready_;
  std::function<void(core::ClientId, core::ConnectionEnd)> on_closed_;
  thrift::FrameReader frame_reader_;
  // Of one that is paused: what it asked since, in its order. Aborts do not wait here, and what comes when no
  // more may be held is refused.
  std::deque<thrift::FrontCall> held_calls_;
  std::size_t held_bytes_ = 0;
  BufferChain output_;
  TimeUs last_activity_at_ = 0;                     // the last byte in or out
  TimeUs frame_started_at_ = 0;                     // or the connection, before its first frame
  std::size_t counted_bytes_ = 0;                   // of `totals_`
  int invalid_requests_ = 0;                        // requests that could not be taken
  std::multiset<std::int32_t> unanswered_;          // by their sequence numbers
  std::optional<core::ConnectionEnd> closing_end_;  // once nothing is owed
  // In a shutdown: what still comes is refused, and it is closed once nothing is owed.
  bool draining_ = false;
  bool has_sent_message_ = false;
  bool paused_ = false;
  bool catching_up_ = false;         // reads what waited while it was paused
  bool lingering_ = false;           // closed for its owner; what still comes is thrown away
  std::size_t discarded_bytes_ = 0;  // bytes
};

}  // namespace orchidgw::net
