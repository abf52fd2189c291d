// The administration socket: a Unix socket for operators, in installations that allow another listener; off
// unless a path is given. Only the user that runs the process can open it. Accepts at most four connections
// at a time and one command line on each.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/channel.h"
#include "net/context.h"

namespace orchidgw::net {

class AdminSocket final : public ChannelHandler {
 public:
  // Gives the answer to a command line, which comes without its line end.
  using Answer = std::function<std::string(const std::string& line)>;

  // Replaces a socket that an ended process left at the path. Throws std::runtime_error with the path and the
  // reason.
  AdminSocket(Context& context, const std::string& path, Answer answer);
  ~AdminSocket() override;

  // Closes connections that have not sent their line in time. `now` is monotonic time.
  void check(TimeUs now);

  void on_readable() override;
  void on_writable() override {}
  void on_error() override {}
  void on_failure(const char* what) override;

 private:
  class Connection;
  void remove(Connection* connection);

  Context& context_;
  std::string path_;
  Answer answer_;
  Channel listener_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

// For command-line tools: sends a line, with its line end, to a running process and returns the answer.
// Blocks for at most 5 s at each read. Throws std::runtime_error.
std::string ask_admin(const std::string& path, const std::string& line);

}  // namespace orchidgw::net
