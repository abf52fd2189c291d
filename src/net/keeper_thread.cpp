#include "net/keeper_thread.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/clock.h"
#include "store/lmdb_store.h"

namespace orchidgw::net {
namespace {

constexpr std::size_t kQueueMost = 16'384;  // messages that wait, each way
constexpr TimeUs kRetryAfter = 1'000'000;
constexpr TimeUs kStatusEvery = 200'000;
constexpr TimeUs kUsPerMs = 1'000;
constexpr TimeUs kElectionsPatient = 2;  // times an election's: for other keepers' greetings after a start

}  // namespace

KeeperThread::KeeperThread(const keeper::Options& options, const std::string& folder,
                           const store::StoredOwner& self, const budget::Terms& own)
    : options_(options),
      self_(self),
      floor_(options.id, options.voters, monotonic_now(), kElectionsPatient * options.election_ms * kUsPerMs),
      folder_(folder),
      own_(own) {
  open_store();
  role_ = std::make_unique<fleet::KeeperRole>(own_);
  if (claim_->verdict() == Verdict::kMay) begin_keeper();
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
}

bool KeeperThread::post(Input input) {
  const std::lock_guard lock(mutex_);
  if (inputs_.size() >= kQueueMost) return false;
  inputs_.push_back(std::move(input));
  changed_.notify_all();
  return true;
}

KeeperThread::Output KeeperThread::take() {
  wake_.heard();
  const std::lock_guard lock(mutex_);
  Output out = std::exchange(output_, {});
  output_.standing = out.standing;  // it holds until it is another
  return out;
}

std::string KeeperThread::status() const {
  const std::lock_guard lock(mutex_);
  return status_;
}

// Throws what names the folder: a store that can't be read, or another's.
void KeeperThread::open_store() {
  store_.reset();
  store_ = std::make_unique<store::LmdbStore>(folder_, store::kKeeperBytes);
  const store::Stored found = store_->load();
  if (found.owner) {
    const std::string fault = recovery::fault_of(*found.owner, self_);
    if (!fault.empty()) throw store::StoreError(folder_ + ": " + fault, false);
  }
  claim_.emplace(self_, options_.voters, found);
}

// Whose disk it is and that it has begun is stored with the first of the log.
void KeeperThread::begin_keeper() {
  claim_->begin();
  store_->set_owner(claim_->owner());
  keeper_ = std::make_unique<keeper::Keeper>(options_, *store_, *role_, monotonic_now());
}

// Where there is no keeper: on a disk that failed and may be better, or one that is empty, once it may begin.
// False: not yet.
bool KeeperThread::make_keeper() {
  if (failed_ && monotonic_now() < retry_at_) return false;
  try {
    if (failed_) {
      retry_at_ = monotonic_now() + kRetryAfter;
      keeper_.reset();
      role_ = std::make_unique<fleet::KeeperRole>(own_);
      open_store();
    }
    const Verdict verdict = claim_->verdict();
    if (verdict == Verdict::kMay) {
      begin_keeper();
      notes_.push_back(failed_ ? "keeping again"
                               : "an empty disk, and no other keeper knows it: a log is begun");
      failed_ = false;
      return true;
    }
    if (verdict == Verdict::kMustNot && said_ != verdict)
      notes_.push_back(
          "this keeper has begun before, on a disk that is lost: it must not vote on an empty one");
    if (verdict == Verdict::kWait && said_ != verdict)
      notes_.push_back("an empty disk: the word of every other keeper is waited for");
    said_ = verdict;
    return false;
  } catch (const std::exception& e) {
    keeper_.reset();
    failed_ = true;
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
    } else if (auto* greeted = std::get_if<Greeted>(&input)) {
      if (claim_->told(greeted->by, greeted->begun)) store_claim();
      floor_.told(greeted->by, greeted->at);
      look_if_behind();
    } else if (auto* message = std::get_if<fleet::LogMessage>(&input)) {
      if (claim_->met(message->from)) store_claim();
      if (keeper_ && floor_.lets(*message, monotonic_now())) keeper_->receive(*message);
    } else if (auto* asked = std::get_if<Asked>(&input)) {
      if (keeper_) role_->asked(*keeper_, asked->link, std::move(asked->ask));
    } else if (auto* keys = std::get_if<KeysAsked>(&input)) {
      if (keeper_) role_->asked(*keeper_, keys->link, std::move(keys->ask));
    }
  }
  inputs.clear();
}

