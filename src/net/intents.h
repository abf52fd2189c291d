// Sends wait here until their intent is durable; the loop goes on with all else. A thread of its own commits
// what has gathered, so that one wait of the disk serves all that came meanwhile (group commit).
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
  // `send`: its intent is durable. Throws what names the folder and the reason.
  Intents(Context& context, const std::string& folder, std::function<void(core::StartCall)> send);
  ~Intents() override;

  core::KeyVerdict key_status(const std::string& identity) const;
  void send_when_stored(core::StartCall call);
  bool drop(core::CallId call);  // says nothing of its end; false: it is not held
  void check();                  // once a turn: forgets what is over
  std::size_t loaded_count() const { return loaded_count_; }
  void close();

  void on_readable() override;
  void on_writable() override {}
  void on_error() override {}
  void on_failure(const char* what) override;

 private:
  struct WaitingCall {
    core::StartCall call;
    std::uint64_t serial = 0;
  };
  struct StoreResult {  // of all serials since the one before
    std::uint64_t last_serial = 0;
    bool stored = false;
  };
  void run_store_thread();

  Context& context_;
  std::function<void(core::StartCall)> send_;
  store::IntentStore store_;
  std::size_t loaded_count_ = 0;
  recovery::KeyBook key_book_;
  std::deque<WaitingCall> waiting_;  // in the order of their serials
  TimeUs check_at_ = 0;
  bool store_failing_ = false;
  Wake wake_;
  std::unique_ptr<Channel> channel_;

  std::mutex mutex_;
  std::condition_variable work_available_;
  std::vector<store::Intent> to_store_;
  std::vector<std::uint64_t> to_erase_;
  std::vector<StoreResult> results_;
  std::string error_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace orchidgw::net
