// Two stand-in engines and a change log on loopback, for a sample run: the engines answer every query with
// two rows after a short delay. Not for load tests.
#pragma once

#include <Poco/Net/HTTPServer.h>

#include <memory>
#include <string>
#include <vector>

namespace orchidgw::sample {

class StandIns {
 public:
  StandIns();  // starts all three servers, on free ports
  ~StandIns();

  std::string engine(std::size_t i) const;  // the address of engine `i` (0 or 1), as host:port
  std::string change_log() const;           // its address

 private:
  std::vector<std::unique_ptr<Poco::Net::HTTPServer>> servers_;  // both engines, then the change log
};

}  // namespace orchidgw::sample
