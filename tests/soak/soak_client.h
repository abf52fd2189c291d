// A client of the soak: one request after the other, on one connection for as long as it lasts.
#pragma once

#include <memory>
#include <random>

#include "integration/front_client.h"
#include "soak_audit.h"
#include "soak_fleet.h"

namespace orchidgw::soak {

class SoakClient {
 public:
  SoakClient(SoakAudit& audit, ControllerSlot& slot, unsigned seed)
      : audit_(audit), slot_(slot), random_(seed) {}

  void run(Instant end);

 private:
  void connect();
  // These are false if the connection is over.
  bool send_request();
  bool abandon_request(const SoakAudit::RequestId& id);
  integration::FrontAnswer receive();

  SoakAudit& audit_;
  ControllerSlot& slot_;
  std::mt19937 random_;
  std::shared_ptr<ProcessRecord> record_;  // of the process that it is connected to
  std::unique_ptr<integration::FrontClient> client_;
  std::int32_t sequence_ = 0;
};

}  // namespace orchidgw::soak
