// Sends one query to a controller, as a client would, and waits for its answer.
#pragma once

#include <map>
#include <string>

namespace orchidgw::sample {

struct Question {
  std::string address = "127.0.0.1:7001";
  std::string class_name = "lookup";
  std::string tenant = "acme";
  std::string key;  // empty: none
  int wait_ms = 3000;
  std::string statement;
};

struct Reply {
  enum class Kind { kServed, kRefused, kFailed };
  Kind kind = Kind::kFailed;
  std::string rows;                           // of kServed
  std::map<std::string, std::string> fields;  // `cooldown` of kRefused, `why` of kFailed
};

// Throws std::exception where there is no connection, or no answer that can be read.
Reply ask(const Question& question);

}  // namespace orchidgw::sample
