// Client of the change log (list and watch). Keeps one long poll in flight and posts the log's events to the
// core in order.
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
  std::size_t answer_bytes = 0;  // largest answer that is accepted
  TimeUs connect_timeout = 0;
  Rules rules;  // drain_grace: time after which an engine whose drain is in the log may get no new queries
  std::uint64_t seed = 0;  // of the backoff's jitter
};

class ChangeLog final : public ChannelHandler {
 public:
  // `known`: the events from the configuration, which are posted to the core at once.
  ChangeLog(Context& context, core::Address address, const config::EngineListEvents& known,
            ChangeLogOptions options);

  void check(TimeUs now);  // enforces time limits and reconnects; to be called when `next_due` is reached
  TimeUs next_due() const { return due_ + context_.stalled_time; }
  // Reconnects to the log at `address`, going on from the last event number. `known`: events from the
  // reloaded configuration, posted to the core at once.
  void change_address(core::Address address, const config::EngineListEvents& known);
  void close() { end(core::ConnectionEnd::kShutDown); }

  void on_readable() override;
  void on_writable() override;
  void on_error() override;
  void on_failure(const char* what) override;

 private:
  enum class State { kClosed, kConnecting, kAwaitingAnswer };
  void connect(TimeUs now);
  void send_poll(TimeUs now);
  void flush();
  bool read_bytes(std::string_view bytes);  // false: the answer is invalid
  bool on_complete_answer();
  bool detect_log_reset(const config::EngineListEvents& changes);
  void post_changes(const config::EngineListEvents& changes, bool is_initial_list);
  void set_start_times(std::vector<core::EngineListing>& engines, bool full_list);
  void end(core::ConnectionEnd end);
  TimeUs next_backoff();
  void set_due(TimeUs at) { due_ = at - context_.stalled_time; }

  Context& context_;
  core::Address address_;
  TimeUs connect_timeout_;
  TimeUs poll_timeout_;  // the log answers a poll after this time even if it has no new events
  TimeUs answer_grace_;  // an answer this long after the poll timeout counts as never coming: kSilent
  TimeUs max_backoff_;
  TimeUs behind_since_ = 0;  // since when the log's last number is below ours; 0: it is not
  TimeUs last_backoff_ = 0;  // before jitter; 0: the last poll was answered
  std::minstd_rand jitter_random_;
  EngineStarts starts_;
  std::uint64_t last_number_ = 0;  // of the last event that was posted
  State state_ = State::kClosed;
  std::unique_ptr<Channel> channel_;
  http::ResponseParser parser_;
  BufferChain unsent_;
  BufferChain body_;
  TimeUs due_ = 0;  // excludes `Context::stalled_time`, the time in which this process was stalled
};

}  // namespace orchidgw::net
