// A small simulated fleet on a network and a clock that the test controls: the real keeper roles, ledgers and
// lease holders over a model of the replicated log. Keepers lag behind the log, stop and lose their state. A
// deposed leader continues as one until it is informed, and its pending entry may have been committed or not.
// Each message may be lost, duplicated, late or out of order. Members stop and restart without their state.
// Clocks drift apart within the bound.
//
// `violation` compares the parts that all processes use together with the total, after each step of a test.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "budget/holder.h"
#include "fleet/keeper_role.h"

namespace orchidgw::budget {

class FleetWorld {
 public:
  FleetWorld(Terms terms, std::size_t members, std::size_t keepers = 1) : terms_(std::move(terms)) {
    keepers_.assign(keepers, KeeperNode(terms_));
    for (std::size_t member = 0; member < members; ++member) start(member);
    elect(0, false);
    pass(Terms::safe_expiry_delay(terms_.term, terms_.drift_ppm));  // a new log waits for earlier leases
  }

  std::size_t members() const { return nodes_.size(); }
  std::size_t keepers() const { return keepers_.size(); }
  std::size_t messages() const { return requests_.size() + grants_.size(); }
  TimeUs now() const { return now_; }

  void pass(TimeUs time) { now_ += time; }

  // Another keeper leads, with its own clock. The previous leader is not informed, or is the same keeper,
  // which has lost everything but the log. `commit_pending`: the previous leader's pending entry is on the
  // log.
  void elect(std::size_t keeper, bool commit_pending, double clock_rate = 1) {
    std::optional<fleet::Entry>& pending = keepers_[leader_].pending;
    if (commit_pending && pending) {
      committed_log_.push_back(*pending);
      pending.reset();
      ++keepers_[leader_].finished_proposals;
    }
    if (keeper == leader_) keepers_[keeper] = KeeperNode(terms_);
    keepers_[keeper].clock_rate = clock_rate;
    if (keepers_[keeper].pending) keepers_[keeper].pending.reset(), ++keepers_[keeper].finished_proposals;
    leader_ = keeper;
    catch_up(keeper);
    keepers_[keeper].leads = true;
    keepers_[keeper].term = ++term_;
    run_keeper(keeper);
  }
  // All keepers lose their disks at once and begin another log; lease holders continue.
  void lose_disks() {
    for (KeeperNode& keeper : keepers_) keeper = KeeperNode(terms_);
    committed_log_.clear();
    elect(leader_, false);
  }
  // Deposed leaders are informed, and all keepers catch up with the log. Returns whether any was deposed.
  bool inform_deposed() {
    bool any_deposed = false;
    for (std::size_t keeper = 0; keeper < keepers_.size(); ++keeper) {
      if (keeper == leader_) continue;
      any_deposed = any_deposed || keepers_[keeper].leads;
      keepers_[keeper].leads = false;
      if (keepers_[keeper].pending) keepers_[keeper].pending.reset(), ++keepers_[keeper].finished_proposals;
      catch_up(keeper);
      run_keeper(keeper);
    }
    return any_deposed;
  }
  // The leader proposes its next entry. Returns whether it did.
  bool propose() {
    const bool before = keepers_[leader_].pending.has_value();
    for (std::size_t keeper = 0; keeper < keepers_.size(); ++keeper)
      if (keepers_[keeper].leads) run_keeper(keeper);  // a deposed leader does so, too, to itself
    return !before && keepers_[leader_].pending;
  }
  // The leader's pending entry is committed: the leader applies it and answers.
  bool commit() {
    KeeperNode& leader = keepers_[leader_];
    if (!leader.pending) return false;
    committed_log_.push_back(*leader.pending);
    leader.pending.reset();
    ++leader.finished_proposals;
    catch_up(leader_);
    run_keeper(leader_);
    return true;
  }
  bool propose_and_commit() {
    propose();
    return commit();
  }

