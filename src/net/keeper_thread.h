// A keeper's own thread: the agreed log, whose store blocks while the disk writes, and the ledger that comes
// of it. The loop hands messages in and takes messages out; between them is one queue each way, bounded.
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
  struct LeaseRequest {
    fleet::LinkId link = 0;
    budget::Ask ask;
  };
  struct KeyRequest {
    fleet::LinkId link = 0;
    promises::KeyAsk ask;
  };
  struct LinkClosed {
    fleet::LinkId link = 0;
  };
  struct HelloReceived {  // by another keeper
    fleet::KeeperId by = 0;
    std::vector<fleet::KeeperId> begun;
    fleet::LogStanding log_standing;
  };
  using Input =
      std::variant<fleet::LogMessage, LeaseRequest, KeyRequest, LinkClosed, HelloReceived, budget::Terms>;

  struct KeeperState {  // of this keeper, as of now; see recovery::DiskClaim and VoteFloor
    bool store_in_use = false;
    std::vector<fleet::KeeperId> begun;            // whom it knows to have begun
    std::vector<fleet::KeeperId> awaited_keepers;  // whose greeting it needs before it may begin, or vote
    fleet::LogStanding log_standing;
    bool operator==(const KeeperState&) const = default;
  };
  struct Output {
    std::vector<fleet::LogMessage> to_keepers;
    std::vector<fleet::KeeperRole::Reply> replies;
    std::vector<std::string> log_lines;  // for the log
    KeeperState state;
  };

  // Opens the store. Throws what names the folder and the reason.
  KeeperThread(const keeper::Options& options, const std::string& folder, const store::StoredOwner& self,
               const budget::Terms& own);
  ~KeeperThread();
  KeeperThread(const KeeperThread&) = delete;
  KeeperThread& operator=(const KeeperThread&) = delete;

  // Readable while there is something to take; `take` clears it. Owned by the caller. Throws SystemCallError.
  int wake_descriptor() const { return wake_.duplicate(); }
  bool post(Input input);  // false: the queue is full, the message is left out
  Output take();
  std::string status() const;  // as of a moment ago

 private:
  using Verdict = recovery::DiskClaim::Verdict;

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
  std::optional<recovery::DiskClaim> disk_claim_;
  recovery::VoteFloor vote_floor_;
  bool reported_behind_ = false;              // said so
  Verdict reported_verdict_ = Verdict::kMay;  // last in a note
  bool store_failed_ = false;                 // the store did
  std::string folder_;
  std::unique_ptr<store::LogStore> store_;
  std::unique_ptr<keeper::Keeper> keeper_;
  std::unique_ptr<fleet::KeeperRole> role_;
  budget::Terms own_terms_;
  TimeUs retry_at_ = 0;        // of a keeper whose store failed
  TimeUs next_status_at_ = 0;  // when the status is written next
  std::vector<std::string> log_lines_;
  bool was_leader_ = false;
  Wake wake_;

  mutable std::mutex mutex_;
  std::condition_variable input_available_;
  std::vector<Input> inputs_;
  Output output_;
  std::string status_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace orchidgw::net
