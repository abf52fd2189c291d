// Two stand-in engines and a change log on loopback, for trying the program out: they answer every query with
// two rows after a short while. Not for load.
#pragma once

#include <Poco/Net/HTTPServer.h>

#include <memory>
#include <string>
#include <vector>

namespace orchidgw::sample {

class StandIns {
 public:
  StandIns();  // on free ports
  ~StandIns();

  std::string engine(std::size_t i) const;  // its address
  std::string change_log() const;

 private:
  std::vector<std::unique_ptr<Poco::Net::HTTPServer>> servers_;  // the change log last
};

}  // namespace orchidgw::sample
