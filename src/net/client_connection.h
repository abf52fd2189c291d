// The connection of one client: reads frames and writes answers. Holds no state of a query.
#pragma once

#include <cstdint>
#include <deque>
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

// Sums over all client connections.
struct ClientTotals {
  std::size_t max_buffered_bytes = 0;  // limit for `buffered_bytes`
  std::size_t buffered_bytes = 0;      // of unfinished frames and of the held calls of paused clients
  std::size_t paused_clients = 0;      // clients that wait for memory, or have to read their answers first
  bool shutting_down = false;          // each client is closed after its next answer
  bool catching_up = false;            // a client has more to catch up: resume_reading() in the next turn
  std::size_t reads_in_turn = 0;       // calls of ClientConnection::read_available()
  std::size_t reads_in_last_turn = 0;  // likewise
};

// A client is paused while memory is short or too many bytes of its answers are unsent: its calls are held or
// refused, its aborts are still acted on.
class ClientConnection final : public ChannelHandler {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual bool is_ready() const = 0;  // the answer to pings
    // `ClientTotals::buffered_bytes` is over its limit: the owner discards frames.
    virtual void on_buffered_bytes_exceeded() = 0;
    // Called once, when the connection closes; the owner must keep the connection until the next turn.
    virtual void on_client_closed(core::ClientId id, core::ConnectionEnd end) = 0;
  };

  // Takes ownership of `fd`, a connected non-blocking socket. `connected_since`: the earliest time at which
  // the client can have connected.
  ClientConnection(Context& context, core::ClientId id, int fd, TimeUs connected_since, ClientTotals& totals,
                   Owner& owner);

  // Each sends one answer. The pages of a served one are moved out of it.
  void answer(core::AnswerServed& served);
  void answer(const core::AnswerRefused& refused);
  void answer(const core::AnswerFailed& failed);
  void answer(const core::AnswerRejected& rejected);

  // Closes the connection if it is idle for too long or has stalled.
  void sweep(TimeUs now, bool has_open_requests);
  // Ends the pause if memory and unsent answers allow it: dispatches the held calls and reads again.
  void resume_reading();
  bool paused() const { return paused_; }
  // resume_reading() has read a part of what arrived during the pause.
  bool has_more_to_catch_up() const { return has_more_to_catch_up_; }
  // Refuses the held calls, for a client that reads nothing or while memory is short.
  void refuse_held_calls();
  // For paused clients, whose close may lie behind bytes that are not read.
  void close_if_peer_disconnected();
  // Reads what has arrived; true if that is nothing. False if paused: what has arrived is not known then.
  bool confirm_quiet();
  bool idle() const { return output_.empty() && !frame_reader_.in_frame() && held_calls_.empty(); }
  bool has_sent_message() const { return has_sent_message_; }  // at least one whole message was read
  // Monotonic time at which the last byte was read or written.
  TimeUs last_activity_at() const { return last_activity_at_; }
  // The connection has been quiet for long enough that none of its bytes can be on the way.
  bool has_nothing_in_transit(TimeUs now) const;
  std::size_t unsent_bytes() const { return output_.size(); }
  // How much discard_frame() would free, weighted by how long the frame has been arriving; 0: nothing.
  std::uint64_t discard_weight(TimeUs now) const;
  // No byte of the unfinished frame has come for some time, and none waits to be read.
  bool frame_halted(TimeUs now) const;
  // Frees the memory of the unfinished frame. Its request is failed once its last byte is read.
  void discard_frame();
  // Reports the end to the owner at once. Where the client may not know of it yet, the socket lingers.
  void close(core::ConnectionEnd end);
  // Stops reading, and closes once each request that was read has its answer and that is written.
  void close_when_answered(core::ConnectionEnd end);
  // Part of a shutdown: reads once more, then closes the connection if nothing is unanswered, unsent or on
  // the way. With `force` it closes as soon as its requests are answered.
  void shut_down(TimeUs now, bool force);
  // Requests that were read and neither answered nor aborted by the client.
  std::size_t unanswered_requests() const { return unanswered_.size() + held_calls_.size(); }
  // Closed for the owner; the socket is open until the client has closed its side.
  bool lingers() const { return lingering_ && channel_.is_open(); }
  void end_lingering() { channel_.close(); }

  void on_readable() override;
  void on_writable() override;
  void on_error() override;
  void on_failure(const char* what) override;

 private:
  struct HeldCall {
    thrift::FrontCall call;
    TimeUs arrived_at = 0;
  };

  bool is_open() const { return channel_.is_open() && !lingering_; }
  void mark_answered(std::int32_t sequence);
  void close_if_answered();
  bool closes_after_answers() const { return closing_end_ || draining_; }
  void read_available();
  void read_input();
  // What may be read in one call of read_available(), so that a turn stays short however many clients write.
  std::size_t max_bytes_per_event() const;
  std::size_t max_calls_per_event() const;
  void discard_input();
  // Reads what arrived during the pause before held calls are dispatched. False: there is more to read.
  bool catch_up();
  void watch_input(bool on);
  bool parse_frames(std::string_view bytes);
  void handle_call(thrift::FrontCall call);
  void handle_abort(std::int32_t sequence);
  void dispatch_call(const HeldCall& held, Reason refusal_reason);
  HeldCall pop_held_call();
  // Refuses the held calls whose clients' time is nearly over.
  void refuse_overdue_held_calls(TimeUs now);
  bool remove_held_call(std::int32_t sequence);
  bool can_hold_more() const;
  bool reads_for_aborts() const;
  bool should_read() const { return !paused_ || can_hold_more() || reads_for_aborts(); }
  // Closes a client whose frame has taken too long, unless more of it waits to be read.
  void end_overdue_frame(TimeUs now);
  void count_buffered_bytes();
  void update_buffered_bytes();
  void count_invalid_request();
  void send(std::string_view bytes);
  void flush();
  void pause();
  bool is_output_full() const;

  Context& context_;
  core::ClientId id_;
  Channel channel_;
  ClientTotals& totals_;
  Owner& owner_;
  thrift::FrameReader frame_reader_;
  // The calls that a paused client has sent since, in their order. Aborts are not held, and calls beyond the
  // bounds are refused.
  std::deque<HeldCall> held_calls_;
  std::size_t held_bytes_ = 0;
  BufferChain output_;
  // The earliest time at which what is not read yet can have arrived; none: nothing was left unread when the
  // input was last watched, so `Context::earliest_arrival` applies.
  std::optional<TimeUs> unread_since_;
  TimeUs last_activity_at_ = 0;                     // monotonic time of the last byte read or written
  TimeUs frame_started_at_ = 0;                     // before the first frame: start of the connection
  std::size_t counted_bytes_ = 0;                   // this connection's part of `totals_.buffered_bytes`
  int invalid_requests_ = 0;                        // requests that broke the protocol's rules
  std::multiset<std::int32_t> unanswered_;          // sequence numbers of requests without an answer
  std::optional<core::ConnectionEnd> closing_end_;  // if set: closes with this end once all are answered
  // In a shutdown: new requests are refused, and the connection closes once all are answered.
  bool draining_ = false;
  bool has_sent_message_ = false;
  bool paused_ = false;
  bool has_more_to_catch_up_ = false;
  bool defers_writes_ = false;       // in read_available(): answers are written at its end
  std::size_t calls_in_event_ = 0;   // read in this call of read_available()
  bool catching_up_ = false;         // in catch_up(): reads what arrived during the pause
  bool lingering_ = false;           // closed for its owner; what still arrives is discarded
  std::size_t discarded_bytes_ = 0;  // while lingering
};

}  // namespace orchidgw::net
