#include "net/keeper_thread.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/clock.h"
#include "store/lmdb_store.h"

namespace orchidgw::net {
namespace {

constexpr std::size_t kMaxQueuedMessages = 16'384;  // in each direction
constexpr TimeUs kRetryDelay = 1'000'000;
constexpr TimeUs kStatusInterval = 200'000;
constexpr TimeUs kUsPerMs = 1'000;
// In election time-outs: how long other keepers' Hellos are waited for after a start.
constexpr TimeUs kHelloWaitElections = 2;

}  // namespace

KeeperThread::KeeperThread(const keeper::Options& options, const std::string& folder,
                           const store::StoredOwner& self, const budget::Terms& own)
    : options_(options),
      self_(self),
      vote_guard_(options.id, options.voters, monotonic_now(),
                  kHelloWaitElections * options.election_ms * kUsPerMs),
      folder_(folder),
      own_terms_(own) {
  open_store();
  role_ = std::make_unique<fleet::KeeperRole>(own_terms_);
  if (rejoin_guard_->verdict() == Verdict::kAllowed) start_keeper();
  thread_ = std::thread([this] { run(); });
}

KeeperThread::~KeeperThread() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
    input_available_.notify_all();
  }
  if (thread_.joinable()) thread_.join();
  keeper_.reset();
}

bool KeeperThread::post(Input input) {
  const std::lock_guard lock(mutex_);
  if (inputs_.size() >= kMaxQueuedMessages) return false;
  inputs_.push_back(std::move(input));
  input_available_.notify_all();
  return true;
}

KeeperThread::Output KeeperThread::take() {
  wakeup_.clear();
  const std::lock_guard lock(mutex_);
  Output out = std::exchange(output_, {});
  output_.state = out.state;  // stays valid until it changes
  return out;
}

std::string KeeperThread::status() const {
  const std::lock_guard lock(mutex_);
  return status_;
}

// Throws an exception that names the folder if the store can't be read or belongs to another keeper.
void KeeperThread::open_store() {
  store_.reset();
  store_ = std::make_unique<store::LmdbStore>(folder_, store::kMaxKeeperStoreBytes);
  const store::StoredLog found = store_->load();
  if (found.owner) {
    const std::string fault = recovery::ownership_error(*found.owner, self_);
    if (!fault.empty()) throw store::StoreError(folder_ + ": " + fault, false);
  }
  rejoin_guard_.emplace(self_, options_.voters, found);
}

// The owner of the store and the fact that this keeper has a log are stored with the log's first entries.
void KeeperThread::start_keeper() {
  rejoin_guard_->begin();
  store_->set_owner(rejoin_guard_->owner());
  keeper_ = std::make_unique<keeper::Keeper>(options_, *store_, *role_, monotonic_now());
}

// Called while no keeper is running: retries a store that failed, and starts on an empty store once that is
// allowed. False: not yet.
bool KeeperThread::try_start_keeper() {
  if (store_failed_ && monotonic_now() < retry_at_) return false;
  try {
    if (store_failed_) {
      retry_at_ = monotonic_now() + kRetryDelay;
      keeper_.reset();
      role_ = std::make_unique<fleet::KeeperRole>(own_terms_);
      open_store();
    }
    const Verdict verdict = rejoin_guard_->verdict();
    if (verdict == Verdict::kAllowed) {
      start_keeper();
      log_lines_.push_back(store_failed_
                               ? "this keeper runs again"
                               : "an empty disk, and no other keeper knows of a log on it: a log is begun");
      store_failed_ = false;
      return true;
    }
    if (verdict == Verdict::kForbidden && reported_verdict_ != verdict)
      log_lines_.push_back(
          "this keeper has begun before, on a disk that is lost: it must not vote on an empty one");
    if (verdict == Verdict::kWait && reported_verdict_ != verdict)
      log_lines_.push_back("an empty disk: the word of every other keeper is waited for");
    reported_verdict_ = verdict;
    return false;
  } catch (const std::exception& e) {
    keeper_.reset();
    store_failed_ = true;
    log_lines_.push_back(std::string("can't keep: ") + e.what());
    return false;
  }
}

