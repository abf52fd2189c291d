// A fixture that runs the program with stand-ins for its engines and its change log, and the engines' usual
// replies.
#pragma once

#include <gtest/gtest.h>
#include <sys/types.h>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "change_log_stand_in.h"
#include "controller_process.h"
#include "http_stand_in.h"

namespace orchidgw::integration {

inline HttpReply reply(int status, std::map<std::string, std::string> headers = {}, std::string body = "") {
  HttpReply result;
  result.status = status;
  result.headers = std::move(headers);
  result.body = std::move(body);
  return result;
}

// A result of these rows; `pages` is the number of pages that the whole result has.
inline HttpReply served(const std::string& rows, int pages = 1) {
  return reply(200, {{"X-Pages", std::to_string(pages)}, {"X-Cost-Ms", "5"}, {"X-Needed-Mb", "4"}}, rows);
}

// An engine that answers each query with one page.
inline HttpReply serve_all(const HttpCall& call) {
  return call.method == "DELETE" ? reply(204) : served("a\tb\tc\n");
}

// How many descriptors the process has open.
inline std::size_t count_descriptors(pid_t pid) {
  std::size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
    count += entry.path().empty() ? 0 : 1;
  }
  return count;
}

// One controller and one change log; a test adds the engines, then starts the controller.
class RunningFixture : public ::testing::Test {
 protected:
  // Starts an engine with this script and adds it to the engine list that the controller will start with.
  HttpStandIn& add_engine(HttpStandIn::Script script) {
    engines.push_back(std::make_unique<HttpStandIn>(std::move(script)));
    options.members.push_back(
        member_json("s-" + std::to_string(engines.size() - 1), engines.back()->address()));
    return *engines.back();
  }

  void start() {
    if (options.change_log == "127.0.0.1:1") options.change_log = change_log.address();
    controller = std::make_unique<ControllerProcess>(options);
  }

  ChangeLogStandIn change_log;
  std::vector<std::unique_ptr<HttpStandIn>> engines;
  ControllerOptions options;
  std::unique_ptr<ControllerProcess> controller;
};

}  // namespace orchidgw::integration
