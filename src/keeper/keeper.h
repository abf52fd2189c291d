// A replicated log on Debian's libraft, whose core does no I/O of its own: time, random numbers, messages and
// storage are provided here, so that the same code runs with sockets and a disk, and in tests on a simulated
// network, disk and clock. Only this package uses the library.
//
// Not thread-safe. `flush` may block while the store commits.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "fleet/agreed_log.h"
#include "store/log_store.h"

namespace orchidgw::keeper {

struct Options {
  fleet::KeeperId id = 0;
  std::vector<fleet::KeeperId> voters;  // 1, 3 or 5 of them, `id` included; fixed once the log was started
  unsigned heartbeat_ms = 100;
  unsigned election_ms = 1'000;  // a follower that hears nothing for 1 to 2 times this becomes a candidate
  std::uint64_t seed = 0;        // of the election timeouts
  unsigned snapshot_threshold = 256;  // entries since the last snapshot after which another one is taken
  unsigned snapshot_trailing = 64;  // entries before a snapshot that are kept, for followers slightly behind
};

// The configuration text of a snapshot (StoredSnapshot::configuration) for these voters.
std::string configuration_of(const std::vector<fleet::KeeperId>& voters);

// The voters by that log: of its newest configuration entry, else of its snapshot. Empty: it has neither.
std::vector<fleet::KeeperId> voters_in_log(const store::StoredLog& stored);

// libraft returned an error while the keeper was set up.
class KeeperError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Keeper final : public fleet::ReplicatedLog {
 public:
  // Continues the log in `store`, or starts a new one if the store is empty. `store` and `replica` are not
  // owned and must outlive this object. Throws KeeperError or StoreError.
  Keeper(const Options& options, store::LogStore& store, fleet::StateMachine& replica, TimeUs now);
  ~Keeper() override;
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  void advance(TimeUs now);  // drives heartbeats and elections; to be called at `next_tick`
  TimeUs next_tick() const;
  // Ignores messages that are not from one of the voters, or not to this keeper.
  void receive(const fleet::LogMessage& message);
  // Commits the pending writes of the store, then runs the callbacks that waited for that, until there are
  // none. To be called before `take_outbox`: no message may be sent before what it tells of is durable.
  void flush();
  std::vector<fleet::LogMessage> take_outbox();  // removes the messages to be sent
  // Empty, or why this keeper has stopped for good: the store failed, or libraft gave up. A new Keeper may be
  // made on the same store.
  const std::string& failure() const;

  bool leads() const override;
  std::uint64_t term() const override;
  fleet::KeeperId leader() const override;
  bool propose(const fleet::Entry& entry) override;
  std::uint64_t finished_proposals() const override;
  fleet::LogProgress log_progress() const;  // how far this keeper's log has come

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace orchidgw::keeper
