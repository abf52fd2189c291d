// A stand-in for the change log, which publishes numbered events of the engine list. A poll for events after
// a given number is answered once there are some, or when its timeout ends (long polling).
#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "http_stand_in.h"

namespace orchidgw::integration {

class ChangeLogStandIn {
 public:
  // Event 1 is part of the configuration, so the numbers here start at 2.
  ChangeLogStandIn() : server_([this](const HttpCall& call) { return answer(call); }) {}
  ~ChangeLogStandIn();

  // Appends an event with these members: the JSON of those that changed, separated by commas.
  void publish(const std::string& members);
  // While it is down, each poll has its connection reset in place of an answer.
  void set_down(bool down);
  HttpStandIn& server() { return server_; }
  std::string address() const { return server_.address(); }

 private:
  HttpReply answer(const HttpCall& call);
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> events_;
  bool closing_ = false;
  bool down_ = false;
  HttpStandIn server_;
};

}  // namespace orchidgw::integration
