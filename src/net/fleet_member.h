// This controller as a member of its fleet: its leases, its connections, its keeper's thread if it keeps.
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

// What a start of a member needs beside the file.
struct FleetMemberOptions {
  std::string name;  // of this controller
  std::uint64_t incarnation = 0;
  std::uint64_t seed = 0;
  int listener = -1;        // of a keeper; owned from here on
  bool runs_keeper = true;  // where the file names it as a keeper; else it is a member alone
};

class FleetMember final : public ChannelHandler {
 public:
  // Throws what names the store's folder and the reason.
  FleetMember(Context& context, const fleet::FleetConfig& config, const FleetMemberOptions& options,
              const Settings& settings, const limits::LimitSet* limits, std::function<limits::FleetUse()> use,
              std::function<void(core::StartCall)> send);
  ~FleetMember() override;

  // Once a turn: sends what is due. Then and before each event: `shares`.
  void check(TimeUs now);
  TimeUs wait(TimeUs now) const;  // until `check` has something to do

  // What may be used at `now`, if that is other than at the last call. A comparison of two times in most.
  std::optional<fleet::Shares> changed_shares(TimeUs now);

  Promises* promises() { return promises_ ? &*promises_ : nullptr; }  // null: the fleet keeps no keys
  core::KeyVerdict key_status(const std::string& identity) const;     // where it keeps them

  void record_query(TimeUs now, const std::string& tenant, TimeUs cost) { demand_.taken(now, tenant, cost); }
  void set_engine_cores(double cores) { demand_.engines(cores); }
  // A file was put in force: a leading keeper has the fleet follow it.
  void apply_configuration(const fleet::FleetConfig& config, const limits::LimitSet* limits);

  void leave(TimeUs now);       // gives all parts back
  bool left(TimeUs now) const;  // the keepers know, or there is no use in waiting any more
  std::string status(TimeUs now) const;
  std::size_t connections() const { return port_.connections(); }
  void close_all();

  void on_readable() override;  // the keeper's thread has something
  void on_writable() override {}
  void on_error() override {}
  void on_failure(const char* what) override;

 private:
  void on_message(std::uint64_t link, fleet::Message message);
  void handle_answer(const fleet::Message& message);
  void request_lease(TimeUs now);
  void request_keys(const promises::KeyAsk& ask);
  void log_lease(TimeUs now);
  void update_stage(TimeUs now);
  static keeper::Options keeper_options(const fleet::FleetConfig& config, const FleetMemberOptions& options,
                                        fleet::KeeperId id);

  Context& context_;
  fleet::FleetConfig config_;
  Settings settings_;
  std::function<limits::FleetUse()> fleet_use_;
  fleet::KeeperId own_keeper_ = 0;
  fleet::MemberRole role_;
  fleet::Demand demand_;
  FleetPort port_;
  std::unique_ptr<KeeperThread> keeper_;
  std::unique_ptr<Channel> wake_;
  std::optional<Promises> promises_;
  std::optional<fleet::Shares> shares_;  // as they were told last
  bool shares_outdated_ = true;          // the lease is another
  bool was_leased_ = false;
  bool store_in_use_ = false;  // its disk is in use
  bool keeper_heard_ = false;
  std::vector<fleet::KeeperId> awaited_keepers_;  // greetings without which its disk is not used
  std::optional<recovery::Stage> stage_;
  TimeUs leaving_since_ = 0;
};

}  // namespace orchidgw::net
