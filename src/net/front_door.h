// The listening socket and all client connections. Bounds their number, so that they stay within their part
// of the process's file descriptors.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "core/effects.h"
#include "core/reducer.h"
#include "decision/shutdown_schedule.h"
#include "net/channel.h"
#include "net/client_connection.h"
#include "net/context.h"

namespace orchidgw::net {

struct ClientListenerLimits {
  std::size_t clients = 1;      // maximum number of connected clients
  std::size_t frame_bytes = 0;  // maximum bytes of the unfinished frames and held calls of all clients
};

class ClientListener final : public ChannelHandler, private ClientConnection::Owner {
 public:
  // Takes ownership of `listener`, a listening, non-blocking socket. `context` and `reducer` must outlive
  // this object.
  ClientListener(Context& context, int listener, ClientListenerLimits limits, const core::Reducer& reducer);

  // Sends an answer of the reducer to its client; does nothing if that client has disconnected.
  template <typename Answer>
  void answer(Answer& answer) {
    const auto it = clients_.find(answer.client);
    if (it != clients_.end()) it->second->answer(answer);
  }

  // Periodic work, to be called once in each turn of the event loop with the monotonic time: frees memory,
  // ends lingering connections, detects disconnected clients and closes stalled ones.
  void between_turns(TimeUs now);
  // Monotonic time at which `between_turns` has to run again at the latest.
  TimeUs next_sweep_at() const;
  // From now on clients are closed according to `schedule`. Further calls do nothing.
  void begin_shutdown(const ShutdownSchedule& schedule);
  // Accepts the connections that are pending and closes the listening socket. If there is no capacity for all
  // of them, it stays open and the result is false; with `force` it is closed in any case.
  bool stop_listening(bool force);
  // No client is connected and no connection lingers.
  bool empty() const { return clients_.empty() && lingering_.empty(); }
  std::size_t lingering() const { return lingering_.size(); }
  // Closes all clients and lingering connections at once.
  void close_all();

  void on_readable() override;
  void on_writable() override {}
  void on_error() override { on_failure("error on the listening socket"); }
  void on_failure(const char* what) override;

 private:
  bool is_ready() const override { return reducer_.ready(); }
  void on_buffered_bytes_exceeded() override;
  void on_client_closed(core::ClientId id, core::ConnectionEnd end) override;
  std::shared_ptr<ClientConnection> find_frame_to_discard(TimeUs now) const;
  bool accept_all();         // false: connections may still be pending, there is no capacity for them
  bool evict_idle_client();  // true if a client can be accepted now
  // Always false: the result of accept_all(). `connected_since`: the earliest time at which a client that
  // waits to be accepted can have connected.
  bool pause_at_capacity(TimeUs connected_since);
  void close_disconnected_clients(TimeUs now);
  void end_lingering(TimeUs now);
  void end_oldest_lingering();
  bool has_open_requests(core::ClientId id) const { return reducer_.open_requests_of(id) > 0; }
  void pause_accepting();
  void resume_accepting();
  void reclaim_unread_answers();
  void continue_catching_up();
  std::shared_ptr<ClientConnection> find_answered_client_with_most_unsent() const;
  void sweep(TimeUs now);
  TimeUs sweep_interval() const;

  Context& context_;
  Channel listener_;
  ClientListenerLimits limits_;
  ClientTotals totals_;
  const core::Reducer& reducer_;  // only queried: readiness, open requests
  std::map<core::ClientId, std::shared_ptr<ClientConnection>> clients_;
  struct Lingering {
    std::shared_ptr<ClientConnection> client;
    TimeUs until = 0;  // monotonic time
  };
  std::deque<Lingering> lingering_;  // oldest first
  core::ClientId last_id_ = 0;
  TimeUs last_sweep_at_ = 0;
  TimeUs last_disconnect_check_at_ = 0;
  bool paused_ = false;  // no connections are accepted
  // While accepting pauses, and until it has gone on: since when connections may wait for it.
  std::optional<TimeUs> unaccepted_since_;
  std::optional<ShutdownSchedule> shutdown_;
};

}  // namespace orchidgw::net
