// A fleet in small, on a network and a clock moved by hand: the real keepers' roles, ledgers and holders over
// a model of an agreed log. Keepers lag behind it, stop and forget; a leader that was deposed goes on as one
// until it learns of it, and the entry it had on its way may have been agreed on or not. Each message may be
// lost, doubled, late or out of turn; members stop, start anew and forget; clocks run apart within the drift.
//
// After each step the parts that all processes use together are held against the whole.
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
    for (std::size_t i = 0; i < members; ++i) start(i);
    elect(0, false);
    pass(Terms::surely_over_after(terms_.term, terms_.drift_ppm));  // a new log waits for what may be out
  }

  std::size_t members() const { return nodes_.size(); }
  std::size_t keepers() const { return keepers_.size(); }
  std::size_t messages() const { return asks_.size() + grants_.size(); }
  TimeUs now() const { return now_; }

  void pass(TimeUs time) { now_ += time; }

  // Another keeper leads, with a clock of its own; the one before does not know, or is the same one and has
  // forgotten all but the log. `adopt`: the entry that was on its way is on the log.
  void elect(std::size_t k, bool adopt, double clock_rate = 1) {
    std::optional<fleet::Entry>& pending = keepers_[leader_].pending;
    if (adopt && pending) {
      agreed_.push_back(*pending);
      pending.reset();
      ++keepers_[leader_].finished;
    }
    if (k == leader_) keepers_[k] = KeeperNode(terms_);
    keepers_[k].rate = clock_rate;
    if (keepers_[k].pending) keepers_[k].pending.reset(), ++keepers_[k].finished;
    leader_ = k;
    catch_up(k);
    keepers_[k].leads = true;
    keepers_[k].term = ++term_;
    turn(k);
  }
  // All keepers lose their disks at once, and begin another log; holders go on.
  void lose_disks() {
    for (KeeperNode& keeper : keepers_) keeper = KeeperNode(terms_);
    agreed_.clear();
    elect(leader_, false);
  }
  // Who was deposed learns of it, and all of the log.
  bool learn() {
    bool any = false;
    for (std::size_t k = 0; k < keepers_.size(); ++k) {
      if (k == leader_) continue;
      any = any || keepers_[k].leads;
      keepers_[k].leads = false;
      if (keepers_[k].pending) keepers_[k].pending.reset(), ++keepers_[k].finished;
      catch_up(k);
      turn(k);
    }
    return any;
  }
  // The leader proposes what it has to say.
  bool propose() {
    const bool before = keepers_[leader_].pending.has_value();
    for (std::size_t k = 0; k < keepers_.size(); ++k)
      if (keepers_[k].leads) turn(k);  // so does who was deposed, to itself
    return !before && keepers_[leader_].pending;
  }
  // What it proposed is on the log of a majority: it applies it and answers.
  bool commit() {
    KeeperNode& leader = keepers_[leader_];
    if (!leader.pending) return false;
    agreed_.push_back(*leader.pending);
    leader.pending.reset();
    ++leader.finished;
    catch_up(leader_);
    turn(leader_);
    return true;
  }
  bool agree() {
    propose();
    return commit();
  }

  // A member's part. One that sleeps neither asks nor hears, and its clock goes on.
  void start(std::size_t i, double clock_rate = 1) {
    if (nodes_.size() <= i) nodes_.resize(i + 1);
    nodes_[i].holder.emplace(MemberKey{"c" + std::to_string(i), ++incarnation_}, terms_);
    nodes_[i].rate = clock_rate;
    nodes_[i].started_at = now_;
    nodes_[i].used.assign(terms_.allowances.size(), 0);
    nodes_[i].demand.assign(terms_.allowances.size(), 0);
  }
  void kill(std::size_t i) { nodes_[i].holder.reset(); }
  bool lives(std::size_t i) const { return nodes_[i].holder.has_value(); }
  void demand(std::size_t i, Parts parts) { nodes_[i].demand.assign(terms_.allowances.size(), parts); }

  // Of the leader, or of one that was deposed if there is one that does not know.
  void ask(std::size_t i, bool deposed = false) {
    if (!lives(i)) return;
    settle_use();
    std::size_t to = leader_;
    for (std::size_t k = 0; deposed && k < keepers_.size(); ++k)
      if (k != leader_ && keepers_[k].leads) to = k;
    asks_.push_back({to, i, nodes_[i].holder->ask(local(i), nodes_[i].demand, beyond_cut_off(i))});
  }

  // Uses all that it may: what it took stays in use until it is released, whatever its lease is by then.
  void use(std::size_t i) {
    for (std::size_t a = 0; lives(i) && a < terms_.allowances.size(); ++a)
      nodes_[i].used[a] = std::max(nodes_[i].used[a], nodes_[i].holder->usable(local(i), a));
  }
  void release(std::size_t i) {
    for (std::size_t a = 0; lives(i) && a < terms_.allowances.size(); ++a)
      nodes_[i].used[a] = std::min(nodes_[i].used[a], nodes_[i].holder->usable(local(i), a));
  }

  // The network's part, by the place of the message.
  void deliver(std::size_t n, bool keep = false) {
    if (n < asks_.size()) {
      const Asked asked = asks_[n];
      if (!keep) asks_.erase(asks_.begin() + static_cast<long>(n));
      keepers_[asked.keeper].role.asked(Log(*this, asked.keeper), asked.member, asked.ask);
      return;
    }
    n -= asks_.size();
    if (n >= grants_.size()) return;
    const fleet::GrantTold told = grants_[n];
    if (!keep) grants_.erase(grants_.begin() + static_cast<long>(n));
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (lives(i)) nodes_[i].holder->answered(local(i), told.grant, told.terms);
  }
  void lose(std::size_t n) {
    if (n < asks_.size()) {
      asks_.erase(asks_.begin() + static_cast<long>(n));
    } else if (n - asks_.size() < grants_.size()) {
      grants_.erase(grants_.begin() + static_cast<long>(n - asks_.size()));
    }
  }
  void lose_all() { asks_.clear(), grants_.clear(); }

  // What is in use, or may be from this moment on; controllers that are not there count with their cut-off
  // part. Empty: all is well.
  std::string overdrawn() {
    settle_use();
    for (std::size_t a = 0; a < terms_.allowances.size(); ++a) {
      Parts sum = 0;
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        sum += lives(i) ? std::max(nodes_[i].used[a], nodes_[i].holder->usable(local(i), a))
                        : terms_.allowances[a].cut_off;
      sum += (terms_.largest - static_cast<int>(nodes_.size())) * terms_.allowances[a].cut_off;
      if (sum > terms_.allowances[a].whole)
        return terms_.allowances[a].name + ": " + std::to_string(sum) + " of " +
               std::to_string(terms_.allowances[a].whole) + " in use";
    }
    return "";
  }

  // Every part but the reserve is somebody's.
  bool all_in_use() {
    for (std::size_t a = 0; a < terms_.allowances.size(); ++a) {
      Parts sum = 0;
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        sum += lives(i) ? nodes_[i].holder->usable(local(i), a) - terms_.allowances[a].cut_off : 0;
      if (sum != terms_.shared(a) - terms_.allowances[a].reserve) return false;
    }
    return true;
  }

  const Holder& holder(std::size_t i) const { return *nodes_[i].holder; }
  TimeUs local(std::size_t i) const {
    return nodes_[i].started_at +
           static_cast<TimeUs>(static_cast<double>(now_ - nodes_[i].started_at) * nodes_[i].rate);
  }

 private:
  struct KeeperNode {
    explicit KeeperNode(const Terms& own) : role(own) {}
    fleet::KeeperRole role;
    std::size_t applied = 0;
    bool leads = false;  // as it thinks
    std::uint64_t term = 0;
    std::optional<fleet::Entry> pending;
    std::uint64_t finished = 0;
    double rate = 1;
  };
  class Log final : public fleet::AgreedLog {  // as one keeper sees it
   public:
    Log(FleetWorld& world, std::size_t k) : world_(world), at_(world.keepers_[k]) {}
    bool leads() const override { return at_.leads; }
    std::uint64_t term() const override { return at_.term; }
    fleet::KeeperId leader() const override { return static_cast<fleet::KeeperId>(world_.leader_ + 1); }
    bool propose(const fleet::Entry& entry) override {
      if (at_.pending) return false;
      at_.pending = entry;
      return true;
    }
    std::uint64_t finished() const override { return at_.finished; }

   private:
    FleetWorld& world_;
    KeeperNode& at_;
  };
  struct Asked {
    std::size_t keeper = 0;
    std::size_t member = 0;
    Ask ask;
  };
  struct Node {
    std::optional<Holder> holder;
    double rate = 1;
    TimeUs started_at = 0;
    std::vector<Parts> used;
    std::vector<Parts> demand;
  };

  void catch_up(std::size_t k) {
    for (KeeperNode& at = keepers_[k]; at.applied < agreed_.size(); ++at.applied)
      at.role.apply(agreed_[at.applied]);
  }
  void turn(std::size_t k) {
    Log log(*this, k);
    keepers_[k].role.run(static_cast<TimeUs>(static_cast<double>(now_) * keepers_[k].rate), log);
    for (const auto& reply : keepers_[k].role.take_replies())
      if (const auto* told = std::get_if<fleet::GrantTold>(&reply.answer)) grants_.push_back(*told);
  }

  // When a lease ends all beyond the cut-off part stops: what outlives it is bounded elsewhere (docs).
  void settle_use() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!lives(i)) continue;
      if (!nodes_[i].holder->leased(local(i))) release(i);
    }
  }

  std::vector<Parts> beyond_cut_off(std::size_t i) const {
    std::vector<Parts> out;
    for (std::size_t a = 0; a < terms_.allowances.size(); ++a)
      out.push_back(std::max<Parts>(nodes_[i].used[a] - terms_.allowances[a].cut_off, 0));
    return out;
  }

  Terms terms_;
  TimeUs now_ = 1'000'000'000;
  std::uint64_t incarnation_ = 0;
  std::vector<KeeperNode> keepers_;
  std::size_t leader_ = 0;
  std::uint64_t term_ = 0;
  std::vector<fleet::Entry> agreed_;
  std::vector<Node> nodes_;
  std::vector<Asked> asks_;
  std::vector<fleet::GrantTold> grants_;
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
