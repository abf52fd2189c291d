// This controller as a member of its fleet: its budget leases, its connections to other controllers, and the
// keeper's thread if it is a keeper (one of the members that replicate the fleet's log).
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet/allowances.h"
#include "fleet/fleet_config.h"
#include "fleet/member_role.h"
#include "net/channel.h"
#include "net/context.h"
#include "net/fleet_port.h"
#include "net/keeper_thread.h"
#include "net/promises.h"
#include "recovery/stages.h"

namespace orchidgw::net {

// What a member needs besides the fleet's file.
struct FleetMemberOptions {
  std::string name;               // of this controller
  std::uint64_t incarnation = 0;  // distinguishes starts of this name; greater for a later start
  std::uint64_t seed = 0;
  int listener = -1;        // a keeper's listening socket; the member takes ownership
  bool runs_keeper = true;  // if the file names it as a keeper; false: it is an ordinary member all the same
};

class FleetMember final : public ChannelHandler {
 public:
  // `use`: reports what this controller uses of the limits now. `send`: called for a call whose key the
  // keepers have granted. Throws an exception that names the store's folder and the reason.
  FleetMember(Context& context, const fleet::FleetConfig& config, const FleetMemberOptions& options,
              const Settings& settings, const limits::LimitSet* limits,
              std::function<limits::FleetUsage()> use, std::function<void(core::SendCall)> send);
  ~FleetMember() override;

  // To be called once a turn: sends what is due. After it and before each event call `changed_shares`.
  void check(TimeUs now);
  TimeUs wait(TimeUs now) const;  // how long until `check` has something to do

  // The shares of the fleet's budgets that this controller may use at `now`, if they differ from those of the
  // last call. Mostly costs a comparison of two times.
  std::optional<fleet::Shares> changed_shares(TimeUs now);

  Promises* promises() { return promises_ ? &*promises_ : nullptr; }  // null: the fleet grants no keys
  // Whether a query that must not run twice may be accepted. Only if `promises` is not null.
  core::KeyStatus key_status(const std::string& identity) const;

  // A query has arrived whose cost is `cost` by estimate: counts as demand for budgets, also if it is
  // refused.
  void record_query(TimeUs now, const std::string& tenant, TimeUs cost) {
    demand_.query_accepted(now, tenant, cost);
  }
  void set_engine_cores(double cores) { demand_.set_engine_cores(cores); }
  // The terms follow from this fleet file from now on; the rest of it takes effect at the next start.
  void set_config(const fleet::FleetConfig& config) { terms_config_ = config; }
  // New terms are in force, from the fleet file and these limits: if this is the leading keeper, it proposes
  // them to the fleet.
  void propose_terms(const limits::LimitSet* limits);

  void leave(TimeUs now);                // begins to return all shares
  bool left(TimeUs now) const;           // the keepers have confirmed it, or waiting for that timed out
  std::string status(TimeUs now) const;  // lines for operators
  std::size_t connections() const { return port_.connections(); }
  void close_all();

  void on_readable() override;  // the keeper's thread has output
  void on_writable() override {}
  void on_error() override {}
  void on_failure(const char* what) override;

 private:
  void on_message(std::uint64_t link, fleet::Message message);
  void handle_answer(const fleet::Message& message);
  void request_lease(TimeUs now);
  void request_keys(const promises::KeyRequest& ask);
  void log_lease(TimeUs now);
  void update_stage(TimeUs now);
  static keeper::Options keeper_options(const fleet::FleetConfig& config, const FleetMemberOptions& options,
                                        fleet::KeeperId id);

  Context& context_;
  fleet::FleetConfig config_;        // of the start
  fleet::FleetConfig terms_config_;  // the last that was read
  budget::Terms proposed_terms_;     // of the highest revision so far
  Settings settings_;
  std::function<limits::FleetUsage()> fleet_use_;
  fleet::KeeperId own_keeper_ = 0;
  fleet::MemberRole role_;
  fleet::Demand demand_;
  FleetPort port_;
  std::unique_ptr<KeeperThread> keeper_;
  std::unique_ptr<Channel> wake_;
  std::optional<Promises> promises_;
  std::optional<fleet::Shares> shares_;  // as `changed_shares` returned them last
  bool shares_outdated_ = true;          // the lease has changed since
  bool was_leased_ = false;
  bool store_in_use_ = false;  // the keeper runs on its store
  bool keeper_heard_ = false;
  std::vector<fleet::KeeperId> awaited_keepers_;  // whose Hello the keeper needs before it may start or vote
  std::optional<recovery::Stage> stage_;
  TimeUs leaving_since_ = 0;
};

}  // namespace orchidgw::net
