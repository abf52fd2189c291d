#include "cli/command_line.h"

#include <CLI/CLI.hpp>
#include <map>

namespace orchidgw::cli {
namespace {

constexpr const char* kAbout =
    "orchidgw: a query gateway. It decides which query runs, on which engine, with how much memory, and "
    "which\n"
    "is better refused early. Without a command it serves.";
constexpr const char* kFooter =
    "For each option a flag comes before the environment, and that before the files.\n"
    "Exit codes: 0 good, 1 bad (each fault on a line of its own), 2 usage.";

void add_files(CLI::App& app, configuration::Sources& to) {
  app.add_option("--config", to.config, "the platform's configuration, JSON")->envname("BALANCER_CONFIG");
  app.add_option("--limits", to.limits,
                 "the operators' file, YAML (else 'operatorFile' of the configuration)")
      ->envname("ORCHIDGW_LIMITS");
  app.add_option("--fleet", to.fleet,
                 "the fleet's file, YAML (else 'fleetFile' of the configuration; none: alone)")
      ->envname("ORCHIDGW_FLEET");
  app.add_option("--fleet-store", to.fleet_store,
                 "the folder of a keeper's log (else 'store' of the fleet's file)")
      ->envname("ORCHIDGW_FLEET_STORE");
}

void add_log(CLI::App& app, configuration::Sources& to) {
  app.add_option("--log-level", to.log_level, "error, warn, info or debug")
      ->envname("ORCHIDGW_LOG")
      ->check(CLI::IsMember({"error", "warn", "info", "debug"}));
  app.add_option("--log-format", to.log_format, "text or json")
      ->envname("ORCHIDGW_LOG_FORMAT")
      ->check(CLI::IsMember({"text", "json"}));
}

}  // namespace

std::optional<CommandLine> parse(int argc, const char* const* argv, int& exit_code) {
  CommandLine out;
  CLI::App app(kAbout, "orchidgw");
  app.footer(kFooter);
  app.require_subcommand(0, 1);
  add_files(app, out.sources);
  add_log(app, out.sources);
  app.add_option("--admin", out.sources.admin, "the administration socket's path: to open (serve), or to ask")
      ->envname("ORCHIDGW_ADMIN");
  app.add_option("--intents", out.sources.intents,
                 "the folder that keeps what must not run twice over a restart (none: not kept)")
      ->envname("ORCHIDGW_INTENTS");
  app.fallthrough();  // the same options stand before or behind the command
  app.add_subcommand("serve", "serve until told to stop (SIGTERM); what no command does, too");
  CLI::App* check =
      app.add_subcommand("check", "check both files as a start or a reload would, and say all faults");
  CLI::App* explain = app.add_subcommand(
      "explain",
      "print the limits that hold for one kind of query, each with the line, setting or rule that set it");
  explain->add_option("--class", out.explain.class_name, "its class, as the settings name it")->required();
  explain->add_option("--tenant", out.explain.tenant, "its tenant");
  explain->add_option("--table", out.explain.table, "the first table of its statement, like sales_17.orders");
  explain->add_flag("--key", out.explain.keyed, "it carries an idempotency key");
  CLI::App* level = app.add_subcommand("level", "reduced service levels");
  CLI::App* replay =
      level->add_subcommand("replay", "play recorded signals through the levels and print the changes");
  replay
      ->add_option("signals", out.signals,
                   "what SIGUSR1 printed behind 'signals ', as CSV; - for standard input")
      ->required();
  level->require_subcommand(1);
  CLI::App* set = level->add_subcommand("set", "set a level by hand, through the administration socket");
  set->add_option("name", out.level, "a level of the operators' file, or full")->required();
  set->add_option("--for", out.hold_s, "how long, like 10m")
      ->required()
      ->transform(
          CLI::AsNumberWithUnit(std::map<std::string, std::int64_t>{{"s", 1}, {"m", 60}, {"h", 3600}}))
      ->check(CLI::Range(1, 86'400));
  CLI::App* fleet = app.add_subcommand("fleet", "the fleet that this controller belongs to");
  CLI::App* fleet_status = fleet->add_subcommand(
      "status", "print its lease and, of a keeper, all members and sums, through the administration socket");
  CLI::App* recover = fleet->add_subcommand(
      "recover",
      "go on from this keeper's copy alone, once a majority of the keepers is lost for good with its disks;\n"
      "says what may be lost, and changes the store only with --confirm");
  recover->add_option("--lost", out.recover.lost, "ids of all other keepers of the log, like 2,3")
      ->delimiter(',')
      ->required();
  recover->add_option("--confirm", out.recover.confirm, "the fleet's name, to have it done");
  fleet->require_subcommand(1);
  CLI::App* store = app.add_subcommand("store", "a keeper's store, while no process has it; changes nothing");
  const auto add_store = [&](const char* name, const char* what) {
    CLI::App* one = store->add_subcommand(name, what);
    one->add_option("folder", out.folder, "the store's folder")->required();
    return one;
  };
  add_store("inspect", "print whose it is, its term, vote and log, and what was leased by it");
  const CLI::App* verify = add_store("verify", "read all of it, and say what can't be read");
  const CLI::App* exported = add_store("export", "print each entry of its log on a line");
  store->require_subcommand(1);
  CLI::App* status =
      app.add_subcommand("status", "print levels and counts, through the administration socket");
  CLI::App* version = app.add_subcommand("version", "print the version");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    exit_code = app.exit(e) == 0 ? kGood : kUsage;
    return std::nullopt;
  }
  if (check->parsed()) out.command = CommandLine::Command::kCheck;
  if (explain->parsed()) out.command = CommandLine::Command::kExplain;
  if (replay->parsed()) out.command = CommandLine::Command::kReplay;
  if (set->parsed()) out.command = CommandLine::Command::kLevelSet;
  if (fleet_status->parsed()) out.command = CommandLine::Command::kFleetStatus;
  if (recover->parsed()) out.command = CommandLine::Command::kFleetRecover;
  if (store->parsed()) out.command = CommandLine::Command::kStore;
  if (verify->parsed()) out.store = StoreCommand::kVerify;
  if (exported->parsed()) out.store = StoreCommand::kExport;
  if (status->parsed()) out.command = CommandLine::Command::kStatus;
  if (version->parsed()) out.command = CommandLine::Command::kVersion;
  return out;
}

}  // namespace orchidgw::cli
