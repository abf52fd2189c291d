#include "net/fleet_member.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "net/clock.h"

namespace orchidgw::net {
namespace {

constexpr TimeUs kUsPerMs = 1000;
// In a shutdown: how long the keepers' confirmation that the shares are returned is waited for.
constexpr TimeUs kLeaveTimeout = 500'000;
// Divisors of a lease's term: keepers that hear nothing of their leader for a quarter of it elect another, so
// that losing the leader costs no member its lease (two elections and a lease request fit into a term).
constexpr TimeUs kElectionDivisor = 4;
constexpr TimeUs kHeartbeatDivisor = 24;

std::vector<fleet::KeeperId> keeper_ids(const fleet::FleetConfig& config) {
  std::vector<fleet::KeeperId> out;
  for (const fleet::KeeperEndpoint& keeper : config.keepers) out.push_back(keeper.id);
  return out;
}

fleet::KeeperId own_keeper_id(const fleet::FleetConfig& config, const FleetMemberOptions& options) {
  const fleet::KeeperEndpoint* place = config.find_keeper(options.name);
  return place != nullptr && options.runs_keeper ? place->id : 0;
}

// All keepers; without this controller if the file names it as a keeper and it runs none.
std::vector<fleet::KeeperId> keepers_to_ask(const fleet::FleetConfig& config,
                                            const FleetMemberOptions& options) {
  std::vector<fleet::KeeperId> out = keeper_ids(config);
  const fleet::KeeperEndpoint* place = config.find_keeper(options.name);
  if (place != nullptr && !options.runs_keeper && out.size() > 1) std::erase(out, place->id);
  return out;
}

fleet::Hello make_hello(const fleet::FleetConfig& config, const FleetMemberOptions& options,
                        fleet::KeeperId keeper) {
  return {fleet::kProtocolVersion,
          config.name,
          config.number,
          {options.name, options.incarnation},
          keeper,
          {},
          {}};
}

}  // namespace

keeper::Options FleetMember::keeper_options(const fleet::FleetConfig& config,
                                            const FleetMemberOptions& options, fleet::KeeperId id) {
  keeper::Options out;
  out.id = id;
  out.voters = keeper_ids(config);
  out.seed = options.seed ^ (std::uint64_t{id} << 32);
  out.election_ms = static_cast<unsigned>(std::max<TimeUs>(config.term / kElectionDivisor / kUsPerMs, 20));
  out.heartbeat_ms = static_cast<unsigned>(std::max<TimeUs>(config.term / kHeartbeatDivisor / kUsPerMs, 5));
  return out;
}

FleetMember::FleetMember(Context& context, const fleet::FleetConfig& config,
                         const FleetMemberOptions& options, const Settings& settings,
                         const limits::LimitSet* limits, std::function<limits::FleetUsage()> use,
                         std::function<void(core::SendCall)> send)
    : context_(context),
      config_(config),
      terms_config_(config),
      proposed_terms_(fleet::terms_of(config, settings, limits)),
      settings_(settings),
      fleet_use_(std::move(use)),
      own_keeper_(own_keeper_id(config, options)),
      role_({options.name, options.incarnation}, proposed_terms_, keepers_to_ask(config, options),
            options.seed),
      demand_(settings),
      port_(context, config, make_hello(config, options, own_keeper_), options.listener, options.seed,
            {[this](std::uint64_t link, fleet::Message message) { on_message(link, std::move(message)); },
             [this](std::uint64_t link) {
               if (keeper_) keeper_->post(KeeperThread::LinkClosed{link});
             },
             [this](fleet::KeeperId keeper) { role_.link_down(monotonic_now(), keeper); },
             [this](const fleet::Hello& hello) {
               keeper_heard_ = true;
               if (keeper_)
                 keeper_->post(KeeperThread::HelloReceived{hello.keeper, hello.bootstrapped, hello.at});
             }}) {
  if (config.keys)
    promises_.emplace(context, role_.holder().self(), std::move(send),
                      [this](const promises::KeyRequest& one) { this->request_keys(one); });
  if (own_keeper_ == 0) return;
  keeper_ = std::make_unique<KeeperThread>(keeper_options(config, options, own_keeper_), config.store,
                                           store::StoredOwner{config.name, config.number, own_keeper_, {}},
                                           role_.holder().terms());
  wake_ = std::make_unique<Channel>(context.reactor, keeper_->wake_descriptor(), *this);
  wake_->want_read(true);
}

FleetMember::~FleetMember() = default;

void FleetMember::propose_terms(const limits::LimitSet* limits) {
  budget::Terms terms = fleet::terms_of(terms_config_, settings_, limits);
  // The keepers adopt higher revisions alone.
  if (terms.revision <= proposed_terms_.revision && terms != proposed_terms_)
    context_.log.write(log::Level::kWarn, log::Component::kFleet,
                       "the fleet's terms differ from those of their revision: raise it in the fleet's file",
                       {{"revision", static_cast<std::int64_t>(terms.revision)}});
  if (keeper_) keeper_->post(terms);
  if (terms.revision > proposed_terms_.revision) proposed_terms_ = std::move(terms);
}

void FleetMember::check(TimeUs now) {
  port_.check(now);
  for (const fleet::KeeperId keeper : awaited_keepers_) port_.ensure_connection(keeper);
  update_stage(now);
  if (role_.due(now) && !role_.holder().left() && !role_.holder().superseded()) request_lease(now);
  if (promises_) promises_->check(now, role_.holder().terms().term);
}

// Unavailable at once, without waiting, while there is no lease: there may be no keeper to grant a key, and
// only a member may send a query whose key was granted.
core::KeyStatus FleetMember::key_status(const std::string& identity) const {
  const TimeUs now = monotonic_now();
  const bool may_be_given = role_.holder().leased(now) && role_.keys_settled();
  return may_be_given ? promises_->key_status(identity, now) : core::KeyStatus::kUnavailable;
}

// Sent to the keeper that lease requests go to: that choice follows the leader.
void FleetMember::request_keys(const promises::KeyRequest& ask) {
  if (role_.keeper_to_ask() == own_keeper_) {
    keeper_->post(KeeperThread::KeyRequestReceived{0, ask});
  } else {
    port_.send(role_.keeper_to_ask(), ask);
  }
}

void FleetMember::request_lease(TimeUs now) {
  const limits::FleetUsage use = fleet_use_();
  const budget::LeaseHolder& holder = role_.holder();
  const fleet::KeeperId before = role_.keeper_to_ask();
  const budget::LeaseRequest ask =
      role_.ask(now, demand_.parts(now, holder.terms(), use), demand_.parts_in_use(now, holder, use));
  const fleet::KeeperId to = role_.keeper_to_ask();
  if (to != before) port_.disconnect(before);
  if (to == own_keeper_) {
    keeper_->post(KeeperThread::LeaseRequestReceived{0, ask});
  } else {
    port_.send(to, ask);
  }
}

TimeUs FleetMember::wait(TimeUs now) const {
  TimeUs due = port_.next_due();
  if (!role_.holder().left() && !role_.holder().superseded()) due = std::min(due, role_.next_due());
  if (role_.holder().leased(now)) due = std::min(due, role_.holder().ends_at());
  if (promises_) due = std::min(due, promises_->next_due().value_or(due));
  return std::max<TimeUs>(due - now, 0);
}

std::optional<fleet::Shares> FleetMember::changed_shares(TimeUs now) {
  const bool leased = role_.holder().leased(now);
  if (!shares_outdated_ && leased == was_leased_) return std::nullopt;
  if (was_leased_ && !leased) {
    context_.log.write(log::Level::kWarn, log::Component::kFleet, "no lease: the cut-off part alone is used");
  } else if (!was_leased_ && leased) {
    context_.log.write(log::Level::kInfo, log::Component::kFleet, "leased",
                       {{"live", static_cast<std::int64_t>(role_.holder().live())}});
  }
  shares_outdated_ = false;
  was_leased_ = leased;
  log_lease(now);
  fleet::Shares shares = fleet::shares_of(role_.holder(), settings_, now);
  if (shares_ && *shares_ == shares) return std::nullopt;
  shares_ = shares;
  return shares;
}

// For audits: what may be used from now until the stated time, for each allowance as `leased+cut_off/whole`
// in parts. Holds until the next such line of this process.
void FleetMember::log_lease(TimeUs now) {
  if (!context_.log.on(log::Level::kDebug, log::Component::kFleet)) return;
  const budget::LeaseHolder& holder = role_.holder();
  const bool leased = holder.leased(now);
  std::ostringstream line;
  line << "lease " << holder.number() << " from " << now << " until " << (leased ? holder.ends_at() : now)
       << " revision " << holder.terms().revision;
  for (std::size_t a = 0; a < holder.terms().allowances.size(); ++a) {
    const budget::Allowance& terms = holder.terms().allowances[a];
    const budget::Parts cut_off = holder.superseded() ? 0 : terms.cut_off;
    line << ' ' << terms.name << ' ' << (leased ? holder.part(a) : 0) << '+' << cut_off << '/' << terms.whole;
  }
  context_.log.write(log::Level::kDebug, log::Component::kFleet, line.str());
}

void FleetMember::on_message(std::uint64_t link, fleet::Message message) {
  if (auto* ask = std::get_if<budget::LeaseRequest>(&message)) {
    if (keeper_) keeper_->post(KeeperThread::LeaseRequestReceived{link, std::move(*ask)});
  } else if (auto* keys = std::get_if<promises::KeyRequest>(&message)) {
    if (keeper_) keeper_->post(KeeperThread::KeyRequestReceived{link, std::move(*keys)});
  } else if (auto* log = std::get_if<fleet::LogMessage>(&message)) {
    // Recorded at once: guards against a Hello that is sent before the keeper's thread has processed the
    // message.
    if (store_in_use_) port_.add_bootstrapped_keeper(log->from);
    if (keeper_) keeper_->post(std::move(*log));
  } else {
    handle_answer(message);
  }
}

void FleetMember::handle_answer(const fleet::Message& message) {
  const TimeUs now = monotonic_now();
  if (const auto* grant = std::get_if<fleet::GrantReply>(&message)) {
    const bool superseded = role_.holder().superseded();
    const bool not_admitted = role_.holder().not_admitted();
    if (role_.on_reply(now, *grant)) shares_outdated_ = true;
    if (role_.holder().superseded() && !superseded)
      context_.log.write(log::Level::kError, log::Component::kFleet,
                         "another process of this name has joined the fleet: this one uses nothing any more");
    if (role_.holder().not_admitted() && !not_admitted)
      context_.log.write(log::Level::kWarn, log::Component::kFleet,
                         "the fleet has as many members as it may");
  } else if (const auto* elsewhere = std::get_if<fleet::Redirect>(&message)) {
    role_.on_reply(now, *elsewhere);
  } else if (const auto* keys = std::get_if<promises::KeyReply>(&message)) {
    if (promises_) promises_->on_answer(now, *keys);
  }
  context_.reactor.skip_next_wait();
}

void FleetMember::on_readable() {
  KeeperThread::Output out = keeper_->take();
  for (const std::string& line : out.log_lines)
    context_.log.write(log::Level::kInfo, log::Component::kFleet, line);
  store_in_use_ = out.state.store_in_use;
  keeper_heard_ = keeper_heard_ || store_in_use_;
  awaited_keepers_ = std::move(out.state.awaited_keepers);
  for (const fleet::KeeperId keeper : out.state.bootstrapped) port_.add_bootstrapped_keeper(keeper);
  port_.set_log_progress(out.state.log_progress);
  for (const fleet::LogMessage& message : out.to_keepers) port_.send(message.to, message);
  for (const auto& reply : out.replies) {
    if (reply.link == 0) {
      handle_answer(fleet::message_of(reply.answer));
    } else {
      port_.reply(reply.link, fleet::message_of(reply.answer));
    }
  }
}

void FleetMember::on_failure(const char* what) {
  context_.log.write(log::Level::kError, log::Component::kFleet, std::string("fleet: ") + what);
}

void FleetMember::leave(TimeUs now) {
  if (leaving_since_ > 0) return;
  leaving_since_ = now;
  role_.leave(now);
  shares_outdated_ = true;
}

bool FleetMember::left(TimeUs now) const {
  return leaving_since_ > 0 && (role_.holder().left() || now - leaving_since_ >= kLeaveTimeout);
}

void FleetMember::update_stage(TimeUs now) {
  const budget::LeaseHolder& holder = role_.holder();
  recovery::Facts facts;
  facts.keeps = own_keeper_ != 0;
  facts.store_ok = store_in_use_;
  facts.keeper_heard = keeper_heard_;
  facts.leader_known = role_.leader_known();
  facts.leased = holder.leased(now);
  facts.half_granted = holder.half_granted();
  facts.level = holder.level();
  facts.keys_settled = !promises_ || role_.keys_settled();
  const recovery::Stage stage = recovery::next_stage(stage_.value_or(recovery::Stage::kStore), facts);
  if (stage_ == stage) return;
  stage_ = stage;
  context_.log.write(log::Level::kInfo, log::Component::kFleet,
                     "stage " + std::string(recovery::name_of(stage)));
}

std::string FleetMember::status(TimeUs now) const {
  const budget::LeaseHolder& holder = role_.holder();
  std::ostringstream out;
  out << "stage " << (stage_ ? recovery::name_of(*stage_) : "store") << " level_percent "
      << budget::percent_of(holder.level()) << '\n';
  out << "fleet " << config_.name << ' ' << config_.number << " member " << holder.self().name
      << " incarnation " << holder.self().incarnation << '\n';
  out << "lease " << holder.number() << ' ' << (holder.leased(now) ? "runs" : "none") << " left_ms "
      << (holder.leased(now) ? (holder.ends_at() - now) / kUsPerMs : 0) << " asks " << role_.keeper_to_ask()
      << " live " << holder.live() << '\n';
  for (std::size_t a = 0; a < holder.terms().allowances.size(); ++a) {
    const budget::Allowance& terms = holder.terms().allowances[a];
    out << "may_use " << terms.name << ' ' << holder.usable(now, a) << " of " << terms.whole << '\n';
  }
  if (promises_) out << promises_->status();
  if (keeper_) out << keeper_->status();
  return out.str();
}

void FleetMember::close_all() {
  port_.close_all();
  if (wake_) wake_->close();
  keeper_.reset();
}

}  // namespace orchidgw::net