void KeeperThread::process_inputs(std::vector<Input>& inputs) {
  for (Input& input : inputs) {
    if (auto* terms = std::get_if<budget::Terms>(&input)) {
      own_terms_ = *terms;
      role_->set_own_terms(own_terms_);
    } else if (auto* closed = std::get_if<LinkClosed>(&input)) {
      role_->link_gone(closed->link);
    } else if (auto* hello = std::get_if<HelloReceived>(&input)) {
      if (rejoin_guard_->on_greeting(hello->by, hello->bootstrapped)) store_claim();
      vote_guard_.on_greeting(hello->by, hello->log_progress);
      check_if_behind();
    } else if (auto* message = std::get_if<fleet::LogMessage>(&input)) {
      if (rejoin_guard_->on_log_message(message->from)) store_claim();
      if (keeper_ && vote_guard_.allows(*message, monotonic_now())) keeper_->receive(*message);
    } else if (auto* lease = std::get_if<LeaseRequestReceived>(&input)) {
      if (keeper_) role_->on_request(*keeper_, lease->link, std::move(lease->ask));
    } else if (auto* key_request = std::get_if<KeyRequestReceived>(&input)) {
      if (keeper_) role_->on_request(*keeper_, key_request->link, std::move(key_request->ask));
    }
  }
  inputs.clear();
}

// A log is behind if the keeper was down for a while, or runs on an old copy of its disk.
void KeeperThread::check_if_behind() {
  if (!keeper_ || !(keeper_->log_progress().last < vote_guard_.agreed()) ||
      std::exchange(reported_behind_, true))
    return;
  log_lines_.push_back("this keeper's log is behind what was agreed on: it votes for nobody who lacks that");
}

// The owner is committed together with the changes that follow from it, before any of those is sent.
void KeeperThread::store_claim() {
  if (keeper_) store_->set_owner(rejoin_guard_->owner());
}

void KeeperThread::publish_output() {
  std::vector<fleet::LogMessage> messages;
  if (keeper_) messages = keeper_->take_outbox();
  std::vector<fleet::KeeperRole::Reply> replies = role_->take_replies();
  const TimeUs now = monotonic_now();
  std::erase_if(messages, [&](const fleet::LogMessage& one) { return !vote_guard_.allows(one, now); });
  std::string status;
  if (now >= next_status_at_ && keeper_) {
    next_status_at_ = now + kStatusInterval;
    status = role_->status(*keeper_);
  }
  KeeperState state;
  state.store_in_use = keeper_ != nullptr;
  state.awaited_keepers =
      rejoin_guard_->verdict() == Verdict::kWait ? rejoin_guard_->waits_for() : vote_guard_.waits_for(now);
  if (keeper_)
    state.bootstrapped.assign(rejoin_guard_->owner().bootstrapped.begin(),
                              rejoin_guard_->owner().bootstrapped.end());
  if (keeper_) state.log_progress = keeper_->log_progress();
  const std::lock_guard lock(mutex_);
  if (!status.empty()) status_ = std::move(status);
  const bool state_changed = state != output_.state;
  output_.state = std::move(state);
  if (messages.empty() && replies.empty() && log_lines_.empty() && !state_changed) return;
  const auto append = [](auto& to, auto& from) {
    for (auto& one : from)
      if (to.size() < kMaxQueuedMessages) to.push_back(std::move(one));
    from.clear();
  };
  append(output_.to_keepers, messages);
  append(output_.replies, replies);
  append(output_.log_lines, log_lines_);
  wakeup_.notify();
}

void KeeperThread::run() {
  block_signals_in_thread();
  std::vector<Input> inputs;
  while (true) {
    {
      std::unique_lock lock(mutex_);
      if (inputs_.empty() && !stop_) {
        TimeUs due = keeper_         ? keeper_->next_tick()
                     : store_failed_ ? retry_at_
                                     : monotonic_now() + kRetryDelay;
        if (const auto role = role_->next_due()) due = std::min(due, *role);
        const TimeUs wait = std::clamp<TimeUs>(due - monotonic_now(), 0, kRetryDelay);
        input_available_.wait_for(lock, std::chrono::microseconds(wait),
                                  [this] { return stop_ || !inputs_.empty(); });
      }
      if (stop_) return;
      inputs.swap(inputs_);
    }
    process_inputs(inputs);
    if (!keeper_) try_start_keeper();
    if (keeper_) {
      // The inputs of this turn are made durable in one commit, and what the role proposes on them in a
      // second.
      keeper_->advance(monotonic_now());
      keeper_->flush();
      role_->run(monotonic_now(), *keeper_);
      keeper_->flush();
      role_->run(monotonic_now(), *keeper_);
      if (keeper_->leads() != was_leader_) {
        was_leader_ = !was_leader_;
        log_lines_.push_back(was_leader_ ? "this keeper leads now" : "this keeper leads no more");
      }
      if (!keeper_->failure().empty()) {
        log_lines_.push_back("keeping stops: " + keeper_->failure());
        keeper_.reset();
        store_failed_ = true;
        was_leader_ = false;
        retry_at_ = monotonic_now() + kRetryDelay;
      }
    }
    publish_output();
  }
}

}  // namespace orchidgw::net
