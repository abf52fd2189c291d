#include "keeper/keeper.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include "keeper/raft_memory.h"
#include "thrift/fleet_codec.h"

namespace orchidgw::keeper {
namespace {

constexpr TimeUs kUsPerMs = 1000;
static_assert(store::kCommandEntry == RAFT_COMMAND);
constexpr int kMaxStaleRejections = 8;  // see check_for_stale_follower
// Multiple of the election timeout after which a snapshot without a reply is sent again. With libraft's
// default of 30 s a keeper would have no copy of the log for that long after a connection was lost.
constexpr unsigned kSnapshotTimeoutElections = 4;
constexpr std::uint64_t kAllEntries = ~std::uint64_t{0};

raft_configuration voter_configuration(const std::vector<fleet::KeeperId>& voters) {  // the caller closes it
  raft_configuration out;
  raft_configuration_init(&out);
  for (const fleet::KeeperId id : voters)
    raft_configuration_add(&out, id, address_of(id).c_str(), RAFT_VOTER);
  return out;
}

}  // namespace

// The callbacks of libraft. No exception may be thrown through its C code, so writes are only buffered here;
// the store commits them in `flush`.
struct Keeper::Impl {
  struct Proposal {  // one entry that was proposed here; freed in entry_done
    struct raft_apply raft {};
    Impl* impl = nullptr;
  };

  Options options;
  store::LogStore& store;
  fleet::StateMachine& replica;
  raft_io io{};
  raft_fsm fsm{};
  raft core{};
  bool started = false;
  TimeUs now = 0;
  TimeUs next_tick = 0;
  unsigned tick_ms = 100;
  raft_io_tick_cb tick = nullptr;
  raft_io_recv_cb receive = nullptr;
  std::mt19937_64 random;
  std::map<raft_id, std::string> addresses;
  // To be called once all pending writes of the store are durable; with `true` when this object is being
  // closed instead.
  std::deque<std::function<void(bool)>> after_commit;
  std::vector<fleet::LogMessage> outbox;
  std::string failure;
  bool ready_to_lead = false;    // it is the leader, and its barrier entry was applied
  bool barrier_pending = false;  // the barrier entry of this leadership was proposed
  struct raft_barrier barrier {};
  std::uint64_t finished_proposals = 0;
  std::optional<raft_io_close_cb> close_done;
  std::map<std::uint64_t, std::uint64_t> uncommitted_terms;  // by index: of entries not known to be committed
  fleet::LogPosition committed;                              // last entry known to be committed
  std::uint64_t tracked_term = 0;                            // the term that `followers` belongs to
  struct Follower {
    std::uint64_t acknowledged = 0;  // highest index that it has acknowledged
    int stale_rejections = 0;        // rejections in a row that report less than that
  };
  std::map<fleet::KeeperId, Follower> followers;  // of this leader

  Impl(const Options& o, store::LogStore& s, fleet::StateMachine& r)
      : options(o), store(s), replica(r), random(o.seed) {}

  static Impl& of(raft_io* io) { return *static_cast<Impl*>(io->impl); }

  // --- Callbacks of libraft ---

  static int init(raft_io*, raft_id, const char*) { return 0; }

  static void close(raft_io* io, raft_io_close_cb done) { of(io).close_done = done; }

  static int load(raft_io* io, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                  raft_index* first, raft_entry** entries, size_t* n) {
    Impl& self = of(io);
    const store::StoredLog stored = self.store.load();
    *term = stored.term;
    *voted_for = stored.vote;
    *snapshot = stored.snapshot ? to_raft_snapshot(*stored.snapshot) : nullptr;
    if (stored.snapshot && *snapshot == nullptr) return RAFT_CORRUPT;
    *first = stored.first;
    *n = stored.entries.size();
    *entries = make_raft_entries(
        *n, [&](std::size_t i) -> const auto& { return stored.entries[i]; });
    return 0;
  }

  static int start(raft_io* io, unsigned msecs, raft_io_tick_cb tick, raft_io_recv_cb receive) {
    Impl& self = of(io);
    self.tick_ms = msecs;
    self.tick = tick;
    self.receive = receive;
    self.next_tick = self.now + msecs * kUsPerMs;
    return 0;
  }

  static int bootstrap(raft_io* io, const raft_configuration* configuration) {
    raft_buffer encoded{};
    if (const int code = raft_configuration_encode(configuration, &encoded); code != 0) return code;
    Impl& self = of(io);
    self.store.set_term(1);
    self.store.append(1, {{1, RAFT_CHANGE, std::string(bytes_of(encoded))}});
    raft_free(encoded.base);
    return 0;
  }

  static int recover(raft_io*, const raft_configuration*) { return RAFT_IOERR; }

