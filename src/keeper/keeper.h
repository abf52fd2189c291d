// A replicated log on Debian's libraft, whose core does no I/O of its own: time, random numbers, messages and
// storage are given to it here, so that the same code runs behind sockets and a disk, and on a network, disk
// and clock moved by hand. The library is seen by this package only.
//
// Not to be used from two threads. It may block in `settle`, while the store commits.
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
  std::vector<fleet::KeeperId> voters;  // 1, 3 or 5 of them, this one too; fixed once the log has begun
  unsigned heartbeat_ms = 100;
  unsigned election_ms = 1'000;  // a follower that hears nothing for once to twice this long stands itself
  std::uint64_t seed = 0;        // of those times
  unsigned compact_after = 256;  // entries behind the last snapshot: then another is taken
  unsigned kept_behind = 64;     // entries kept before it, for followers that are a little behind
};

// The form in which a snapshot says who votes.
std::string configuration_of(const std::vector<fleet::KeeperId>& voters);

// Who votes by that log: its newest change of keepers, else its snapshot. Empty: it does not tell.
std::vector<fleet::KeeperId> voters_of(const store::Stored& stored);

class KeeperError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Keeper final : public fleet::AgreedLog {
 public:
  // Takes up what the store has; begins the log where it has nothing. Throws KeeperError or StoreError.
  Keeper(const Options& options, store::LogStore& store, fleet::Replica& replica, TimeUs now);
  ~Keeper() override;
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  void advance(TimeUs now);  // time passes: heartbeats, elections
  TimeUs next_tick() const;
  void receive(const fleet::LogMessage& message);
  // Makes durable what was asked, then goes on with what waited for that. Nothing leaves before.
  void settle();
  std::vector<fleet::LogMessage> take_outbox();
  // The store failed, or the library gave up: nothing more comes of this one. Another may be made on the
  // store.
  const std::string& failure() const;

  bool leads() const override;
  std::uint64_t term() const override;
  fleet::KeeperId leader() const override;
  bool propose(const fleet::Entry& entry) override;
  std::uint64_t finished() const override;
  fleet::LogStanding standing() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace orchidgw::keeper
