#include "cli/command_line.h"

#include <CLI/CLI.hpp>
#include <map>

namespace orchidgw::cli {
namespace {

constexpr const char* kDescription =
    "orchidgw: a query gateway. It decides which query runs, on which engine, with how much memory, and "
    "which\n"
    "is refused early. Without a command it serves.";
constexpr const char* kFooter =
    "For each option a flag overrides the environment, and the environment overrides the files.\n"
    "Exit codes: 0 success, 1 failure (one line for each error), 2 usage error.";

void add_files(CLI::App& app, configuration::Sources& sources) {
  app.add_option("--config", sources.config, "the platform's configuration, JSON")
      ->envname("BALANCER_CONFIG");
  app.add_option("--limits", sources.limits,
                 "the operators' file, YAML (default: 'operatorFile' of the configuration)")
      ->envname("ORCHIDGW_LIMITS");
  app.add_option(
         "--fleet", sources.fleet,
         "the fleet's file, YAML (default: 'fleetFile' of the configuration; if none: not in a fleet)")
      ->envname("ORCHIDGW_FLEET");
  app.add_option("--fleet-store", sources.fleet_store,
                 "the folder of a keeper's log (default: 'store' of the fleet's file)")
      ->envname("ORCHIDGW_FLEET_STORE");
}

void add_log(CLI::App& app, configuration::Sources& sources) {
  app.add_option("--log-level", sources.log_level, "error, warn, info or debug")
      ->envname("ORCHIDGW_LOG")
      ->check(CLI::IsMember({"error", "warn", "info", "debug"}));
  app.add_option("--log-format", sources.log_format, "text or json")
      ->envname("ORCHIDGW_LOG_FORMAT")
      ->check(CLI::IsMember({"text", "json"}));
}

}  // namespace

std::optional<CommandLine> parse(int argc, const char* const* argv, int& exit_code) {
  CommandLine out;
  CLI::App app(kDescription, "orchidgw");
  app.footer(kFooter);
  app.require_subcommand(0, 1);
  add_files(app, out.sources);
  add_log(app, out.sources);
  app.add_option("--admin", out.sources.admin,
                 "the path of the administration socket: to open (serve), or to connect to")
      ->envname("ORCHIDGW_ADMIN");
  app.add_option("--intents", out.sources.intents,
                 "the folder of the intents, which keep queries from running twice after a restart (none: "
                 "not stored)")
      ->envname("ORCHIDGW_INTENTS");
  app.fallthrough();  // these options may stand before or after the command
  app.add_subcommand("serve", "serve until SIGTERM; the default without a command");
  CLI::App* check =
      app.add_subcommand("check", "check all files as a start would, and print all errors found");
  CLI::App* explain = app.add_subcommand(
      "explain",
      "print the limits that apply to one kind of query, each with the line, setting or rule that set it");
  explain->add_option("--class", out.explain.class_name, "its class, by its name in the settings")
      ->required();
  explain->add_option("--tenant", out.explain.tenant, "its tenant");
  explain->add_option("--table", out.explain.table, "the first table of its statement, like sales_17.orders");
  explain->add_flag("--key", out.explain.has_key, "it carries an idempotency key");
  CLI::App* level = app.add_subcommand("level", "reduced service levels");
  CLI::App* replay =
      level->add_subcommand("replay", "run recorded signals through the levels and print the changes");
  replay
      ->add_option("signals", out.signals_path,
                   "what SIGUSR1 printed after 'signals ', as CSV; - for standard input")
      ->required();
  level->require_subcommand(1);
  CLI::App* set = level->add_subcommand("set", "set a level manually, through the administration socket");
  set->add_option("name", out.level, "a level of the operators' file, or full")->required();
  set->add_option("--for", out.duration_s, "how long, like 10m")
      ->required()
      ->transform(
          CLI::AsNumberWithUnit(std::map<std::string, std::int64_t>{{"s", 1}, {"m", 60}, {"h", 3600}}))
      ->check(CLI::Range(1, 86'400));
  CLI::App* fleet = app.add_subcommand("fleet", "the fleet that this controller belongs to");
  CLI::App* fleet_status = fleet->add_subcommand(
      "status", "print its lease and, on a keeper, all members and sums, through the administration socket");
  CLI::App* recover =
      fleet->add_subcommand("recover",
                            "continue from this keeper's copy alone, after the permanent loss of a majority "
                            "of the keepers and their\n"
                            "disks; prints what may be lost, and changes the store only with --confirm");
  recover->add_option("--lost", out.recover.lost, "ids of all other keepers of the log, like 2,3")
      ->delimiter(',')
      ->required();
  recover->add_option("--confirm", out.recover.confirm, "the fleet's name; without it nothing is changed");
  fleet->require_subcommand(1);
  CLI::App* store =
      app.add_subcommand("store", "read a keeper's store that no process has open; changes nothing");
  const auto add_store_command = [&](const char* name, const char* description) {
    CLI::App* command = store->add_subcommand(name, description);
    command->add_option("folder", out.folder, "the store's folder")->required();
    return command;
  };
  add_store_command("inspect", "print its owner, term, vote and log, and what is leased");
  const CLI::App* verify_command =
      add_store_command("verify", "read all of it, and report what can't be read");
  const CLI::App* export_command = add_store_command("export", "print the entries of its log, one per line");
  store->require_subcommand(1);
  CLI::App* status =
      app.add_subcommand("status", "print levels and counts, through the administration socket");
  CLI::App* version = app.add_subcommand("version", "print the version");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    exit_code = app.exit(e) == 0 ? kExitSuccess : kExitUsage;
    return std::nullopt;
  }
  if (check->parsed()) out.command = CommandLine::Command::kCheck;
  if (explain->parsed()) out.command = CommandLine::Command::kExplain;
  if (replay->parsed()) out.command = CommandLine::Command::kReplay;
  if (set->parsed()) out.command = CommandLine::Command::kLevelSet;
  if (fleet_status->parsed()) out.command = CommandLine::Command::kFleetStatus;
  if (recover->parsed()) out.command = CommandLine::Command::kFleetRecover;
  if (store->parsed()) out.command = CommandLine::Command::kStore;
  if (verify_command->parsed()) out.store = StoreCommand::kVerify;
  if (export_command->parsed()) out.store = StoreCommand::kExport;
  if (status->parsed()) out.command = CommandLine::Command::kStatus;
  if (version->parsed()) out.command = CommandLine::Command::kVersion;
  return out;
}

}  // namespace orchidgw::cli