  // Starts a member, with a new incarnation and without its state. A paused member neither sends nor
  // receives, while its clock continues.
  void start(std::size_t member, double clock_rate = 1) {
    if (nodes_.size() <= member) nodes_.resize(member + 1);
    nodes_[member].holder.emplace(MemberKey{"c" + std::to_string(member), ++incarnation_}, terms_);
    nodes_[member].clock_rate = clock_rate;
    nodes_[member].started_at = now_;
    nodes_[member].in_use.assign(terms_.allowances.size(), 0);
    nodes_[member].demand.assign(terms_.allowances.size(), 0);
  }
  void kill(std::size_t member) { nodes_[member].holder.reset(); }
  bool is_running(std::size_t member) const { return nodes_[member].holder.has_value(); }
  void demand(std::size_t member, Parts parts) {
    nodes_[member].demand.assign(terms_.allowances.size(), parts);
  }

  // The member sends a lease request to the leader, or to a deposed leader that is not informed, if there is
  // one.
  void ask(std::size_t member, bool deposed = false) {
    if (!is_running(member)) return;
    stop_expired_use();
    std::size_t to = leader_;
    for (std::size_t keeper = 0; deposed && keeper < keepers_.size(); ++keeper)
      if (keeper != leader_ && keepers_[keeper].leads) to = keeper;
    requests_.push_back(
        {to, member,
         nodes_[member].holder->ask(local_time(member), nodes_[member].demand, beyond_cut_off(member))});
  }

  // The member uses all that it may. It stays in use until `release`, whatever the lease is by then.
  void use(std::size_t member) {
    for (std::size_t allowance = 0; is_running(member) && allowance < terms_.allowances.size(); ++allowance)
      nodes_[member].in_use[allowance] = std::max(
          nodes_[member].in_use[allowance], nodes_[member].holder->usable(local_time(member), allowance));
  }
  void release(std::size_t member) {
    for (std::size_t allowance = 0; is_running(member) && allowance < terms_.allowances.size(); ++allowance)
      nodes_[member].in_use[allowance] = std::min(
          nodes_[member].in_use[allowance], nodes_[member].holder->usable(local_time(member), allowance));
  }

  // Delivers the message at `index`, requests first, then grants; `keep_copy`: it arrives again later.
  void deliver(std::size_t index, bool keep_copy = false) {
    if (index < requests_.size()) {
      const PendingRequest request = requests_[index];
      if (!keep_copy) requests_.erase(requests_.begin() + static_cast<long>(index));
      keepers_[request.keeper].role.on_request(Log(*this, request.keeper), request.member, request.ask);
      return;
    }
    index -= requests_.size();
    if (index >= grants_.size()) return;
    const fleet::GrantReply reply = grants_[index];
    if (!keep_copy) grants_.erase(grants_.begin() + static_cast<long>(index));
    for (std::size_t member = 0; member < nodes_.size(); ++member)
      if (is_running(member)) nodes_[member].holder->answered(local_time(member), reply.grant, reply.terms);
  }
  void lose(std::size_t index) {
    if (index < requests_.size()) {
      requests_.erase(requests_.begin() + static_cast<long>(index));
    } else if (index - requests_.size() < grants_.size()) {
      grants_.erase(grants_.begin() + static_cast<long>(index - requests_.size()));
    }
  }
  void lose_all() { requests_.clear(), grants_.clear(); }

  // Returns an error text if the parts that are in use, or may be used from now on, exceed the total; else
  // empty. Controllers that are not running count with their cut-off part.
  std::string violation() {
    stop_expired_use();
    for (std::size_t allowance = 0; allowance < terms_.allowances.size(); ++allowance) {
      Parts sum = 0;
      for (std::size_t member = 0; member < nodes_.size(); ++member)
        sum += is_running(member) ? std::max(nodes_[member].in_use[allowance],
                                             nodes_[member].holder->usable(local_time(member), allowance))
                                  : terms_.allowances[allowance].cut_off;
      sum += (terms_.largest - static_cast<int>(nodes_.size())) * terms_.allowances[allowance].cut_off;
      if (sum > terms_.allowances[allowance].whole)
        return terms_.allowances[allowance].name + ": " + std::to_string(sum) + " of " +
               std::to_string(terms_.allowances[allowance].whole) + " in use";
    }
    return "";
  }

