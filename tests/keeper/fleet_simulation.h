// Keepers and members as the program has them (libraft, ledger, arbiter, holder, roles), on a network, disks
// and a clock moved by hand. One seed, one run: the same each time.
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
  // A direction that is cut takes nothing; places are 0 to keepers - 1, then the members.
  void cut(std::size_t from, std::size_t to, bool on) { cut_[{from, to}] = on; }
  void heal() {
    cut_.clear(), slow_.clear();
    for (Keeper& k : keepers_) k.commit_takes = 0;
  }
  void slow(std::size_t place, TimeUs by) { slow_[place] = by; }
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
    options.compact_after = 24;
    options.kept_behind = 8;
    at.keeper = std::make_unique<keeper::Keeper>(options, *at.store, *at.role, now_);
    at.floor.emplace(options.id, options.voters, now_, 2 * static_cast<TimeUs>(options.election_ms) * 1'000);
  }
  // A copy of a keeper's disk, and that copy in its place; it does not run then.
  store::Disk copy_of_disk(std::size_t k) const { return keepers_[k].disk; }
  void put_back_disk(std::size_t k, store::Disk copy) { keepers_[k].disk = std::move(copy); }
  // Of all: what was committed is there, what was under way is not.
  void power_off() {
    for (std::size_t k = 0; k < keepers_.size(); ++k) kill_keeper(k);
    for (std::size_t m = 0; m < members_.size(); ++m) kill_member(m);
    flights_.clear();
  }
  const budget::Ledger& ledger(std::size_t k) const { return keepers_[k].role->state().ledger; }
  void kill_member(std::size_t m) { members_[m].role.reset(), members_[m].keys.reset(); }
  void start_member(std::size_t m) {
    std::vector<KeeperId> ids;
    for (std::size_t i = 0; i < keepers_.size(); ++i) ids.push_back(static_cast<KeeperId>(i + 1));
    members_[m].role.emplace(budget::MemberKey{"c" + std::to_string(m), static_cast<std::uint64_t>(now_)},
                             shape_.terms, ids, random_());
    members_[m].keys.emplace(members_[m].role->holder().self());
    members_[m].asleep_until = 0;
  }
  void pause_member(std::size_t m, TimeUs time) { members_[m].asleep_until = now_ + time; }
  void pause_keeper(std::size_t k, TimeUs time) { keepers_[k].asleep_until = now_ + time; }
  void leave(std::size_t m) {
    if (members_[m].role) members_[m].role->leave(now_);
  }
  void fail_disk(std::size_t k, int commits) { keepers_[k].disk.fail_commits = commits; }
  // Each of its commits; it does nothing else meanwhile, and what waits for the commit leaves after it.
  void slow_disk(std::size_t k, TimeUs commit_takes) { keepers_[k].commit_takes = commit_takes; }
  void demand(std::size_t m, budget::Parts parts) { members_[m].demand = parts; }

  // --- Time ---
  void run(TimeUs time, TimeUs step = 5'000) {
    for (const TimeUs until = now_ + time; now_ < until && overdrawn_.empty();) {
      now_ += step;
      turn();
    }
  }

  TimeUs now() const { return now_; }
  const std::string& overdrawn() const { return overdrawn_; }
  bool member_lives(std::size_t m) const { return members_[m].role.has_value(); }
  const budget::Holder& holder(std::size_t m) const { return members_[m].role->holder(); }
  std::size_t keepers() const { return keepers_.size(); }
  std::size_t members() const { return members_.size(); }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t keys_sent() const { return keys_sent_; }
  std::uint64_t keys_rested() const { return keys_rested_; }
  std::uint64_t leaders() const { return leaders_; }  // times that a keeper began to lead
  int leads() const {
    int n = -1;
    for (std::size_t k = 0; k < keepers_.size(); ++k)
      if (keepers_[k].keeper && keepers_[k].keeper->leads()) n = static_cast<int>(k);
    return n;
  }

  // Every part but the reserve is leased to a member that lives.
  bool all_in_use() const {
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
    std::optional<recovery::VoteFloor> floor;
    TimeUs asleep_until = 0;
    bool led = false;
    TimeUs commit_takes = 0;
  };
  struct Member {
    std::optional<MemberRole> role;
    std::optional<promises::KeyHolder> keys;
    std::map<std::uint64_t, std::string> wants;  // by query, which is its ticket too
    TimeUs asleep_until = 0;
    budget::Parts demand = 0;
  };
  struct Flight {
    std::size_t from = 0;
    std::size_t to = 0;
    std::string bytes;
  };

  void post(std::size_t from, std::size_t to, const Message& message, TimeUs held = 0) {
    const std::string bytes = thrift::write_fleet(message);
    ++messages_;
    bytes_ += bytes.size();
    if (cut_[{from, to}] || random_() % 64 == 0) return;  // one in so many is lost whatever happens
    TimeUs delay = held + 500 + static_cast<TimeUs>(random_() % 8'000) + slow_[from] + slow_[to];
    if (random_() % 50 == 0) delay += static_cast<TimeUs>(random_() % 400'000);  // out of turn
    flights_.emplace(now_ + delay, Flight{from, to, bytes});
    if (random_() % 64 == 0) flights_.emplace(now_ + 2 * delay, Flight{from, to, bytes});
  }

  void arrive(const Flight& flight) {
    const auto message = thrift::read_fleet(std::string_view(flight.bytes).substr(4));
    if (!message) {  // ours can't be read: as bad as a sum that is passed
      overdrawn_ = "a message of " + std::to_string(flight.bytes.size()) + " bytes that can't be read";
      return;
    }
    if (flight.to < keepers_.size()) {
      Keeper& k = keepers_[flight.to];
      if (!k.keeper) return;
      const auto* log = std::get_if<LogMessage>(&*message);
      if (log != nullptr && k.floor->lets(*log, now_)) k.keeper->receive(*log);
      if (const auto* ask = std::get_if<budget::Ask>(&*message)) k.role->asked(*k.keeper, flight.from, *ask);
      if (const auto* ask = std::get_if<promises::KeyAsk>(&*message))
        k.role->asked(*k.keeper, flight.from, *ask);
      return;
    }
    Member& m = members_[flight.to - keepers_.size()];
    if (!m.role) return;
    if (const auto* grant = std::get_if<GrantTold>(&*message)) m.role->told(now_, *grant);
    if (const auto* elsewhere = std::get_if<Elsewhere>(&*message)) m.role->told(now_, *elsewhere);
    if (const auto* told = std::get_if<promises::KeyTold>(&*message))
      key_verdicts(flight.to - keepers_.size(), m.keys->answered(now_, *told));
  }

  bool asleep(std::size_t place) const {
    return (place < keepers_.size() ? keepers_[place].asleep_until
                                    : members_[place - keepers_.size()].asleep_until) > now_;
  }

  void turn() {
    for (auto it = flights_.begin(); it != flights_.end() && it->first <= now_;) {
      if (asleep(it->second.to)) {  // it lies there until the other wakes
        ++it;
        continue;
      }
      const Flight flight = it->second;
      it = flights_.erase(it);
      arrive(flight);
    }
    for (std::size_t k = 0; k < keepers_.size(); ++k) keeper_turn(k);
    for (std::size_t m = 0; m < members_.size(); ++m) member_turn(m);
    check();
  }

  // Over a connection that came up, which loses nothing.
  void greet(std::size_t k) {
    for (const KeeperId id : keepers_[k].floor->waits_for(now_)) {
      const std::size_t other = id - 1;
      const bool heard = keepers_[other].keeper && !asleep(other) && !cut_[{k, other}] && !cut_[{other, k}];
      if (heard && random_() % 8 == 0) keepers_[k].floor->told(id, keepers_[other].keeper->standing());
    }
  }

  void keeper_turn(std::size_t k) {
    Keeper& at = keepers_[k];
    if (!at.keeper || asleep(k)) return;
    greet(k);
    const int commits = at.disk.commits;
    at.keeper->advance(now_);
    at.keeper->settle();
    at.role->run(now_, *at.keeper);
    at.keeper->settle();
    at.role->run(now_, *at.keeper);
    if (at.keeper->leads() && !at.led) ++leaders_;
    at.led = at.keeper->leads();
    const TimeUs held = (at.disk.commits - commits) * at.commit_takes;
    if (held > 0) at.asleep_until = now_ + held;
    for (const LogMessage& message : at.keeper->take_outbox())
      if (at.floor->lets(message, now_)) post(k, message.to - 1, message, held);
    for (const auto& reply : at.role->take_replies()) post(k, reply.link, message_of(reply.answer), held);
    if (!at.keeper->failure().empty()) {  // as the program does: it begins anew on the same store
      kill_keeper(k);
      start_keeper(k);
    }
  }

  void member_turn(std::size_t m) {
    Member& at = members_[m];
    const std::size_t place = keepers_.size() + m;
    if (at.role && !asleep(place) && shape_.terms.longest_rest > 0) key_turn(m);
    if (!at.role || asleep(place) || !at.role->due(now_) || at.role->holder().left()) return;
    const std::size_t n = at.role->holder().terms().allowances.size();
    const budget::Ask ask = at.role->ask(now_, std::vector<budget::Parts>(n, at.demand), {});
    post(place, at.role->asks() - 1, ask);
  }

  // Each wants a key of a few now and then; what it is given it sends at once, and that may run then. Some is
  // known not to have run after all: then the key is freed.
  void key_turn(std::size_t m) {
    Member& at = members_[m];
    at.keys->set_term(shape_.terms.term);
    if (random_() % 40 == 0 && at.role->holder().leased(now_) && !at.keys->stuck(now_)) {
      const std::uint64_t query = ++last_query_;
      at.wants[query] = "key " + std::to_string(random_() % (10 * members_.size()));
      at.keys->want(now_, query, {query, at.wants[query], shape_.terms.longest_rest});
    }
    key_verdicts(m, at.keys->given_up(now_));
    while (const auto ask = at.keys->next(now_)) post(keepers_.size() + m, at.role->asks() - 1, *ask);
  }

  void key_verdicts(std::size_t m, const std::vector<promises::KeyHolder::Verdict>& verdicts) {
    Member& at = members_[m];
    for (const auto& verdict : verdicts) {
      const auto node = at.wants.extract(verdict.ticket);
      if (verdict.told == promises::Told::kRests) ++keys_rested_;
      if (verdict.told != promises::Told::kGiven) continue;
      const std::string& key = node.mapped();
      if (random_() % 4 == 0) {  // it could not be sent
        at.keys->let_go({verdict.ticket, key});
        continue;
      }
      ++keys_sent_;
      const auto before = sent_at_.find(key);
      if (before != sent_at_.end() && now_ - before->second < shape_.terms.longest_rest)
        overdrawn_ = key + " ran twice within " + std::to_string(now_ - before->second) + " us";
      sent_at_[key] = now_;
    }
  }

  // Who sleeps may wake at any moment with what its lease says then.
  void check() {
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
  std::multimap<TimeUs, Flight> flights_;
  std::map<std::pair<std::size_t, std::size_t>, bool> cut_;
  std::map<std::size_t, TimeUs> slow_;
  std::string overdrawn_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t leaders_ = 0;
  std::map<std::string, TimeUs> sent_at_;  // by key
  std::uint64_t last_query_ = 0;
  std::uint64_t keys_sent_ = 0;
  std::uint64_t keys_rested_ = 0;
};

inline FleetSimulation::Shape fleet_shape(int keepers, int members) {
  FleetSimulation::Shape out;
  out.keepers = keepers;
  out.members = members;
  out.terms.revision = 1;
  out.terms.largest = members + 2;
  out.terms.term = 3'000'000;
  out.terms.drift_ppm = 1'000;
  out.terms.longest_rest = 4'000'000;
  const budget::Parts each = 100'000 / out.terms.largest;
  out.terms.allowances = {{"cpu/a", 1'000'000, 2 * each, 50'000, each},
                          // What is set aside has to fit, as the program's own file is held to.
                          {"concurrency/r", std::max(400, 2 * out.terms.largest), 1, 10, 1}};
  return out;
}

}  // namespace orchidgw::fleet
