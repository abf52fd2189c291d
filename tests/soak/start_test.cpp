// A start whose first system calls fail.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "faults/fault_switch.h"
#include "integration/controller_process.h"

namespace orchidgw::soak {
namespace {

// socket(2) fails for 0.3 s for want of resources (EMFILE, ENFILE, ENOBUFS, ENOMEM), then no more.
TEST(Start, ASocketThatCanNotBeHadAtOnceIsAskedForAgain) {
  constexpr std::uint32_t kAlways = 1'000'000;
  faults::FaultSwitch faults;
  faults.set_rate(faults::CallFault::kSocketFails, kAlways);
  integration::ControllerOptions options;
  options.environment = faults.environment();
  std::thread end_of_fault([&faults] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    faults.clear_rates();
  });
  EXPECT_NO_THROW(integration::ControllerProcess{options});
  end_of_fault.join();
}

}  // namespace
}  // namespace orchidgw::soak
