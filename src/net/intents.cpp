#include "net/intents.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <utility>

#include "net/clock.h"

namespace orchidgw::net {
namespace {

constexpr std::size_t kStoreBytes = std::size_t{256} * 1024 * 1024;
constexpr std::size_t kIntentsMost = 100'000;  // some 300 bytes each, in memory and on the disk
constexpr TimeUs kLookEvery = 500'000;
constexpr auto kRetryAfter = std::chrono::milliseconds(200);

std::string boot_id() {
  std::string out;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> out;
  return out;  // empty where there is none: then no time of before is believed
}

}  // namespace

Intents::Intents(Context& context, const std::string& folder, std::function<void(core::StartCall)> send)
    : context_(context), send_(std::move(send)), store_(folder, kStoreBytes), book_([this] {
        const std::vector<store::Intent> found = store_.load();
        found_ = found.size();
        return recovery::KeyBook(boot_id(), monotonic_now(), found, kIntentsMost);
      }()) {
  channel_ = std::make_unique<Channel>(context.reactor, wake_.duplicate(), *this);
  channel_->want_read(true);
  thread_ = std::thread([this] { run(); });
}

Intents::~Intents() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
    changed_.notify_all();
  }
  thread_.join();
}

void Intents::close() { channel_->close(); }

core::KeyVerdict Intents::verdict(const std::string& identity) const {
  if (book_.may_have_run(identity, monotonic_now())) return core::KeyVerdict::kMayHaveRun;
  return failing_ || book_.full() ? core::KeyVerdict::kNoRoom : core::KeyVerdict::kNew;
}

void Intents::hold(core::StartCall call) {
  const store::Intent intent = book_.intend(call.identity, call.rest, monotonic_now());
  held_.push_back({std::move(call), intent.serial});
  const std::lock_guard lock(mutex_);
  put_.push_back(intent);
  changed_.notify_all();
}

bool Intents::drop(core::CallId call) {
  const auto it =
      std::find_if(held_.begin(), held_.end(), [&](const Held& h) { return h.call.call == call; });
  if (it == held_.end()) return false;
  held_.erase(it);
  return true;
}

void Intents::check() {
  const TimeUs now = monotonic_now();
  if (now < look_at_) return;
  look_at_ = now + kLookEvery;
  const std::vector<std::uint64_t> over = book_.over(now);
  if (over.empty()) return;
  const std::lock_guard lock(mutex_);
  erase_.insert(erase_.end(), over.begin(), over.end());
  changed_.notify_all();
}

void Intents::on_readable() {
  wake_.heard();
  std::vector<Outcome> outcomes;
  std::string why;
  {
    const std::lock_guard lock(mutex_);
    outcomes.swap(outcomes_);
    why = why_;
  }
  if (failing_ != !why.empty()) {
    failing_ = !why.empty();
    context_.log.write(
        failing_ ? log::Level::kError : log::Level::kInfo, log::Component::kCore,
        failing_ ? "intents can't be stored, nothing keyed is sent: " + why : "intents are stored again");
  }
  for (const Outcome& outcome : outcomes) {
    while (!held_.empty() && held_.front().serial <= outcome.up_to) {
      core::StartCall call = std::move(held_.front().call);
      held_.pop_front();
      if (outcome.stored) {
        send_(std::move(call));
      } else {  // it never left: another attempt, or a refusal, is harmless
        context_.post(core::CallEnded{call.call, core::ConnectionEnd::kNoIntent});
      }
    }
  }
  context_.reactor.hurry();
}

void Intents::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("intents: ") + what);
}

void Intents::run() {
  leave_signals_to_the_loop();
  std::vector<std::uint64_t> erase;  // kept until they are erased
  while (true) {
    std::vector<store::Intent> put;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stop_ || !put_.empty() || !erase_.empty(); });
      if (stop_) return;
      put.swap(put_);
      erase.insert(erase.end(), erase_.begin(), erase_.end());
      erase_.clear();
    }
    std::string why;
    try {
      store_.commit(put, erase);
      erase.clear();
    } catch (const std::exception& e) {
      why = e.what();
    }
    {
      std::unique_lock lock(mutex_);
      why_ = why;
      if (!put.empty()) outcomes_.push_back({put.back().serial, why.empty()});
      wake_.ring();
      if (!why.empty()) {  // tried again without a word, so that it is known when the disk is better
        changed_.wait_for(lock, kRetryAfter, [this] { return stop_; });
        if (erase_.empty()) erase_.push_back(0);
      }
    }
  }
}

}  // namespace orchidgw::net
