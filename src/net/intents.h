// Holds calls back until the intent to send them is durable; the event loop goes on meanwhile. A thread
// commits all intents that have gathered in one transaction (group commit), so that one disk wait serves all
// of them.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/effects.h"
#include "core/keys.h"
#include "net/channel.h"
#include "net/context.h"
#include "net/wake.h"
#include "recovery/key_book.h"

namespace orchidgw::net {

class Intents final : public ChannelHandler {
 public:
  // `send`: called for each call whose intent is durable. Throws an exception that names the folder and the
  // reason.
  Intents(Context& context, const std::string& folder, std::function<void(core::SendCall)> send);
  ~Intents() override;

  // Whether a query with that identity may be accepted.
  core::KeyStatus key_status(const std::string& identity) const;
  // Stores the intent, then passes the call to `send`; posts CallEnded with kIntentNotStored if it can't be
  // stored.
  void send_when_stored(core::SendCall call);
  bool drop(core::CallId call);  // posts no event; false: the call does not wait here
  void check();                  // once a turn: erases intents that have expired
  // How many intents the store held at the start.
  std::size_t loaded_count() const { return loaded_count_; }
  void close();  // stops passing calls to `send`

  void on_readable() override;
  void on_writable() override {}
  void on_error() override {}
  void on_failure(const char* what) override;

 private:
  struct WaitingCall {
    core::SendCall call;
    std::uint64_t serial = 0;
  };
  struct StoreResult {  // for all serials after those of the result before
    std::uint64_t last_serial = 0;
    bool stored = false;
  };
  void run_store_thread();

  Context& context_;
  std::function<void(core::SendCall)> send_;
  store::IntentStore store_;
  std::size_t loaded_count_ = 0;
  recovery::IntentTracker intent_tracker_;
  std::deque<WaitingCall> waiting_;  // by ascending serial
  TimeUs check_at_ = 0;
  bool store_failing_ = false;
  WakeupEvent wakeup_;
  std::unique_ptr<Channel> channel_;

  std::mutex mutex_;  // guards the members below, except the thread
  std::condition_variable work_available_;
  std::vector<store::Intent> to_store_;
  std::vector<std::uint64_t> to_erase_;
  std::vector<StoreResult> results_;
  std::string error_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace orchidgw::net
