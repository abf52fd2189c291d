// A client of the soak: sends one request after the other, on one connection for as long as that lasts.
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

  // Sends requests until `end`; returns once the last one is answered or abandoned.
  void run(Instant end);

 private:
  void connect();
  // These return false if the connection has ended.
  bool send_request();
  bool abandon_request(const SoakAudit::RequestId& id);
  // The answer to the current request; kClosed if the connection ended.
  integration::FrontAnswer receive();

  SoakAudit& audit_;
  ControllerSlot& slot_;
  std::mt19937 random_;
  std::shared_ptr<ProcessRecord> record_;  // of the process that the client is connected to
  std::unique_ptr<integration::FrontClient> client_;
  std::int32_t sequence_ = 0;
};

}  // namespace orchidgw::soak
