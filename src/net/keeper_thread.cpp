#include "net/keeper_thread.h"

#include <pthread.h>
#include <signal.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

#include "net/clock.h"
#include "store/lmdb_store.h"

namespace orchidgw::net {
namespace {

constexpr std::size_t kStoreBytes = std::size_t{256} * 1024 * 1024;  // the log is compacted far below it
constexpr std::size_t kQueueMost = 16'384;                           // messages that wait, each way
constexpr TimeUs kRetryAfter = 1'000'000;
constexpr TimeUs kStatusEvery = 200'000;

}  // namespace

KeeperThread::KeeperThread(const keeper::Options& options, const std::string& folder,
                           const budget::Terms& own)
    : options_(options), folder_(folder), own_(own) {
  store_ = std::make_unique<store::LmdbStore>(folder_, kStoreBytes);
  role_ = std::make_unique<fleet::KeeperRole>(own_);
  keeper_ = std::make_unique<keeper::Keeper>(options_, *store_, *role_, boot_now());
  wake_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (wake_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  thread_ = std::thread([this] { run(); });
}

KeeperThread::~KeeperThread() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
    changed_.notify_all();
  }
  if (thread_.joinable()) thread_.join();
  keeper_.reset();
  if (wake_ >= 0) ::close(wake_);
}

bool KeeperThread::post(Input input) {
  const std::lock_guard lock(mutex_);
  if (inputs_.size() >= kQueueMost) return false;
  inputs_.push_back(std::move(input));
  changed_.notify_all();
  return true;
}

KeeperThread::Output KeeperThread::take() {
  std::uint64_t count = 0;
  while (::read(wake_, &count, sizeof count) > 0) continue;
  const std::lock_guard lock(mutex_);
  return std::exchange(output_, {});
}

std::string KeeperThread::status() const {
  const std::lock_guard lock(mutex_);
  return status_;
}

// Another keeper on the same store: after a full or failing disk, once it is better. False: not yet.
bool KeeperThread::make_keeper() {
  if (boot_now() < retry_at_) return false;
  retry_at_ = boot_now() + kRetryAfter;
  try {
    keeper_.reset();
    role_ = std::make_unique<fleet::KeeperRole>(own_);
    store_.reset();
    store_ = std::make_unique<store::LmdbStore>(folder_, kStoreBytes);
    keeper_ = std::make_unique<keeper::Keeper>(options_, *store_, *role_, boot_now());
    notes_.push_back("keeping again");
    return true;
  } catch (const std::exception& e) {
    keeper_.reset();
    notes_.push_back(std::string("can't keep: ") + e.what());
    return false;
  }
}

void KeeperThread::take_in(std::vector<Input>& inputs) {
  for (Input& input : inputs) {
    if (auto* terms = std::get_if<budget::Terms>(&input)) {
      own_ = *terms;
      role_->wants(own_);
    } else if (auto* gone = std::get_if<LinkGone>(&input)) {
      role_->link_gone(gone->link);
    } else if (auto* message = std::get_if<fleet::LogMessage>(&input)) {
      if (keeper_) keeper_->receive(*message);
    } else if (auto* asked = std::get_if<Asked>(&input)) {
      if (keeper_) role_->asked(*keeper_, asked->link, std::move(asked->ask));
    }
  }
  inputs.clear();
}

void KeeperThread::give_out() {
  std::vector<fleet::LogMessage> messages;
  if (keeper_) messages = keeper_->take_outbox();
  std::vector<fleet::KeeperRole::Reply> replies = role_->take_replies();
  const TimeUs now = boot_now();
  std::string status;
  if (now >= status_at_ && keeper_) {
    status_at_ = now + kStatusEvery;
    status = role_->status(*keeper_);
  }
  const std::lock_guard lock(mutex_);
  if (!status.empty()) status_ = std::move(status);
  if (messages.empty() && replies.empty() && notes_.empty()) return;
  const auto move_in = [](auto& to, auto& from) {
    for (auto& one : from)
      if (to.size() < kQueueMost) to.push_back(std::move(one));
    from.clear();
  };
  move_in(output_.to_keepers, messages);
  move_in(output_.replies, replies);
  move_in(output_.notes, notes_);
  const std::uint64_t one = 1;
  static_cast<void>(!::write(wake_, &one, sizeof one));  // full means that the loop will look anyway
}

void KeeperThread::run() {
  sigset_t all;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, nullptr);  // signals are the loop's
  std::vector<Input> inputs;
  while (true) {
    {
      std::unique_lock lock(mutex_);
      if (inputs_.empty() && !stop_) {
        TimeUs due = keeper_ ? keeper_->next_tick() : retry_at_;
        if (const auto role = role_->next_due()) due = std::min(due, *role);
        const TimeUs wait = std::clamp<TimeUs>(due - boot_now(), 0, kRetryAfter);
        changed_.wait_for(lock, std::chrono::microseconds(wait),
                          [this] { return stop_ || !inputs_.empty(); });
      }
      if (stop_) return;
      inputs.swap(inputs_);
    }
    if (!keeper_) make_keeper();
    take_in(inputs);
    if (keeper_) {
      // What this turn brought is made durable in one go, and what it led to in the next.
      keeper_->advance(boot_now());
      keeper_->settle();
      role_->run(boot_now(), *keeper_);
      keeper_->settle();
      role_->run(boot_now(), *keeper_);
      if (keeper_->leads() != led_) {
        led_ = !led_;
        notes_.push_back(led_ ? "this keeper leads now" : "this keeper leads no more");
      }
      if (!keeper_->failure().empty()) {
        notes_.push_back("keeping stops: " + keeper_->failure());
        keeper_.reset();
        led_ = false;
        retry_at_ = boot_now() + kRetryAfter;
      }
    }
    give_out();
  }
}

}  // namespace orchidgw::net