  static int set_term(raft_io* io, raft_term term) {
    of(io).store.set_term(term);
    return 0;
  }

  static int set_vote(raft_io* io, raft_id id) {
    of(io).store.set_vote(id);
    return 0;
  }

  static int send(raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    Impl& self = of(io);
    request->cb = done;
    // Guards against a fault of libraft 0.15 (its `installSnapshotCb`): a keeper that became leader or
    // candidate while it stored a snapshot replies to the server that it takes for its leader, and reads the
    // id of that from memory that another field uses by then. Occurred with slow disks, schedules 501 to 600.
    if (self.addresses.contains(message->server_id))
      self.outbox.push_back(to_message(*message, self.options.id));
    self.after_commit.emplace_back(
        [request](bool closed) { request->cb(request, closed ? RAFT_CANCELED : 0); });
    return 0;
  }

  static int append(raft_io* io, raft_io_append* request, const raft_entry* entries, unsigned n,
                    raft_io_append_cb done) {
    Impl& self = of(io);
    std::vector<store::StoredEntry> stored;
    for (unsigned i = 0; i < n; ++i) self.uncommitted_terms[self.append_at + i] = entries[i].term;
    for (unsigned i = 0; i < n; ++i)
      stored.push_back({entries[i].term, entries[i].type, std::string(bytes_of(entries[i].buf))});
    request->cb = done;
    self.store.append(self.append_at, std::move(stored));
    self.append_at += n;
    self.after_commit.emplace_back(
        [request](bool closed) { request->cb(request, closed ? RAFT_CANCELED : 0); });
    return 0;
  }

  static int truncate(raft_io* io, raft_index index) {
    Impl& self = of(io);
    self.store.truncate(index);
    self.uncommitted_terms.erase(self.uncommitted_terms.lower_bound(index), self.uncommitted_terms.end());
    self.append_at = index;
    return 0;
  }

  static int snapshot_put(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                          const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
    Impl& self = of(io);
    store::StoredSnapshot stored = to_stored_snapshot(*snapshot);
    std::uint64_t drop_through = stored.index > trailing ? stored.index - trailing : 0;
    if (trailing == 0) {  // received from the leader: it replaces the whole log
      drop_through = kAllEntries;
      self.append_at = stored.index + 1;
      self.uncommitted_terms.clear();
      self.committed = {stored.term, stored.index};
    }
    request->cb = done;
    self.store.put_snapshot(std::move(stored), drop_through);
    self.after_commit.emplace_back(
        [request](bool closed) { request->cb(request, closed ? RAFT_CANCELED : 0); });
    return 0;
  }

  static int snapshot_get(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    Impl& self = of(io);
    request->cb = done;
    self.after_commit.emplace_back([&self, request](bool closed) {
      if (closed) return request->cb(request, nullptr, RAFT_CANCELED);
      const auto stored = self.store.snapshot();
      raft_snapshot* snapshot = stored ? to_raft_snapshot(*stored) : nullptr;
      request->cb(request, snapshot, snapshot == nullptr ? RAFT_NOTFOUND : 0);
    });
    return 0;
  }

  static raft_time time(raft_io* io) { return static_cast<raft_time>(of(io).now / kUsPerMs); }

  static int random_between(raft_io* io, int least, int most) {
    return std::uniform_int_distribution<int>(least, std::max(least, most - 1))(of(io).random);
  }

  static int apply(raft_fsm* fsm, const raft_buffer* buffer, void** result) {
    auto& self = *static_cast<Impl*>(fsm->data);
    *result = nullptr;
    if (const auto entry = thrift::decode_entry(bytes_of(*buffer))) self.replica.apply(*entry);
    return 0;
  }

  static int take_snapshot(raft_fsm* fsm, raft_buffer** buffers, unsigned* n) {
    const auto& self = *static_cast<Impl*>(fsm->data);
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (*buffers == nullptr) return RAFT_NOMEM;
    (*buffers)[0] = copy_to_raft_buffer(thrift::encode_state(self.replica.state()));
    *n = 1;
    return 0;
  }

  static int restore(raft_fsm* fsm, raft_buffer* buffer) {
    auto& self = *static_cast<Impl*>(fsm->data);
    auto state = thrift::decode_state(bytes_of(*buffer));
    if (!state) return RAFT_CORRUPT;
    raft_free(buffer->base);
    self.replica.restore(std::move(*state));
    return 0;
  }

  // --- Driving libraft ---