// A log that is behind is that of a keeper that was away, or of one on an old copy of its disk.
void KeeperThread::look_if_behind() {
  if (!keeper_ || !(keeper_->standing().last < floor_.agreed()) || std::exchange(behind_, true)) return;
  notes_.push_back("this keeper's log is behind what was agreed on: it votes for nobody who lacks that");
}

// With what follows from it, before any of that leaves.
void KeeperThread::store_claim() {
  if (keeper_) store_->set_owner(claim_->owner());
}

void KeeperThread::give_out() {
  std::vector<fleet::LogMessage> messages;
  if (keeper_) messages = keeper_->take_outbox();
  std::vector<fleet::KeeperRole::Reply> replies = role_->take_replies();
  const TimeUs now = monotonic_now();
  std::erase_if(messages, [&](const fleet::LogMessage& one) { return !floor_.lets(one, now); });
  std::string status;
  if (now >= status_at_ && keeper_) {
    status_at_ = now + kStatusEvery;
    status = role_->status(*keeper_);
  }
  Standing standing;
  standing.keeps = keeper_ != nullptr;
  standing.waits_for = claim_->verdict() == Verdict::kWait ? claim_->waits_for() : floor_.waits_for(now);
  if (keeper_) standing.begun.assign(claim_->owner().begun.begin(), claim_->owner().begun.end());
  if (keeper_) standing.at = keeper_->standing();
  const std::lock_guard lock(mutex_);
  if (!status.empty()) status_ = std::move(status);
  const bool other = standing != output_.standing;
  output_.standing = std::move(standing);
  if (messages.empty() && replies.empty() && notes_.empty() && !other) return;
  const auto move_in = [](auto& to, auto& from) {
    for (auto& one : from)
      if (to.size() < kQueueMost) to.push_back(std::move(one));
    from.clear();
  };
  move_in(output_.to_keepers, messages);
  move_in(output_.replies, replies);
  move_in(output_.notes, notes_);
  wake_.ring();
}

void KeeperThread::run() {
  leave_signals_to_the_loop();
  std::vector<Input> inputs;
  while (true) {
    {
      std::unique_lock lock(mutex_);
      if (inputs_.empty() && !stop_) {
        TimeUs due = keeper_ ? keeper_->next_tick() : failed_ ? retry_at_ : monotonic_now() + kRetryAfter;
        if (const auto role = role_->next_due()) due = std::min(due, *role);
        const TimeUs wait = std::clamp<TimeUs>(due - monotonic_now(), 0, kRetryAfter);
        changed_.wait_for(lock, std::chrono::microseconds(wait),
                          [this] { return stop_ || !inputs_.empty(); });
      }
      if (stop_) return;
      inputs.swap(inputs_);
    }
    take_in(inputs);
    if (!keeper_) make_keeper();
    if (keeper_) {
      // What this turn brought is made durable in one go, and what it led to in the next.
      keeper_->advance(monotonic_now());
      keeper_->settle();
      role_->run(monotonic_now(), *keeper_);
      keeper_->settle();
      role_->run(monotonic_now(), *keeper_);
      if (keeper_->leads() != led_) {
        led_ = !led_;
        notes_.push_back(led_ ? "this keeper leads now" : "this keeper leads no more");
      }
      if (!keeper_->failure().empty()) {
        notes_.push_back("keeping stops: " + keeper_->failure());
        keeper_.reset();
        failed_ = true;
        led_ = false;
        retry_at_ = monotonic_now() + kRetryAfter;
      }
    }
    give_out();
  }
}

}  // namespace orchidgw::net
