// A simulated fleet: the program's own keepers and members (libraft, ledger, arbiter, holder, roles) on a
// simulated network, disks and clock. A run is determined by its seed.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "fleet/keeper_role.h"
#include "fleet/member_role.h"
#include "keeper/keeper.h"
#include "memory_store.h"
#include "promises/key_holder.h"
#include "recovery/vote_floor.h"
#include "thrift/fleet_codec.h"

namespace orchidgw::fleet {

class FleetSimulation {
 public:
  struct Shape {
    int keepers = 3;
    int members = 5;
    budget::Terms terms;
  };

  FleetSimulation(const Shape& shape, std::uint64_t seed) : shape_(shape), random_(seed) {
    keepers_.resize(static_cast<std::size_t>(shape.keepers));
    members_.resize(static_cast<std::size_t>(shape.members));
    for (std::size_t k = 0; k < keepers_.size(); ++k) start_keeper(k);
    for (std::size_t m = 0; m < members_.size(); ++m) start_member(m);
  }

  // --- Faults ---
  // Controllers are numbered: keepers first, from 0, then members. `cut` drops all messages in one direction,
  // or delivers them again if not `on`.
  void cut(std::size_t from, std::size_t to, bool on) { cut_links_[{from, to}] = on; }
  // Ends all faults of the network and slow disks.
  void heal() {
    cut_links_.clear(), delays_.clear();
    for (Keeper& k : keepers_) k.commit_takes = 0;
  }
  // Delays all messages from and to a controller.
  void slow(std::size_t controller, TimeUs by) { delays_[controller] = by; }
  void kill_keeper(std::size_t k) {
    keepers_[k].keeper.reset(), keepers_[k].role.reset(), keepers_[k].store.reset();
  }
  void start_keeper(std::size_t k) {
    Keeper& at = keepers_[k];
    if (at.keeper) return;
    at.store = std::make_unique<store::MemoryStore>(at.disk);
    at.role = std::make_unique<KeeperRole>(shape_.terms);
    keeper::Options options;
    options.id = static_cast<KeeperId>(k + 1);
    for (std::size_t i = 0; i < keepers_.size(); ++i) options.voters.push_back(static_cast<KeeperId>(i + 1));
    options.seed = random_();
    options.election_ms = static_cast<unsigned>(shape_.terms.term / 4'000);
    options.heartbeat_ms = static_cast<unsigned>(shape_.terms.term / 24'000);
    options.snapshot_threshold = 24;
    options.snapshot_trailing = 8;
    at.keeper = std::make_unique<keeper::Keeper>(options, *at.store, *at.role, now_);
    at.floor.emplace(options.id, options.voters, now_, 2 * static_cast<TimeUs>(options.election_ms) * 1'000);
  }
  // A copy of a keeper's disk, and replacing the disk by such a copy; the keeper must not run then.
  store::Disk copy_of_disk(std::size_t k) const { return keepers_[k].disk; }
  void put_back_disk(std::size_t k, store::Disk copy) { keepers_[k].disk = std::move(copy); }
  // Stops all keepers and members at once: committed data survives, messages in flight are lost.
  void power_off() {
    for (std::size_t k = 0; k < keepers_.size(); ++k) kill_keeper(k);
    for (std::size_t m = 0; m < members_.size(); ++m) kill_member(m);
    in_flight_.clear();
  }
  const budget::Ledger& ledger(std::size_t k) const { return keepers_[k].role->state().ledger; }
  void kill_member(std::size_t m) { members_[m].role.reset(), members_[m].keys.reset(); }
  void start_member(std::size_t m) {
    std::vector<KeeperId> ids;
    for (std::size_t i = 0; i < keepers_.size(); ++i) ids.push_back(static_cast<KeeperId>(i + 1));
    members_[m].role.emplace(budget::MemberKey{"c" + std::to_string(m), static_cast<std::uint64_t>(now_)},
                             shape_.terms, ids, random_());
    members_[m].keys.emplace(members_[m].role->holder().self());
    members_[m].paused_until = 0;
  }
  void pause_member(std::size_t m, TimeUs time) { members_[m].paused_until = now_ + time; }
  void pause_keeper(std::size_t k, TimeUs time) { keepers_[k].paused_until = now_ + time; }
  void leave(std::size_t m) {
    if (members_[m].role) members_[m].role->leave(now_);
  }
  void fail_disk(std::size_t k, int commits) { keepers_[k].disk.fail_commits = commits; }
  // Each commit of the keeper takes so long; it does nothing else meanwhile, and its messages leave
  // afterwards.
  void slow_disk(std::size_t k, TimeUs commit_takes) { keepers_[k].commit_takes = commit_takes; }
  void demand(std::size_t m, budget::Parts parts) { members_[m].demand = parts; }

  // --- Time ---
  void run(TimeUs time, TimeUs step = 5'000) {
    for (const TimeUs until = now_ + time; now_ < until && overdrawn_.empty();) {
      now_ += step;
      step_all();
    }
  }

  TimeUs now() const { return now_; }
  // The first invariant that was violated, as a text; empty: none. A run stops there.
  const std::string& violation() const { return overdrawn_; }
  bool member_lives(std::size_t m) const { return members_[m].role.has_value(); }
  const budget::LeaseHolder& holder(std::size_t m) const { return members_[m].role->holder(); }
  std::size_t keepers() const { return keepers_.size(); }
  std::size_t members() const { return members_.size(); }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t keys_sent() const { return keys_sent_; }
  std::uint64_t keys_refused() const { return keys_refused_; }
  std::uint64_t leaders() const { return leaders_; }  // number of times that a keeper became the leader
  // Number of the keeper that is the leader; -1: there is none.
  int leads() const {
    int n = -1;
    for (std::size_t k = 0; k < keepers_.size(); ++k)
      if (keepers_[k].keeper && keepers_[k].keeper->leads()) n = static_cast<int>(k);
    return n;
  }

  // True: all parts but the reserve are leased to running members.
  bool fully_leased() const {
    for (std::size_t a = 0; a < shape_.terms.allowances.size(); ++a) {
      budget::Parts sum = 0;
      for (const Member& m : members_)
        if (m.role && m.role->holder().leased(now_)) sum += m.role->holder().part(a);
      if (sum != shape_.terms.shared(a) - shape_.terms.allowances[a].reserve) return false;
    }
    return true;
  }

 private:
  struct Keeper {
    store::Disk disk;
    std::unique_ptr<store::MemoryStore> store;
    std::unique_ptr<KeeperRole> role;
    std::unique_ptr<keeper::Keeper> keeper;
    std::optional<recovery::VoteGuard> floor;
    TimeUs paused_until = 0;
    bool led = false;
    TimeUs commit_takes = 0;
  };
  struct Member {
    std::optional<MemberRole> role;
    std::optional<promises::KeyHolder> keys;
    std::map<std::uint64_t, std::string> wants;  // keys by query; the query is the ticket too
    TimeUs paused_until = 0;
    budget::Parts demand = 0;
  };
  struct InFlight {  // a message in flight
    std::size_t from = 0;
    std::size_t to = 0;
    std::string bytes;
  };

  void send(std::size_t from, std::size_t to, const Message& message, TimeUs commit_time = 0) {
    const std::string bytes = thrift::encode_fleet_message(message);
    ++messages_;
    bytes_ += bytes.size();
    if (cut_links_[{from, to}] || random_() % 64 == 0) return;  // some messages are always lost
    TimeUs delay = commit_time + 500 + static_cast<TimeUs>(random_() % 8'000) + delays_[from] + delays_[to];
    if (random_() % 50 == 0) delay += static_cast<TimeUs>(random_() % 400'000);  // some are reordered
    in_flight_.emplace(now_ + delay, InFlight{from, to, bytes});
    // Some are delivered twice.
    if (random_() % 64 == 0) in_flight_.emplace(now_ + 2 * delay, InFlight{from, to, bytes});
  }

  void deliver(const InFlight& in_flight) {
    const auto message = thrift::decode_fleet_message(std::string_view(in_flight.bytes).substr(4));
    if (!message) {  // a message of the program itself must be readable
      overdrawn_ = "a message of " + std::to_string(in_flight.bytes.size()) + " bytes that can't be read";
      return;
    }
    if (in_flight.to < keepers_.size()) {
      Keeper& k = keepers_[in_flight.to];
      if (!k.keeper) return;
      const auto* log = std::get_if<LogMessage>(&*message);
      if (log != nullptr && k.floor->allows(*log, now_)) k.keeper->receive(*log);
      if (const auto* ask = std::get_if<budget::LeaseRequest>(&*message))
        k.role->on_request(*k.keeper, in_flight.from, *ask);
      if (const auto* ask = std::get_if<promises::KeyRequest>(&*message))
        k.role->on_request(*k.keeper, in_flight.from, *ask);
      return;
    }
    Member& m = members_[in_flight.to - keepers_.size()];
    if (!m.role) return;
    if (const auto* grant = std::get_if<GrantReply>(&*message)) m.role->on_reply(now_, *grant);
    if (const auto* redirect = std::get_if<Redirect>(&*message)) m.role->on_reply(now_, *redirect);
    if (const auto* told = std::get_if<promises::KeyReply>(&*message))
      handle_key_results(in_flight.to - keepers_.size(), m.keys->answered(now_, *told));
  }

  bool is_paused(std::size_t controller) const {
    return (controller < keepers_.size() ? keepers_[controller].paused_until
                                         : members_[controller - keepers_.size()].paused_until) > now_;
  }

  void step_all() {
    for (auto it = in_flight_.begin(); it != in_flight_.end() && it->first <= now_;) {
      if (is_paused(it->second.to)) {  // delivered once the receiver runs again
        ++it;
        continue;
      }
      const InFlight in_flight = it->second;
      it = in_flight_.erase(it);
      deliver(in_flight);
    }
    for (std::size_t k = 0; k < keepers_.size(); ++k) step_keeper(k);
    for (std::size_t m = 0; m < members_.size(); ++m) step_member(m);
    check_sums();
  }

  // Exchanges greetings of keepers, which arrive reliably as they are sent on a new connection.
  void exchange_greetings(std::size_t k) {
    for (const KeeperId id : keepers_[k].floor->waits_for(now_)) {
      const std::size_t other = id - 1;
      const bool reachable =
          keepers_[other].keeper && !is_paused(other) && !cut_links_[{k, other}] && !cut_links_[{other, k}];
      if (reachable && random_() % 8 == 0)
        keepers_[k].floor->on_greeting(id, keepers_[other].keeper->log_progress());
    }
  }

  void step_keeper(std::size_t k) {
    Keeper& at = keepers_[k];
    if (!at.keeper || is_paused(k)) return;
    exchange_greetings(k);
    const int commits = at.disk.commits;
    at.keeper->advance(now_);
    at.keeper->flush();
    at.role->run(now_, *at.keeper);
    at.keeper->flush();
    at.role->run(now_, *at.keeper);
    if (at.keeper->leads() && !at.led) ++leaders_;
    at.led = at.keeper->leads();
    const TimeUs commit_time = (at.disk.commits - commits) * at.commit_takes;
    if (commit_time > 0) at.paused_until = now_ + commit_time;
    for (const LogMessage& message : at.keeper->take_outbox())
      if (at.floor->allows(message, now_)) send(k, message.to - 1, message, commit_time);
    for (const auto& reply : at.role->take_replies())
      send(k, reply.link, message_of(reply.answer), commit_time);
    if (!at.keeper->failure().empty()) {  // restarted on the same store, as the program does
      kill_keeper(k);
      start_keeper(k);
    }
  }

  void step_member(std::size_t m) {
    Member& at = members_[m];
    const std::size_t controller = keepers_.size() + m;
    if (at.role && !is_paused(controller) && shape_.terms.longest_key_hold > 0) step_keys(m);
    if (!at.role || is_paused(controller) || !at.role->due(now_) || at.role->holder().left()) return;
    const std::size_t n = at.role->holder().terms().allowances.size();
    const budget::LeaseRequest ask = at.role->ask(now_, std::vector<budget::Parts>(n, at.demand), {});
    send(controller, at.role->keeper_to_ask() - 1, ask);
  }

  // Each member requests one of a few keys now and then. A query whose key is granted is sent at once and may
  // run then; some queries are known not to have run after all, and their keys are released.
  void step_keys(std::size_t m) {
    Member& at = members_[m];
    at.keys->set_term(shape_.terms.term);
    if (random_() % 40 == 0 && at.role->holder().leased(now_) && !at.keys->keepers_unresponsive(now_)) {
      const std::uint64_t query = ++last_query_;
      at.wants[query] = "key " + std::to_string(random_() % (10 * members_.size()));
      at.keys->want(now_, query, {query, at.wants[query], shape_.terms.longest_key_hold});
    }
    handle_key_results(m, at.keys->take_timed_out(now_));
    while (const auto ask = at.keys->next(now_))
      send(keepers_.size() + m, at.role->keeper_to_ask() - 1, *ask);
  }

  void handle_key_results(std::size_t m, const std::vector<promises::KeyHolder::Verdict>& verdicts) {
    Member& at = members_[m];
    for (const auto& verdict : verdicts) {
      const auto node = at.wants.extract(verdict.ticket);
      if (verdict.result == promises::KeyResult::kHeld) ++keys_refused_;
      if (verdict.result != promises::KeyResult::kGranted) continue;
      const std::string& key = node.mapped();
      if (random_() % 4 == 0) {  // it could not be sent
        at.keys->release({verdict.ticket, key});
        continue;
      }
      ++keys_sent_;
      const auto before = sent_at_.find(key);
      if (before != sent_at_.end() && now_ - before->second < shape_.terms.longest_key_hold)
        overdrawn_ = key + " ran twice within " + std::to_string(now_ - before->second) + " us";
      sent_at_[key] = now_;
    }
  }

  // The usable parts must never sum to more than the whole. Paused members count too: they may resume at any
  // moment and use their leases.
  void check_sums() {
    for (std::size_t a = 0; a < shape_.terms.allowances.size(); ++a) {
      const budget::Allowance& terms = shape_.terms.allowances[a];
      budget::Parts sum = (shape_.terms.largest - static_cast<int>(members_.size())) * terms.cut_off;
      for (const Member& m : members_) sum += m.role ? m.role->holder().usable(now_, a) : terms.cut_off;
      if (sum > terms.whole)
        overdrawn_ = terms.name + " " + std::to_string(sum) + " of " + std::to_string(terms.whole);
    }
  }

  Shape shape_;
  std::mt19937_64 random_;
  TimeUs now_ = 1'000'000'000;
  std::vector<Keeper> keepers_;
  std::vector<Member> members_;
  std::multimap<TimeUs, InFlight> in_flight_;
  std::map<std::pair<std::size_t, std::size_t>, bool> cut_links_;
  std::map<std::size_t, TimeUs> delays_;
  std::string overdrawn_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t leaders_ = 0;
  std::map<std::string, TimeUs> sent_at_;  // by key: when a query with it was last sent
  std::uint64_t last_query_ = 0;
  std::uint64_t keys_sent_ = 0;
  std::uint64_t keys_refused_ = 0;
};

inline FleetSimulation::Shape fleet_shape(int keepers, int members) {
  FleetSimulation::Shape out;
  out.keepers = keepers;
  out.members = members;
  out.terms.revision = 1;
  out.terms.largest = members + 2;
  out.terms.term = 3'000'000;
  out.terms.drift_ppm = 1'000;
  out.terms.longest_key_hold = 4'000'000;
  const budget::Parts each = 100'000 / out.terms.largest;
  out.terms.allowances = {{"cpu/a", 1'000'000, 2 * each, 50'000, each},
                          // The parts set aside have to fit, as the program requires of its own file.
                          {"concurrency/r", std::max(400, 2 * out.terms.largest), 1, 10, 1}};
  return out;
}

}  // namespace orchidgw::fleet
