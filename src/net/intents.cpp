#include "net/intents.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <utility>

#include "net/clock.h"

namespace orchidgw::net {
namespace {

constexpr std::size_t kMaxStoreBytes = std::size_t{256} * 1024 * 1024;
constexpr std::size_t kMaxIntents = 100'000;  // some 300 bytes each, in memory and on the disk
constexpr TimeUs kCheckInterval = 500'000;
constexpr auto kRetryDelay = std::chrono::milliseconds(200);

std::string boot_id() {
  std::string out;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> out;
  return out;  // empty if there is none: then no earlier time is trusted
}

}  // namespace

Intents::Intents(Context& context, const std::string& folder, std::function<void(core::SendCall)> send)
    : context_(context), send_(std::move(send)), store_(folder, kMaxStoreBytes), intent_tracker_([this] {
        const std::vector<store::Intent> found = store_.load();
        loaded_count_ = found.size();
        return recovery::IntentTracker(boot_id(), monotonic_now(), found, kMaxIntents);
      }()) {
  channel_ = std::make_unique<Channel>(context.reactor, wakeup_.duplicate(), *this);
  channel_->want_read(true);
  thread_ = std::thread([this] { run_store_thread(); });
}

Intents::~Intents() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
    work_available_.notify_all();
  }
  thread_.join();
}

void Intents::close() { channel_->close(); }

core::KeyStatus Intents::key_status(const std::string& identity) const {
  if (intent_tracker_.may_have_run(identity, monotonic_now())) return core::KeyStatus::kMayHaveRun;
  return store_failing_ || intent_tracker_.full() ? core::KeyStatus::kUnavailable : core::KeyStatus::kNew;
}

void Intents::send_when_stored(core::SendCall call) {
  const store::Intent intent = intent_tracker_.create_intent(call.identity, call.key_hold, monotonic_now());
  waiting_.push_back({std::move(call), intent.serial});
  const std::lock_guard lock(mutex_);
  to_store_.push_back(intent);
  work_available_.notify_all();
}

bool Intents::drop(core::CallId call) {
  const auto it = std::find_if(waiting_.begin(), waiting_.end(),
                               [&](const WaitingCall& waiting) { return waiting.call.call == call; });
  if (it == waiting_.end()) return false;
  waiting_.erase(it);
  return true;
}

void Intents::check() {
  const TimeUs now = monotonic_now();
  if (now < check_at_) return;
  check_at_ = now + kCheckInterval;
  const std::vector<std::uint64_t> expired = intent_tracker_.take_expired(now);
  if (expired.empty()) return;
  const std::lock_guard lock(mutex_);
  to_erase_.insert(to_erase_.end(), expired.begin(), expired.end());
  work_available_.notify_all();
}

void Intents::on_readable() {
  wakeup_.clear();
  std::vector<StoreResult> results;
  std::string error;
  {
    const std::lock_guard lock(mutex_);
    results.swap(results_);
    error = error_;
  }
  if (store_failing_ != !error.empty()) {
    store_failing_ = !error.empty();
    context_.log.write(store_failing_ ? log::Level::kError : log::Level::kInfo, log::Component::kCore,
                       store_failing_ ? "intents can't be stored, nothing keyed is sent: " + error
                                      : "intents are stored again");
  }
  for (const StoreResult& result : results) {
    while (!waiting_.empty() && waiting_.front().serial <= result.last_serial) {
      core::SendCall call = std::move(waiting_.front().call);
      waiting_.pop_front();
      if (result.stored) {
        send_(std::move(call));
      } else {  // it was never sent: another attempt, or a refusal, is harmless
        context_.post(core::CallEnded{call.call, core::ConnectionEnd::kIntentNotStored});
      }
    }
  }
  context_.reactor.skip_next_wait();
}

void Intents::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("intents: ") + what);
}

void Intents::run_store_thread() {
  block_signals_in_thread();
  std::vector<std::uint64_t> to_erase;  // kept until a commit has erased them
  while (true) {
    std::vector<store::Intent> to_store;
    {
      std::unique_lock lock(mutex_);
      work_available_.wait(lock, [this] { return stop_ || !to_store_.empty() || !to_erase_.empty(); });
      if (stop_) return;
      to_store.swap(to_store_);
      to_erase.insert(to_erase.end(), to_erase_.begin(), to_erase_.end());
      to_erase_.clear();
    }
    std::string error;
    try {
      store_.commit(to_store, to_erase);
      to_erase.clear();
    } catch (const std::exception& e) {
      error = e.what();
    }
    {
      std::unique_lock lock(mutex_);
      error_ = error;
      if (!to_store.empty()) results_.push_back({to_store.back().serial, error.empty()});
      wakeup_.notify();
      if (!error.empty()) {  // retries with nothing new to store, so that a recovered disk is noticed
        work_available_.wait_for(lock, kRetryDelay, [this] { return stop_; });
        if (to_erase_.empty()) to_erase_.push_back(0);
      }
    }
  }
}

}  // namespace orchidgw::net
