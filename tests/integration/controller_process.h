// A process of the program `orchidgw`, started with a configuration that the test gives, and killed in the
// destructor if it still runs.
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
  std::vector<std::string> members;  // JSON of the engines in the configuration's engine list
  int sockets = 1024;
  int memory_mb = 192;
  std::string program;  // path; empty: the one that was built with the tests
  std::string limits;   // text of the operators' file; empty: none
  std::vector<std::string> tenants = {"acme"};
  std::string settings;  // JSON of the decision module's settings; empty: default ones for tests
  std::function<std::string(const std::string& listen)> config;  // empty: built from the fields here
  std::vector<std::string> arguments;                            // on the command line
  std::string name = "n0";
  long once_deadline_us = 60'000'000;  // in the default settings: of class `once`
  long connect_timeout_us = 250'000;   // in the default settings
  long drain_grace_us = 1'000'000;     // in the default settings
  std::function<void()> on_output;     // called after each read of its output, in the thread that reads it
  std::map<std::string, std::string> environment;  // besides the variables for the configuration
};

// A loopback address, HOST:PORT, that was free a moment ago. Its host is derived from the id of this process;
// the same address is never returned twice.
std::string free_address();

// Text of the configuration file that BALANCER_CONFIG names, made from these options with a free address.
std::string make_config_json(const ControllerOptions& options);

// JSON of one member of the engine list.
std::string member_json(const std::string& id, const std::string& address,
                        const std::string& phase = "in_service", long up_since_ms = 0);

double cpu_seconds(pid_t pid);  // user and system time used so far, in seconds

class ControllerProcess {
 public:
  // Writes the configuration, starts the program and waits until it listens. Throws std::runtime_error with
  // its log if it does not.
  explicit ControllerProcess(const ControllerOptions& options);
  // Starts the program with this environment only and writes no configuration; does not wait.
  explicit ControllerProcess(const std::map<std::string, std::string>& environment,
                             const std::vector<std::string>& arguments = {});
  ~ControllerProcess();

  std::string address() const { return address_; }
  pid_t pid() const { return pid_; }
  std::string config_path() const { return directory_ + "/config.json"; }
  void signal(int number) const;
  // Rewrites the configuration file. The program reads it again on SIGHUP.
  void configure(const ControllerOptions& options) const;
  void configure(const std::string& text) const;
  std::string limits_path() const { return directory_ + "/limits.yaml"; }
  void write_limits(const std::string& text) const;    // in place
  void replace_limits(const std::string& text) const;  // by rename
  int wait_exit();  // waits for its end; returns its exit code, or 128 + signal
  // Waits until its output contains this text; false after 20 s, or if the output ends without it.
  bool wait_for_line(const std::string& part);
  std::string log() const;  // its standard output and standard error so far
  void join_log_reader();   // waits for the end of the output; only once the process has ended
  // Leaves its output unread until resume_log_reading: the pipe fills up.
  void pause_log_reading();
  void resume_log_reading();
  // Sends SIGUSR1 and returns the counters that the program then prints, by name; after 20 s those it has
  // printed.
  std::map<std::string, long> counters();
  // Requests the counters until this one has the value; false after 20 s.
  bool wait_for_counter(const std::string& name, long value);

 private:
  void start(const std::map<std::string, std::string>& environment,
             const std::vector<std::string>& arguments);
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
  bool output_ended_ = false;
  bool log_reading_ = true;
  std::string log_;
};

}  // namespace orchidgw::integration