  void set_callbacks() {
    io.version = 1;
    io.impl = this;
    io.init = init;
    io.close = close;
    io.load = load;
    io.start = start;
    io.bootstrap = bootstrap;
    io.recover = recover;
    io.set_term = set_term;
    io.set_vote = set_vote;
    io.send = send;
    io.append = append;
    io.truncate = truncate;
    io.snapshot_put = snapshot_put;
    io.snapshot_get = snapshot_get;
    io.time = time;
    io.random = random_between;
    fsm.version = 1;
    fsm.data = this;
    fsm.apply = apply;
    fsm.snapshot = take_snapshot;
    fsm.restore = restore;
  }

  void check(int code, const char* what) {
    if (code != 0) throw KeeperError(std::string(what) + ": " + raft_errmsg(&core));
  }

  void start_core() {
    for (const fleet::KeeperId id : options.voters) addresses[id] = address_of(id);
    raft_configuration configuration = voter_configuration(options.voters);
    const store::StoredLog found = store.load();
    if (found.empty()) {
      const int code = raft_bootstrap(&core, &configuration);
      raft_configuration_close(&configuration);
      check(code, "bootstrap");
      store.commit();
    } else {
      raft_configuration_close(&configuration);
    }
    const store::StoredLog stored = store.load();
    append_at = stored.first + stored.entries.size();
    if (stored.snapshot) committed = {stored.snapshot->term, stored.snapshot->index};
    for (std::size_t i = 0; i < stored.entries.size(); ++i)
      if (stored.first + i > committed.index) uncommitted_terms[stored.first + i] = stored.entries[i].term;
    raft_set_heartbeat_timeout(&core, options.heartbeat_ms);
    raft_set_election_timeout(&core, options.election_ms);
    raft_set_snapshot_threshold(&core, options.snapshot_threshold);
    raft_set_snapshot_trailing(&core, options.snapshot_trailing);
    raft_set_pre_vote(&core, true);
    raft_set_install_snapshot_timeout(&core, kSnapshotTimeoutElections * options.election_ms);
    check(raft_start(&core), "start");
    started = true;
    update_leadership();
  }

  // Tracks whether this keeper is the leader. A new leader has applied all of its predecessors' entries once
  // an entry of its own, a barrier, was applied.
  void update_leadership() {
    if (raft_state(&core) != RAFT_LEADER) {
      ready_to_lead = false;
      return;
    }
    if (ready_to_lead || barrier_pending) return;
    barrier.data = this;
    barrier_pending = raft_barrier(&core, &barrier, barrier_done) == 0;
  }

  static void barrier_done(struct raft_barrier* request, int status) {
    auto& self = *static_cast<Impl*>(request->data);
    self.barrier_pending = false;
    self.ready_to_lead = status == 0 && raft_state(&self.core) == RAFT_LEADER;
  }

  static void entry_done(struct raft_apply* raft, int, void*) {
    const std::unique_ptr<Proposal> request(static_cast<Proposal*>(raft->data));
    ++request->impl->finished_proposals;
  }

  // Runs callbacks until one of them writes to the store: the ones after it have to wait for another commit.
  void run_after_commit(bool closed) {
    while (!after_commit.empty()) {
      const auto next = std::move(after_commit.front());
      after_commit.pop_front();
      next(closed);
      if (!closed && store.has_pending_writes()) return;
    }
  }

  // Guards against a follower that never catches up: restarted on an old copy of its disk, it lacks entries
  // that it has acknowledged, and libraft ignores its rejections as messages that arrive late. Another
  // leadership tracks its followers from scratch, so this leader steps down. libraft has no call for that,
  // but a message of a later term makes it do so. One rejection may just have been overtaken by a later
  // acknowledgement, so several in a row are needed.
  void check_for_stale_follower(const fleet::LogMessage& message) {
    using Kind = fleet::LogMessage::Kind;
    if (raft_state(&core) != RAFT_LEADER || message.kind != Kind::kAppendResult) return;
    if (message.term != core.current_term) return;
    if (std::exchange(tracked_term, core.current_term) != core.current_term) followers.clear();
    Follower& follower = followers[message.from];
    const bool rejected = message.index != 0;
    if (!rejected) follower.acknowledged = std::max(follower.acknowledged, message.commit);
    follower.stale_rejections =
        rejected && message.commit < follower.acknowledged ? follower.stale_rejections + 1 : 0;
    if (follower.stale_rejections < kMaxStaleRejections) return;
    fleet::LogMessage newer = message;
    newer.term = core.current_term + 1;
    raft_message raft_form;
    if (to_raft_message(newer, addresses.at(message.from).c_str(), raft_form)) receive(&io, &raft_form);
  }

