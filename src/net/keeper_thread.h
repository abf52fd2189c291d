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
  struct Asked {
    fleet::LinkId link = 0;
    budget::Ask ask;
  };
  struct KeysAsked {
    fleet::LinkId link = 0;
    promises::KeyAsk ask;
  };
  struct LinkGone {
    fleet::LinkId link = 0;
  };
  struct Greeted {  // by another keeper
    fleet::KeeperId by = 0;
    std::vector<fleet::KeeperId> begun;
    fleet::LogStanding at;
  };
  using Input = std::variant<fleet::LogMessage, Asked, KeysAsked, LinkGone, Greeted, budget::Terms>;

  struct Standing {  // of this keeper, as of now; see recovery::DiskClaim and VoteFloor
    bool keeps = false;
    std::vector<fleet::KeeperId> begun;      // whom it knows to have begun
    std::vector<fleet::KeeperId> waits_for;  // whose greeting it needs before it may begin, or vote
    fleet::LogStanding at;
    bool operator==(const Standing&) const = default;
  };
  struct Output {
    std::vector<fleet::LogMessage> to_keepers;
    std::vector<fleet::KeeperRole::Reply> replies;
    std::vector<std::string> notes;  // for the log
    Standing standing;
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
  void take_in(std::vector<Input>& inputs);
  void give_out();
  void open_store();
  void begin_keeper();
  void store_claim();
  bool make_keeper();
  void look_if_behind();

  keeper::Options options_;
  store::StoredOwner self_;
  std::optional<recovery::DiskClaim> claim_;
  recovery::VoteFloor floor_;
  bool behind_ = false;           // said so
  Verdict said_ = Verdict::kMay;  // last in a note
  bool failed_ = false;           // the store did
  std::string folder_;
  std::unique_ptr<store::LogStore> store_;
  std::unique_ptr<keeper::Keeper> keeper_;
  std::unique_ptr<fleet::KeeperRole> role_;
  budget::Terms own_;
  TimeUs retry_at_ = 0;   // of a keeper whose store failed
  TimeUs status_at_ = 0;  // when the status is written next
  std::vector<std::string> notes_;
  bool led_ = false;
  Wake wake_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Input> inputs_;
  Output output_;
  std::string status_;
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace orchidgw::net
