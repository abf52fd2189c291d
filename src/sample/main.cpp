// orchidgw_sample: runs orchidgw on loopback. `run` starts it with an embedded configuration and embedded
// limits beside two stand-in engines, `fleet` starts three controllers; `ask` sends a query and prints the
// answer.
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "sample/ask.h"
#include "sample/embedded.h"
#include "sample/stand_ins.h"

namespace {

using namespace orchidgw::sample;

// A new temporary folder, removed with its content by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path = (std::filesystem::temp_directory_path() / "orchidgw-sample-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error("can't create a temporary folder");
    path_ = path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string path() const { return path_.string(); }
  std::string write(const std::string& name, const std::string& text) const {
    std::string path = (path_ / name).string();
    std::ofstream(path) << text;
    return path;
  }

 private:
  std::filesystem::path path_;
};

std::string replace_all(std::string text, const std::string& placeholder, const std::string& replacement) {
  for (auto at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder, at + replacement.size()))
    text.replace(at, placeholder.size(), replacement);
  return text;
}

pid_t spawn(const std::string& program, std::vector<std::string> arguments) {
  std::vector<std::string> words = std::move(arguments);
  words.insert(words.begin(), program);
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  // The child would inherit the signals that this process blocks, and the controller must receive them.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  pid_t pid = -1;
  const int failed = posix_spawn(&pid, program.c_str(), nullptr, &attributes, argv.data(), environ);
  posix_spawnattr_destroy(&attributes);
  if (failed != 0) throw std::runtime_error("can't start " + program);
  return pid;
}

// Waits until the process `pid` exits and returns its exit code, 1 if a signal ended it. Other watched
// signals are passed on to it; told to stop, the controller serves its open queries first.
int forward_signals_until_exit(pid_t pid, const sigset_t& watched) {
  while (true) {
    int signal = 0;
    sigwait(&watched, &signal);
    if (signal != SIGCHLD) {
      ::kill(pid, signal);
      continue;
    }
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) == pid) return WIFEXITED(status) ? WEXITSTATUS(status) : 1;
  }
}

int run(const std::string& listen) {
  sigset_t watched;
  sigemptyset(&watched);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGCHLD}) sigaddset(&watched, signal);
  sigprocmask(SIG_BLOCK, &watched, nullptr);
  const StandIns stand_ins;
  const TemporaryFolder folder;
  std::string config = replace_all(kSampleConfig, "@LISTEN@", listen);
  config = replace_all(config, "@CHANGELOG@", stand_ins.change_log());
  config = replace_all(config, "@ENGINE1@", stand_ins.engine(0));
  config = replace_all(config, "@ENGINE2@", stand_ins.engine(1));
  const std::string config_path = folder.write("config.json", config);
  const std::string limits_path = folder.write("limits.yaml", kSampleLimits);
  const auto program_path = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "orchidgw";
  std::cout << "the sample's configuration: " << config_path
            << "\nthe sample's limits:        " << limits_path
            << "\nin another terminal:        build/orchidgw_sample ask 'select * from sales_3.orders'\n"
            << "to stop:                    Ctrl-C" << std::endl;
  return forward_signals_until_exit(
      spawn(program_path.string(), {"serve", "--config", config_path, "--limits", limits_path}), watched);
}

