// orchidgw: the controller and its commands. Reads its configuration, listens on its address and serves until
// it is told to stop.
#include <unistd.h>

#include <exception>
#include <iostream>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

#include "admin/admin_command.h"
#include "base/descriptor.h"
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
#include "net/start_retry.h"

namespace {

using orchidgw::configuration::Configuration;
using orchidgw::configuration::Sources;

int fail(const std::string& message) {
  std::cerr << "orchidgw: " << message << std::endl;
  return orchidgw::cli::kExitFailure;
}

// All resources of a serving process. The constructor opens them; if one can't be opened, it throws and the
// others are closed again.
class Service {
 public:
  explicit Service(const Sources& sources)
      : configuration_(orchidgw::configuration::load(sources)),
        stderr_output_(STDERR_FILENO),
        log_stream_(&stderr_output_),
        log_(log_stream_, configuration_.operators.log.level, configuration_.controller.name) {
    const auto& listen = configuration_.controller.listen;
    orchidgw::Descriptor listener = orchidgw::net::bind_at(listen);
    const int listener_fd = listener.get();
    controller_ = std::make_unique<orchidgw::net::Controller>(
        configuration_, std::move(listener), log_,
        orchidgw::configuration::Reloader(sources, configuration_));
    if (configuration_.fleet) join_fleet();
    if (!sources.intents.empty()) controller_->open_intent_store(sources.intents);
    if (!sources.admin.empty()) controller_->open_admin(sources.admin);
    // Last: if a later step of the start failed, clients already accepted would lose their requests.
    orchidgw::net::listen_on(listener_fd, listen);
    log_.write(orchidgw::log::Level::kInfo,
               "listening on " + listen.host + ":" + std::to_string(listen.port));
  }

  void run() { controller_->run(); }

 private:
  void join_fleet() {
    orchidgw::Descriptor listener;
    if (const auto* keeper = configuration_.fleet->find_keeper(configuration_.controller.name))
      listener = orchidgw::net::listen_at(keeper->address);
    controller_->join_fleet(configuration_, listener.release());
  }

  Configuration configuration_;
  orchidgw::log::BoundedOutput stderr_output_;
  std::ostream log_stream_;
  orchidgw::log::Logger log_;
  std::unique_ptr<orchidgw::net::Controller> controller_;
};

int serve(const Sources& sources) {
  orchidgw::net::block_signals();
  std::unique_ptr<Service> service;
  const auto result =
      orchidgw::net::start_with_retries([&] { service = std::make_unique<Service>(sources); });
  if (result == orchidgw::net::StartResult::kStarted) service->run();
  return orchidgw::cli::kExitSuccess;
}

int ask_admin_socket(const std::string& path, const orchidgw::admin::AdminCommand& command) {
  if (path.empty()) return fail("--admin: the path of the administration socket is needed");
  const std::string answer = orchidgw::net::ask_admin(path, orchidgw::admin::format_admin_command(command));
  std::cout << answer;
  return answer.starts_with("error") ? orchidgw::cli::kExitFailure : orchidgw::cli::kExitSuccess;
}

int run(const orchidgw::cli::CommandLine& command_line) {
  using Command = orchidgw::cli::CommandLine::Command;
  switch (command_line.command) {
    case Command::kServe:
      return serve(command_line.sources);
    case Command::kCheck:
      return orchidgw::cli::run_check(command_line.sources, std::cout, std::cerr);
    case Command::kExplain:
      return orchidgw::cli::run_explain(command_line, std::cout, std::cerr);
    case Command::kReplay:
      return orchidgw::cli::run_replay(command_line.sources, command_line.signals_path, std::cout, std::cerr);
    case Command::kStatus:
      return ask_admin_socket(command_line.sources.admin, {});
    case Command::kFleetStatus:
      return ask_admin_socket(command_line.sources.admin,
                              {orchidgw::admin::AdminCommand::Kind::kFleetStatus, "", 0});
    case Command::kFleetRecover:
      return orchidgw::cli::run_recover(command_line.sources, command_line.recover, std::cout, std::cerr);
    case Command::kLevelSet:
      return ask_admin_socket(command_line.sources.admin,
                              {orchidgw::admin::AdminCommand::Kind::kLevelSet, command_line.level,
                               command_line.duration_s * 1'000'000});
    case Command::kStore:
      return orchidgw::cli::run_store(command_line.store, command_line.folder, std::cout, std::cerr);
    case Command::kVersion:
      return orchidgw::cli::run_version(std::cout);
  }
  return orchidgw::cli::kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  int exit_code = 0;
  try {
    const auto command_line = orchidgw::cli::parse(argc, argv, exit_code);
    return command_line ? run(*command_line) : exit_code;
  } catch (const orchidgw::configuration::ConfigurationError& e) {
    for (const std::string& text : e.lines()) fail(text);
    return orchidgw::cli::kExitFailure;
  } catch (const std::exception& e) {
    return fail(e.what());
  }
}