  // Whether all parts except the reserve are leased.
  bool fully_leased() {
    for (std::size_t allowance = 0; allowance < terms_.allowances.size(); ++allowance) {
      Parts sum = 0;
      for (std::size_t member = 0; member < nodes_.size(); ++member)
        sum += is_running(member) ? nodes_[member].holder->usable(local_time(member), allowance) -
                                        terms_.allowances[allowance].cut_off
                                  : 0;
      if (sum != terms_.shared(allowance) - terms_.allowances[allowance].reserve) return false;
    }
    return true;
  }

  const LeaseHolder& holder(std::size_t member) const { return *nodes_[member].holder; }
  TimeUs local_time(std::size_t member) const {
    return nodes_[member].started_at +
           static_cast<TimeUs>(static_cast<double>(now_ - nodes_[member].started_at) *
                               nodes_[member].clock_rate);
  }

 private:
  struct KeeperNode {
    explicit KeeperNode(const Terms& own) : role(own) {}
    fleet::KeeperRole role;
    std::size_t applied = 0;
    bool leads = false;  // from its own point of view
    std::uint64_t term = 0;
    std::optional<fleet::Entry> pending;
    std::uint64_t finished_proposals = 0;
    double clock_rate = 1;
  };
  class Log final : public fleet::ReplicatedLog {  // the log as seen by one keeper
   public:
    Log(FleetWorld& world, std::size_t keeper) : world_(world), node_(world.keepers_[keeper]) {}
    bool leads() const override { return node_.leads; }
    std::uint64_t term() const override { return node_.term; }
    fleet::KeeperId leader() const override { return static_cast<fleet::KeeperId>(world_.leader_ + 1); }
    bool propose(const fleet::Entry& entry) override {
      if (node_.pending) return false;
      node_.pending = entry;
      return true;
    }
    std::uint64_t finished_proposals() const override { return node_.finished_proposals; }

   private:
    FleetWorld& world_;
    KeeperNode& node_;
  };
  struct PendingRequest {
    std::size_t keeper = 0;
    std::size_t member = 0;
    LeaseRequest ask;
  };
  struct MemberNode {
    std::optional<LeaseHolder> holder;
    double clock_rate = 1;
    TimeUs started_at = 0;
    std::vector<Parts> in_use;
    std::vector<Parts> demand;
  };

  void catch_up(std::size_t keeper) {
    for (KeeperNode& node = keepers_[keeper]; node.applied < committed_log_.size(); ++node.applied)
      node.role.apply(committed_log_[node.applied]);
  }
  void run_keeper(std::size_t keeper) {
    Log log(*this, keeper);
    keepers_[keeper].role.run(static_cast<TimeUs>(static_cast<double>(now_) * keepers_[keeper].clock_rate),
                              log);
    for (const auto& reply : keepers_[keeper].role.take_replies())
      if (const auto* granted = std::get_if<fleet::GrantReply>(&reply.answer)) grants_.push_back(*granted);
  }

  // When a lease expires, use beyond the cut-off part stops; work that outlives the lease is bounded
  // elsewhere (see docs).
  void stop_expired_use() {
    for (std::size_t member = 0; member < nodes_.size(); ++member) {
      if (!is_running(member)) continue;
      if (!nodes_[member].holder->leased(local_time(member))) release(member);
    }
  }

  std::vector<Parts> beyond_cut_off(std::size_t member) const {
    std::vector<Parts> out;
    for (std::size_t allowance = 0; allowance < terms_.allowances.size(); ++allowance)
      out.push_back(
          std::max<Parts>(nodes_[member].in_use[allowance] - terms_.allowances[allowance].cut_off, 0));
    return out;
  }

  Terms terms_;
  TimeUs now_ = 1'000'000'000;
  std::uint64_t incarnation_ = 0;
  std::vector<KeeperNode> keepers_;
  std::size_t leader_ = 0;
  std::uint64_t term_ = 0;
  std::vector<fleet::Entry> committed_log_;
  std::vector<MemberNode> nodes_;
  std::vector<PendingRequest> requests_;
  std::vector<fleet::GrantReply> grants_;
};

inline Terms small_terms(int largest = 4) {
  Terms terms;
  terms.revision = 1;
  terms.largest = largest;
  terms.term = 3'000'000;
  terms.drift_ppm = 10'000;
  terms.allowances = {{"cpu/a", 1000, 20, 50, 30}, {"concurrency/r", 41, 1, 2, 1}};
  return terms;
}

}  // namespace orchidgw::budget
