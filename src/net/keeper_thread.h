// A keeper's thread. Runs the replicated log, whose store blocks while the disk writes, and the ledger that
// the log's entries build. The event loop posts inputs and takes outputs through one bounded queue in each
// direction.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "fleet/keeper_role.h"
#include "keeper/keeper.h"
#include "net/wake.h"
#include "recovery/disk_claim.h"
#include "recovery/vote_floor.h"

namespace orchidgw::net {

class KeeperThread {
 public:
  struct LeaseRequestReceived {  // link 0: of this controller itself
    fleet::LinkId link = 0;
    budget::LeaseRequest ask;
  };
  struct KeyRequestReceived {  // link 0: likewise
    fleet::LinkId link = 0;
    promises::KeyRequest ask;
  };
  struct LinkClosed {
    fleet::LinkId link = 0;
  };
  struct HelloReceived {  // from another keeper
    fleet::KeeperId by = 0;
    std::vector<fleet::KeeperId> bootstrapped;
    fleet::LogProgress log_progress;
  };
  using Input = std::variant<fleet::LogMessage, LeaseRequestReceived, KeyRequestReceived, LinkClosed,
                             HelloReceived, budget::Terms>;

  struct KeeperState {          // current state of this keeper; see recovery::RejoinGuard and VoteGuard
    bool store_in_use = false;  // the keeper is running
    std::vector<fleet::KeeperId> bootstrapped;     // keepers that it knows to have a log
    std::vector<fleet::KeeperId> awaited_keepers;  // whose Hello it needs before it may start or vote
    fleet::LogProgress log_progress;
    bool operator==(const KeeperState&) const = default;
  };
  struct Output {
    std::vector<fleet::LogMessage> to_keepers;
    std::vector<fleet::KeeperRole::Reply> replies;
    std::vector<std::string> log_lines;  // to be written to the log
    KeeperState state;
  };

  // Opens the store. `own`: the terms of this keeper's file. Throws an exception that names the folder and
  // the reason.
  KeeperThread(const keeper::Options& options, const std::string& folder, const store::StoredOwner& self,
               const budget::Terms& own);
  ~KeeperThread();
  KeeperThread(const KeeperThread&) = delete;
  KeeperThread& operator=(const KeeperThread&) = delete;

  // Readable while there is output; `take` clears it. The caller owns the descriptor. Throws SystemCallError.
  int wake_descriptor() const { return wakeup_.duplicate(); }
  bool post(Input input);      // false: the queue is full, the input was dropped
  Output take();               // what has gathered since the last call, and the current state
  std::string status() const;  // lines for operators, written every 200 ms while the keeper runs

 private:
  using Verdict = recovery::RejoinGuard::Verdict;

  void run();
  void process_inputs(std::vector<Input>& inputs);
  void publish_output();
  void open_store();
  void start_keeper();
  void store_claim();
  bool try_start_keeper();
  void check_if_behind();

  keeper::Options options_;
  store::StoredOwner self_;
  std::optional<recovery::RejoinGuard> rejoin_guard_;
  recovery::VoteGuard vote_guard_;
  bool reported_behind_ = false;                  // that the log is behind was logged
  Verdict reported_verdict_ = Verdict::kAllowed;  // the last that was logged
  bool store_failed_ = false;
  std::string folder_;
  std::unique_ptr<store::LogStore> store_;
  std::unique_ptr<keeper::Keeper> keeper_;
  std::unique_ptr<fleet::KeeperRole> role_;
  budget::Terms own_terms_;
  TimeUs retry_at_ = 0;        // of opening a store that failed
  TimeUs next_status_at_ = 0;  // when `status_` is written next
  std::vector<std::string> log_lines_;
  bool was_leader_ = false;
  WakeupEvent wakeup_;

  mutable std::mutex mutex_;  // guards the members below, except the thread
  std::condition_variable input_available_;
  std::vector<Input> inputs_;
  Output output_;
  std::string status_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace orchidgw::net