  void flush() {
    if (!failure.empty()) return;
    try {
      do {
        store.commit();
        run_after_commit(false);
        update_leadership();
      } while (store.has_pending_writes() || !after_commit.empty());
    } catch (const std::exception& e) {
      failure = e.what();
      outbox.clear();  // its messages may depend on writes that are not stored
      ready_to_lead = false;
    }
    for (auto it = uncommitted_terms.begin(); it != uncommitted_terms.end() && it->first <= core.commit_index;
         it = uncommitted_terms.erase(it))
      committed = {it->second, it->first};
    if (failure.empty() && raft_state(&core) == RAFT_UNAVAILABLE) failure = raft_errmsg(&core);
  }

  void close_core() {
    if (!started) {
      raft_close(&core, nullptr);
    } else {
      raft_close(&core, [](raft*) {});
    }
    run_after_commit(true);
    if (close_done) (*close_done)(&io);
  }

  std::uint64_t append_at = 1;  // index of the next entry that is stored
};

std::vector<fleet::KeeperId> voters_in_log(const store::StoredLog& stored) {
  for (auto it = stored.entries.rbegin(); it != stored.entries.rend(); ++it)
    if (it->type == RAFT_CHANGE) return voters_in_entry(it->data);
  std::vector<fleet::KeeperId> out;
  raft_configuration configuration;
  if (!stored.snapshot || !decode_configuration(stored.snapshot->configuration, configuration)) return out;
  for (unsigned i = 0; i < configuration.n; ++i)
    if (configuration.servers[i].role == RAFT_VOTER)
      out.push_back(static_cast<fleet::KeeperId>(configuration.servers[i].id));
  raft_configuration_close(&configuration);
  return out;
}

std::string configuration_of(const std::vector<fleet::KeeperId>& voters) {
  raft_configuration configuration = voter_configuration(voters);
  std::string out = encode_configuration(configuration);
  raft_configuration_close(&configuration);
  return out;
}

Keeper::Keeper(const Options& options, store::LogStore& store, fleet::StateMachine& replica, TimeUs now)
    : impl_(std::make_unique<Impl>(options, store, replica)) {
  impl_->now = now;
  impl_->set_callbacks();
  const std::string address = address_of(options.id);
  if (raft_init(&impl_->core, &impl_->io, &impl_->fsm, options.id, address.c_str()) != 0)
    throw KeeperError("the log can't be set up");
  impl_->core.data = impl_.get();
  try {
    impl_->start_core();
  } catch (...) {
    impl_->close_core();
    throw;
  }
}

Keeper::~Keeper() { impl_->close_core(); }

void Keeper::advance(TimeUs now) {
  impl_->now = std::max(impl_->now, now);
  if (!impl_->failure.empty() || impl_->now < impl_->next_tick) return;
  impl_->next_tick = impl_->now + impl_->tick_ms * kUsPerMs;
  impl_->tick(&impl_->io);
  impl_->update_leadership();
}

TimeUs Keeper::next_tick() const { return impl_->next_tick; }

void Keeper::receive(const fleet::LogMessage& message) {
  const auto sender = impl_->addresses.find(message.from);
  if (!impl_->failure.empty() || sender == impl_->addresses.end() || message.to != impl_->options.id) return;
  raft_message raft_form;
  if (!to_raft_message(message, sender->second.c_str(), raft_form)) return;
  impl_->receive(&impl_->io, &raft_form);
  impl_->check_for_stale_follower(message);
  impl_->update_leadership();
}

void Keeper::flush() { impl_->flush(); }

std::vector<fleet::LogMessage> Keeper::take_outbox() { return std::exchange(impl_->outbox, {}); }

const std::string& Keeper::failure() const { return impl_->failure; }

bool Keeper::leads() const { return impl_->ready_to_lead && impl_->failure.empty(); }

std::uint64_t Keeper::term() const { return impl_->core.current_term; }

fleet::KeeperId Keeper::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&impl_->core, &id, &address);
  return static_cast<fleet::KeeperId>(id);
}

bool Keeper::propose(const fleet::Entry& entry) {
  if (!leads()) return false;
  auto request = std::make_unique<Impl::Proposal>();
  request->impl = impl_.get();
  request->raft.data = request.get();
  const raft_buffer buffer = copy_to_raft_buffer(thrift::encode_entry(entry));
  if (raft_apply(&impl_->core, &request->raft, &buffer, 1, Impl::entry_done) != 0) {
    raft_free(buffer.base);
    return false;
  }
  static_cast<void>(request.release());  // freed in entry_done
  return true;
}

fleet::LogProgress Keeper::log_progress() const {
  fleet::LogProgress out{term(), impl_->committed, impl_->committed};
  if (!impl_->uncommitted_terms.empty())
    out.last = {impl_->uncommitted_terms.rbegin()->second, impl_->uncommitted_terms.rbegin()->first};
  return out;
}

std::uint64_t Keeper::finished_proposals() const { return impl_->finished_proposals; }

}  // namespace orchidgw::keeper
