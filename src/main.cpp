// orchidgw: the real controller and its commands. Reads its configuration, opens its address, serves until it
// is told to stop.
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <exception>
#include <iostream>
#include <ostream>
#include <string>

#include "admin/admin_command.h"
#include "cli/command_line.h"
#include "cli/commands.h"
#include "cli/replay.h"
#include "configuration/configuration.h"
#include "log/bounded_output.h"
#include "log/log.h"
#include "net/admin_socket.h"
#include "net/controller.h"
#include "net/signals.h"
#include "net/sockets.h"

namespace {

using orchidgw::configuration::Configuration;
using orchidgw::configuration::Sources;

int fail(const std::string& what) {
  std::cerr << "orchidgw: " << what << std::endl;
  return orchidgw::cli::kBad;
}

int serve(const Sources& sources) {
  orchidgw::net::hold_signals();
  const Configuration configuration = orchidgw::configuration::load(sources, nullptr);
  const auto& listen = configuration.controller.listen;
  const std::string at = listen.host + ":" + std::to_string(listen.port);
  const int listener = orchidgw::net::listen_at(listen);
  if (listener < 0) return fail("listen: " + at + ": " + std::strerror(errno));
  orchidgw::log::BoundedOutput output(STDERR_FILENO);
  std::ostream lines(&output);
  orchidgw::log::Logger log(lines, configuration.log.level, configuration.controller.name);
  orchidgw::net::Controller controller(configuration, listener, log,
                                       [&sources](const orchidgw::Settings& running) {
                                         return orchidgw::configuration::load(sources, &running);
                                       });
  if (configuration.fleet) {
    int keeper_listener = -1;
    if (const auto* keeper = configuration.fleet->keeper_named(configuration.controller.name)) {
      keeper_listener = orchidgw::net::listen_at(keeper->address);
      if (keeper_listener < 0) {
        const std::string keeper_at = keeper->address.host + ":" + std::to_string(keeper->address.port);
        return fail("fleet: " + keeper_at + ": " + std::strerror(errno));
      }
    }
    controller.join_fleet(configuration, keeper_listener);
  }
  if (!sources.intents.empty()) controller.open_intents(sources.intents);
  if (!sources.admin.empty()) controller.open_admin(sources.admin);
  log.write(orchidgw::log::Level::kInfo, "listening on " + at);
  controller.run();
  return orchidgw::cli::kGood;
}

int ask(const std::string& path, const orchidgw::admin::AdminCommand& command) {
  if (path.empty()) return fail("--admin: the path of the administration socket is needed");
  const std::string answer = orchidgw::net::ask_admin(path, orchidgw::admin::write_admin(command));
  std::cout << answer;
  return answer.starts_with("error") ? orchidgw::cli::kBad : orchidgw::cli::kGood;
}

int run(const orchidgw::cli::CommandLine& line) {
  using Command = orchidgw::cli::CommandLine::Command;
  switch (line.command) {
    case Command::kServe:
      return serve(line.sources);
    case Command::kCheck:
      return orchidgw::cli::run_check(line.sources, std::cout, std::cerr);
    case Command::kExplain:
      return orchidgw::cli::run_explain(line, std::cout, std::cerr);
    case Command::kReplay:
      return orchidgw::cli::run_replay(line.sources, line.signals, std::cout, std::cerr);
    case Command::kStatus:
      return ask(line.sources.admin, {});
    case Command::kFleetStatus:
      return ask(line.sources.admin, {orchidgw::admin::AdminCommand::Kind::kFleetStatus, "", 0});
    case Command::kFleetRecover:
      return orchidgw::cli::run_recover(line.sources, line.recover, std::cout, std::cerr);
    case Command::kLevelSet:
      return ask(line.sources.admin,
                 {orchidgw::admin::AdminCommand::Kind::kLevelSet, line.level, line.hold_s * 1'000'000});
    case Command::kStore:
      return orchidgw::cli::run_store(line.store, line.folder, std::cout, std::cerr);
    case Command::kVersion:
      return orchidgw::cli::run_version(std::cout);
  }
  return orchidgw::cli::kUsage;
}

}  // namespace

int main(int argc, char** argv) {
  int exit_code = 0;
  try {
    const auto line = orchidgw::cli::parse(argc, argv, exit_code);
    return line ? run(*line) : exit_code;
  } catch (const orchidgw::configuration::ConfigurationError& e) {
    for (const std::string& text : e.lines()) fail(text);
    return orchidgw::cli::kBad;
  } catch (const std::exception& e) {
    return fail(e.what());
  }
}
