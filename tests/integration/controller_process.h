// `orchidgw` itself, started with a configuration of the test's and ended with it.
#pragma once

#include <sys/types.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace orchidgw::integration {

struct ControllerOptions {
  std::string change_log = "127.0.0.1:1";
  std::vector<std::string> members;  // JSON of the engines known at the start
  int sockets = 1024;
  int memory_mb = 192;
  std::string program;  // empty: the one that was built with the tests
  std::string limits;   // the operators' file; empty: none
  std::vector<std::string> tenants = {"acme"};
  std::string settings;  // JSON of the module's settings; empty: the tests' own
  std::function<std::string(const std::string& listen)> config;  // empty: one of the above
  std::vector<std::string> words;                                // of the command line
  std::string name = "n0";
  long once_deadline_us = 60'000'000;  // of the tests' own settings: of what must not run twice
  long connect_timeout_us = 250'000;   // likewise
  long drain_grace_us = 1'000'000;     // likewise
  std::function<void()> on_output;     // something was read of its standard error; from a thread of its own
  std::map<std::string, std::string> environment;  // beside the configuration's
};

// A loopback address of this process's own that is free now.
std::string free_address();

// BALANCER_CONFIG by those.
std::string config_of(const ControllerOptions& options);

// JSON of a list member.
std::string member(const std::string& id, const std::string& address, const std::string& phase = "in_service",
                   long up_since_ms = 0);

double cpu_of(pid_t pid);  // seconds of a core that a process has used

class ControllerProcess {
 public:
  explicit ControllerProcess(const ControllerOptions& options);
  // With this environment only; no configuration of the test's.
  explicit ControllerProcess(const std::map<std::string, std::string>& environment,
                             const std::vector<std::string>& words = {});
  ~ControllerProcess();

  std::string address() const { return address_; }
  pid_t pid() const { return pid_; }
  std::string config_path() const { return directory_ + "/config.json"; }
  void signal(int number) const;
  void configure(const ControllerOptions& options) const;  // writes the file anew; SIGHUP has it read
  void configure(const std::string& text) const;
  std::string limits_path() const { return directory_ + "/limits.yaml"; }
  void write_limits(const std::string& text) const;    // in place
  void replace_limits(const std::string& text) const;  // by rename
  int wait_exit();                                     // its exit code, or 128 + signal
  bool wait_for_line(const std::string& part);         // on its standard error
  std::string log() const;
  void join_reader();   // of one that has ended: then its log is whole
  void stop_reading();  // of its standard error, until read_on
  void read_on();
  std::map<std::string, long> counters();  // as SIGUSR1 prints them
  bool wait_for_counter(const std::string& name, long value);

 private:
  void start(const std::map<std::string, std::string>& environment, const std::vector<std::string>& words);
  void read_log(int fd);
  void end();
  std::function<void()> on_output_;

  std::string address_;
  std::string directory_;
  std::string program_;
  pid_t pid_ = -1;
  int exit_code_ = -1;
  std::thread reader_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool over_ = false;  // it writes no more
  bool reading_ = true;
  std::string log_;
};

}  // namespace orchidgw::integration
