// A fleet in small, on a network and a clock moved by hand: the real ledger, arbiter and holders, with one
// agreed log whose leader may change at any step. Each message may be lost, doubled, late or out of turn;
// members stop, sleep, start anew and forget; clocks run apart within the stated drift.
//
// After each step the parts that all processes use together are held against the whole.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "budget/arbiter.h"
#include "budget/holder.h"
#include "budget/ledger.h"

namespace orchidgw::budget {

class FleetWorld {
 public:
  FleetWorld(Terms terms, std::size_t members) : terms_(std::move(terms)) {
    arbiter_.wants(terms_);
    for (std::size_t i = 0; i < members; ++i) start(i);
    lead();
  }

  std::size_t members() const { return nodes_.size(); }
  std::size_t messages() const { return asks_.size() + grants_.size(); }
  TimeUs now() const { return now_; }

  void pass(TimeUs time) { now_ += time; }

  // The keepers' part: a new leader, with a clock of its own.
  void lead(double clock_rate = 1) {
    keeper_rate_ = clock_rate;
    arbiter_.follow();
    arbiter_.lead(keeper_now(), ledger_);
  }

  // Puts on the log what the leader has to say, and answers.
  void agree() {
    const auto entry = arbiter_.next(keeper_now(), ledger_);
    if (!entry) return;
    const std::vector<Grant> grants = ledger_.apply(*entry);
    arbiter_.applied(keeper_now(), ledger_, grants);
    arbiter_.done();
    for (const Grant& grant : grants) grants_.push_back(grant);
  }

  // A member's part. One that sleeps neither asks nor hears, and its clock goes on.
  void start(std::size_t i, double clock_rate = 1) {
    if (nodes_.size() <= i) nodes_.resize(i + 1);
    nodes_[i].holder = std::make_unique<Holder>(MemberKey{"c" + std::to_string(i), ++incarnation_}, terms_);
    nodes_[i].rate = clock_rate;
    nodes_[i].started_at = now_;
    nodes_[i].used.assign(terms_.allowances.size(), 0);
    nodes_[i].demand.assign(terms_.allowances.size(), 0);
  }
  void kill(std::size_t i) { nodes_[i].holder.reset(); }
  bool lives(std::size_t i) const { return nodes_[i].holder != nullptr; }
  void demand(std::size_t i, Parts parts) { nodes_[i].demand.assign(terms_.allowances.size(), parts); }

  void ask(std::size_t i) {
    if (!lives(i)) return;
    settle_use();
    asks_.push_back(nodes_[i].holder->ask(local(i), nodes_[i].demand, beyond_cut_off(i)));
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
      const Ask ask = asks_[n];
      if (!keep) asks_.erase(asks_.begin() + static_cast<long>(n));
      arbiter_.asked(ask);
      return;
    }
    n -= asks_.size();
    if (n >= grants_.size()) return;
    const Grant grant = grants_[n];
    if (!keep) grants_.erase(grants_.begin() + static_cast<long>(n));
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (lives(i) && nodes_[i].holder->self() == grant.to)
        nodes_[i].holder->answered(local(i), grant, {ledger_.terms()});
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

  const Ledger& ledger() const { return ledger_; }
  const Holder& holder(std::size_t i) const { return *nodes_[i].holder; }
  TimeUs local(std::size_t i) const {
    return nodes_[i].started_at +
           static_cast<TimeUs>(static_cast<double>(now_ - nodes_[i].started_at) * nodes_[i].rate);
  }

 private:
  struct Node {
    std::unique_ptr<Holder> holder;
    double rate = 1;
    TimeUs started_at = 0;
    std::vector<Parts> used;
    std::vector<Parts> demand;
  };

  TimeUs keeper_now() const { return static_cast<TimeUs>(static_cast<double>(now_) * keeper_rate_); }

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
  double keeper_rate_ = 1;
  std::uint64_t incarnation_ = 0;
  Ledger ledger_;
  Arbiter arbiter_;
  std::vector<Node> nodes_;
  std::vector<Ask> asks_;
  std::vector<Grant> grants_;
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
