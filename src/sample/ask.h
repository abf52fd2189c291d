// A client of one query: sends it to a controller and waits for the answer.
#pragma once

#include <map>
#include <string>

namespace orchidgw::sample {

struct Request {
  std::string address = "127.0.0.1:7001";
  std::string class_name = "lookup";
  std::string tenant = "acme";
  std::string key;  // the idempotency key; empty: none
  int wait_ms = 3000;
  std::string statement;
};

struct Reply {
  enum class Kind { kServed, kRefused, kFailed };
  Kind kind = Kind::kFailed;
  std::string rows;  // of kServed
  // `cooldown` with kRefused; with kFailed the controller's `reason`, or `why` for a protocol error.
  std::map<std::string, std::string> fields;
};

// Blocks until the answer is there. Throws std::exception if no connection is established within 2 s, if
// nothing arrives for `wait_ms` and one second more, if the connection is closed, or if the answer is
// malformed.
Reply ask(const Request& request);

}  // namespace orchidgw::sample