// Runs three controllers, all of them keepers, in front of the same stand-in engines: when one is killed its
// shares go to the others, and it gets them back after its restart.
int run_fleet() {
  constexpr int kControllers = 3;
  constexpr auto kStatusInterval = std::chrono::seconds(1);
  const StandIns stand_ins;
  const TemporaryFolder folder;
  const auto program_path =
      (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "orchidgw").string();
  const std::string fleet = folder.write("fleet.yaml", kSampleFleet);
  std::vector<pid_t> controllers(kControllers, -1);
  const auto admin_socket_path = [&](int i) { return folder.path() + "/c" + std::to_string(i) + ".sock"; };
  const auto start_controller = [&](int i) {
    const std::string name = "c" + std::to_string(i);
    std::string config = replace_all(kSampleConfig, "@LISTEN@", "127.0.0.1:" + std::to_string(7001 + i));
    config = replace_all(config, "\"name\": \"sample\"", "\"name\": \"" + name + "\"");
    config = replace_all(config, "@CHANGELOG@", stand_ins.change_log());
    config = replace_all(config, "@ENGINE1@", stand_ins.engine(0));
    config = replace_all(config, "@ENGINE2@", stand_ins.engine(1));
    const std::string store = folder.path() + "/" + name;
    std::filesystem::create_directories(store);
    controllers[static_cast<std::size_t>(i)] =
        spawn(program_path, {"serve", "--config", folder.write(name + ".json", config), "--fleet", fleet,
                             "--fleet-store", store, "--admin", admin_socket_path(i), "--log-level", "warn"});
  };
  const auto stop_controller = [&](int i, int signal) {
    pid_t& pid = controllers[static_cast<std::size_t>(i)];
    if (pid > 0) ::kill(pid, signal), ::waitpid(pid, nullptr, 0);
    pid = -1;
  };
  const auto print_status = [&](const char* what, int seconds) {
    std::cout << "\n--- " << what << std::endl;
    for (int s = 0; s < seconds; ++s) {
      std::this_thread::sleep_for(kStatusInterval);
      const pid_t status = spawn(program_path, {"fleet", "status", "--admin", admin_socket_path(0)});
      ::waitpid(status, nullptr, 0);
      std::cout << std::endl;
    }
  };
  for (int i = 0; i < kControllers; ++i) start_controller(i);
  print_status("three controllers share each limit (as c0 sees it)", 7);
  stop_controller(2, SIGKILL);
  print_status("c2 was killed: its shares are free again once its lease has expired", 5);
  start_controller(2);
  print_status("c2 was restarted", 7);
  for (int i = 0; i < kControllers; ++i) stop_controller(i, SIGTERM);
  return 0;
}

int ask_once(const Request& request) {
  const Reply reply = ask(request);
  switch (reply.kind) {
    case Reply::Kind::kServed:
      std::cout << reply.rows;
      return 0;
    case Reply::Kind::kRefused:
      std::cout << "refused: a retry is safe";
      break;
    case Reply::Kind::kFailed:
      std::cout << "failed";
      break;
  }
  for (const auto& [key, value] : reply.fields) std::cout << ", " << key << ' ' << value;
  std::cout << '\n';
  return 1;
}

int run_command(int argc, char** argv) {
  CLI::App app("orchidgw on loopback beside two stand-in engines", "orchidgw_sample");
  app.require_subcommand(1);
  std::string listen = "127.0.0.1:7001";
  CLI::App* run_subcommand = app.add_subcommand("run", "start the controller and the stand-ins");
  run_subcommand->add_option("--listen", listen, "where clients connect")->capture_default_str();
  CLI::App* fleet =
      app.add_subcommand("fleet", "start three controllers that share each limit, and kill one");
  Request request;
  CLI::App* ask_subcommand = app.add_subcommand("ask", "send one query and print its answer");
  ask_subcommand->add_option("statement", request.statement, "the statement")->required();
  ask_subcommand->add_option("--address", request.address, "the controller's")->capture_default_str();
  ask_subcommand->add_option("--class", request.class_name, "lookup, report or order-load")
      ->capture_default_str();
  ask_subcommand->add_option("--tenant", request.tenant, "acme or beta")->capture_default_str();
  ask_subcommand->add_option("--key", request.key, "the idempotency key that an order-load needs");
  ask_subcommand->add_option("--wait-ms", request.wait_ms, "how long the client waits")
      ->capture_default_str();
  try {
    app.parse(argc, argv);
    if (fleet->parsed()) return run_fleet();
    return run_subcommand->parsed() ? run(listen) : ask_once(request);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  } catch (const Poco::Exception& e) {
    throw std::runtime_error(request.address + ": " + e.displayText());
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_command(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "orchidgw_sample: " << e.what() << '\n';
  }
  return 1;
}
