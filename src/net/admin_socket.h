// The administration socket: a Unix socket for the operators of installations that allow a further listener;
// off unless a path is given. Only its owner can open it. At most four connections, a line each.
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
  using Answer = std::function<std::string(const std::string& line)>;

  // Throws std::runtime_error naming the path and the reason. One that a dead process left there is replaced.
  AdminSocket(Context& context, const std::string& path, Answer answer);
  ~AdminSocket() override;

  void check(TimeUs now);  // closes who says nothing for long

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

// For the commands: sends a line to a running program and gives its answer. Throws std::runtime_error.
std::string ask_admin(const std::string& path, const std::string& line);

}  // namespace orchidgw::net
