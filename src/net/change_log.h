// Follows the change log (list and watch): always one question out, its events in order to the core.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "config/fleet_changes.h"
#include "core/connection_end.h"
#include "core/engine_listing.h"
#include "decision/engine_starts.h"
#include "http/response_parser.h"
#include "net/buffer_pool.h"
#include "net/channel.h"
#include "net/context.h"

namespace orchidgw::net {

struct ChangeLogOptions {
  std::size_t answer_bytes = 0;  // of one answer
  TimeUs connect_timeout = 0;
  Rules rules;             // drain grace: after the log has a drain, nothing new may go to that engine
  std::uint64_t seed = 0;  // of the jitter
};

class ChangeLog final : public ChannelHandler {
 public:
  // `known`: the events of the start, which are told to the core at once.
  ChangeLog(Context& context, core::Address address, const config::FleetChanges& known,
            ChangeLogOptions options);

  void check(TimeUs now);  // time limits, the next try
  TimeUs next_due() const { return due_ + context_.lost; }
  // The log has moved: asked there from now on, with the numbering that it has. `known`: what is told with
  // it.
  void change_address(core::Address address, const config::FleetChanges& known);
  void close() { end(core::ConnectionEnd::kShutDown); }

  void on_readable() override;
  void on_writable() override;
  void on_error() override;
  void on_failure(const char* what) override;

 private:
  enum class State { kClosed, kConnecting, kAwaitingAnswer };
  void connect(TimeUs now);
  void send_watch_request(TimeUs now);
  void flush();
  bool read_bytes(std::string_view bytes);
  bool on_complete_answer();
  bool detect_log_reset(const config::FleetChanges& changes);
  void post_changes(const config::FleetChanges& changes, bool is_initial_list);
  void set_start_times(std::vector<core::EngineListing>& engines, bool full_list);
  void end(core::ConnectionEnd end);
  TimeUs next_backoff();
  void set_due(TimeUs at) { due_ = at - context_.lost; }

  Context& context_;
  core::Address address_;
  TimeUs connect_timeout_;
  TimeUs poll_timeout_;  // the log answers a question after so long, news or not
  TimeUs answer_grace_;  // an answer so long past its hold doesn't come any more: the watch is silent
  TimeUs max_backoff_;
  TimeUs behind_since_ = 0;  // its answers end before what is known; 0: they don't
  TimeUs last_backoff_ = 0;  // the last one, before its jitter; 0: the last question was answered
  std::minstd_rand jitter_random_;
  EngineStarts starts_;
  std::uint64_t last_number_ = 0;
  State state_ = State::kClosed;
  std::unique_ptr<Channel> channel_;
  http::ResponseParser parser_;
  BufferChain unsent_;
  BufferChain body_;
  TimeUs due_ = 0;  // without the time that this process lost, as on connections to engines
};

}  // namespace orchidgw::net
