// orchidgw_sample: the program tried out on loopback. `run` starts it with an embedded configuration and
// limits beside two stand-in engines; `ask` sends it a query and prints the answer.
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

// A folder of its own, gone with it.
class Folder {
 public:
  Folder() {
    std::string path = (std::filesystem::temp_directory_path() / "orchidgw-sample-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error("no folder can be made for the sample");
    path_ = path;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string path() const { return path_.string(); }
  std::string write(const std::string& name, const std::string& text) const {
    std::string path = (path_ / name).string();
    std::ofstream(path) << text;
    return path;
  }

 private:
  std::filesystem::path path_;
};

std::string replaced(std::string text, const std::string& word, const std::string& by) {
  for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + by.size()))
    text.replace(at, word.size(), by);
  return text;
}

pid_t start(const std::string& program, std::vector<std::string> arguments) {
  std::vector<std::string> words = std::move(arguments);
  words.insert(words.begin(), program);
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  // The signals that this process waits for are the controller's to take, too.
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

// Until the controller ends; a signal to stop is passed on, and it serves what is open first.
int wait_for(pid_t pid, const sigset_t& watched) {
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
  const Folder folder;
  std::string config = replaced(kSampleConfig, "@LISTEN@", listen);
  config = replaced(config, "@CHANGELOG@", stand_ins.change_log());
  config = replaced(config, "@ENGINE1@", stand_ins.engine(0));
  config = replaced(config, "@ENGINE2@", stand_ins.engine(1));
  const std::string config_path = folder.write("config.json", config);
  const std::string limits_path = folder.write("limits.yaml", kSampleLimits);
  const auto beside = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "orchidgw";
  std::cout << "the sample's configuration: " << config_path
            << "\nthe sample's limits:        " << limits_path
            << "\nin another terminal:        build/orchidgw_sample ask 'select * from sales_3.orders'\n"
            << "to stop:                    Ctrl-C" << std::endl;
  return wait_for(start(beside.string(), {"serve", "--config", config_path, "--limits", limits_path}),
                  watched);
}

// Three controllers, all of them keepers, before the same stand-in engines: the parts move to the others when
// one is killed, and back when it is there again.
int run_fleet() {
  constexpr int kControllers = 3;
  constexpr auto kBetween = std::chrono::seconds(1);
  const StandIns stand_ins;
  const Folder folder;
  const auto beside = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "orchidgw").string();
  const std::string fleet = folder.write("fleet.yaml", kSampleFleet);
  std::vector<pid_t> controllers(kControllers, -1);
  const auto admin = [&](int i) { return folder.path() + "/c" + std::to_string(i) + ".sock"; };
  const auto begin = [&](int i) {
    const std::string name = "c" + std::to_string(i);
    std::string config = replaced(kSampleConfig, "@LISTEN@", "127.0.0.1:" + std::to_string(7001 + i));
    config = replaced(config, "\"name\": \"sample\"", "\"name\": \"" + name + "\"");
    config = replaced(config, "@CHANGELOG@", stand_ins.change_log());
    config = replaced(config, "@ENGINE1@", stand_ins.engine(0));
    config = replaced(config, "@ENGINE2@", stand_ins.engine(1));
    const std::string store = folder.path() + "/" + name;
    std::filesystem::create_directories(store);
    controllers[static_cast<std::size_t>(i)] =
        start(beside, {"serve", "--config", folder.write(name + ".json", config), "--fleet", fleet,
                       "--fleet-store", store, "--admin", admin(i), "--log-level", "warn"});
  };
  const auto end = [&](int i, int signal) {
    pid_t& pid = controllers[static_cast<std::size_t>(i)];
    if (pid > 0) ::kill(pid, signal), ::waitpid(pid, nullptr, 0);
    pid = -1;
  };
  const auto show = [&](const char* what, int seconds) {
    std::cout << "\n--- " << what << std::endl;
    for (int s = 0; s < seconds; ++s) {
      std::this_thread::sleep_for(kBetween);
      const pid_t status = start(beside, {"fleet", "status", "--admin", admin(0)});
      ::waitpid(status, nullptr, 0);
      std::cout << std::endl;
    }
  };
  for (int i = 0; i < kControllers; ++i) begin(i);
  show("three controllers divide each whole (as c0 sees it)", 7);
  end(2, SIGKILL);
  show("c2 was killed: its parts are free again after its lease's term", 5);
  begin(2);
  show("c2 is back", 7);
  for (int i = 0; i < kControllers; ++i) end(i, SIGTERM);
  return 0;
}

int ask_once(const Question& question) {
  const Reply reply = ask(question);
  switch (reply.kind) {
    case Reply::Kind::kServed:
      std::cout << reply.rows;
      return 0;
    case Reply::Kind::kRefused:
      std::cout << "refused: trying again is harmless";
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
  CLI::App* run_it = app.add_subcommand("run", "start the controller and the stand-ins");
  run_it->add_option("--listen", listen, "where clients connect")->capture_default_str();
  CLI::App* fleet =
      app.add_subcommand("fleet", "start three controllers that share each whole, and kill one");
  Question question;
  CLI::App* ask_command = app.add_subcommand("ask", "send one query and print its answer");
  ask_command->add_option("statement", question.statement, "the statement")->required();
  ask_command->add_option("--address", question.address, "the controller's")->capture_default_str();
  ask_command->add_option("--class", question.class_name, "lookup, report or order-load")
      ->capture_default_str();
  ask_command->add_option("--tenant", question.tenant, "acme or beta")->capture_default_str();
  ask_command->add_option("--key", question.key, "the idempotency key that an order-load needs");
  ask_command->add_option("--wait-ms", question.wait_ms, "how long the client waits")->capture_default_str();
  try {
    app.parse(argc, argv);
    if (fleet->parsed()) return run_fleet();
    return run_it->parsed() ? run(listen) : ask_once(question);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  } catch (const Poco::Exception& e) {
    throw std::runtime_error(question.address + ": " + e.displayText());
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
