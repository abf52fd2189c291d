// The listener and all client connections, within their part of the descriptors.
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

struct FrontLimits {
  std::size_t clients = 1;      // at most
  std::size_t frame_bytes = 0;  // that all unfinished frames may hold together
};

class FrontDoor final : public ChannelHandler {
 public:
  FrontDoor(Context& context, int listener, FrontLimits limits, const core::Reducer& reducer);

  template <typename Answer>
  void answer(Answer& answer) {
    const auto it = clients_.find(answer.client);
    if (it != clients_.end()) it->second->answer(answer);
  }

  void between_turns(TimeUs now);
  TimeUs next_sweep() const;
  // From here on clients are closed by that schedule.
  void begin_shutdown(const ShutdownSchedule& schedule);
  // Who waits to be accepted is let in before; false while there is no room for all of them, and `force` is
  // not said.
  bool stop_listening(bool force);
  bool empty() const { return clients_.empty() && lingering_.empty(); }
  std::size_t lingering() const { return lingering_.size(); }
  void close_all();

  void on_readable() override;
  void on_writable() override {}
  void on_error() override { on_failure("error on the listening socket"); }
  void on_failure(const char* what) override;

 private:
  void on_client_closed(core::ClientId id, core::ConnectionEnd end);
  bool accept_all();  // false: some may still wait, there is no room for them
  bool evict_idle_client();
  bool pause_at_capacity();
  void close_disconnected_clients(TimeUs now);
  void end_lingering(TimeUs now);
  void end_oldest_lingering();
  bool has_open_requests(core::ClientId id) const { return reducer_.open_requests_of(id) > 0; }
  void pause_accepting();
  void resume_accepting();
  void reclaim_unread_answers();
  std::shared_ptr<ClientConnection> find_answered_client_with_most_unsent() const;
  void sweep(TimeUs now);
  TimeUs sweep_interval() const;

  Context& context_;
  Channel listener_;
  FrontLimits limits_;
  ClientTotals totals_;
  const core::Reducer& reducer_;  // looked at only: readiness, open requests
  std::map<core::ClientId, std::shared_ptr<ClientConnection>> clients_;
  struct Lingering {
    std::shared_ptr<ClientConnection> client;
    TimeUs until = 0;
  };
  std::deque<Lingering> lingering_;  // the oldest first
  core::ClientId last_id_ = 0;
  TimeUs last_sweep_at_ = 0;
  TimeUs last_disconnect_check_at_ = 0;
  bool paused_ = false;
  std::optional<ShutdownSchedule> shutdown_;
};

}  // namespace orchidgw::net
