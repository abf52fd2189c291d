// A change log: numbered events, told to who asks for later ones, held back until there are some.
#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "http_stand_in.h"

namespace orchidgw::integration {

class ChangeLogStandIn {
 public:
  // The first event is in the configuration: numbers go on from 2.
  ChangeLogStandIn() : server_([this](const HttpCall& call) { return answer(call); }) {}
  ~ChangeLogStandIn();

  void tell(const std::string& members);  // JSON of the members that changed
  void set_down(bool down);               // connections are reset, nothing is told
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
