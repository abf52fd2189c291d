// A start whose first system calls fail.
//
// What happened (issue 45): a soak ended as a controller did not start: its socket(2) had failed once with
// ENOBUFS. The start asked once for its listener, and so for each of its other descriptors, files and locks.
// Now a start that lacks something that others give back is tried again as a whole (`net/start_retry.h`), by
// the table of errors that service uses as well (`base/system_call.h`).
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "faults/fault_switch.h"
#include "integration/controller_process.h"
#include "integration/front_client.h"

namespace orchidgw::soak {
namespace {

using faults::CallFault;
using integration::ControllerOptions;
using integration::ControllerProcess;

constexpr std::uint32_t kEveryCall = 1'000'000;

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

std::string call_name(CallFault fault) {
  switch (fault) {
    case CallFault::kSocketFails:
      return "socket";
    case CallFault::kBindFails:
      return "bind";
    case CallFault::kListenFails:
      return "listen";
    case CallFault::kEpollFails:
      return "epoll";
    case CallFault::kEventDescriptorFails:
      return "eventfd";
    case CallFault::kTimerDescriptorFails:
      return "timerfd_create";
    case CallFault::kSignalDescriptorFails:
      return "signalfd";
    case CallFault::kOpenFails:
      return "open";
    case CallFault::kLockFails:
      return "file_lock";
    default:
      return "other";
  }
}

class StartWhereCallsFail : public ::testing::TestWithParam<CallFault> {
 protected:
  StartWhereCallsFail() {
    options.environment = faults.environment();
    folder = std::filesystem::temp_directory_path() / ("orchidgw-start-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder / "intents");
    options.words = {"--intents", (folder / "intents").string(), "--admin", (folder / "admin.sock").string()};
  }
  ~StartWhereCallsFail() override { std::filesystem::remove_all(folder); }

  faults::FaultSwitch faults;
  ControllerOptions options;
  std::filesystem::path folder;
};

// With a folder of intents and an administration socket: every call of a start is among those that fail.
TEST_P(StartWhereCallsFail, ItIsTriedAgainAndServes) {
  faults.set_rate(GetParam(), kEveryCall);
  std::thread end_of_fault([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    faults.clear_rates();
  });
  EXPECT_NO_THROW({
    ControllerProcess controller(options);
    integration::FrontClient client(controller.address());
    client.ping(1);
    EXPECT_EQ(client.receive().kind, integration::FrontAnswer::Kind::kPong);
    controller.signal(SIGTERM);
    EXPECT_EQ(controller.wait_exit(), 0);
  });
  end_of_fault.join();
  EXPECT_GT(faults.made(GetParam()), 1U);
}

// For the whole time that a restart has: it ends with one line that says which call, why and how often.
TEST_P(StartWhereCallsFail, ItEndsWithOneLineWhereTheyFailOnAndOn) {
  constexpr std::chrono::seconds kMaxStartTime{10};
  faults.set_rate(GetParam(), kEveryCall);
  std::map<std::string, std::string> environment = options.environment;
  const std::string config = folder / "config.json";
  std::ofstream(config) << integration::config_of(options);
  environment["BALANCER_CONFIG"] = config;
  const auto started_at = std::chrono::steady_clock::now();
  ControllerProcess controller(environment, options.words);
  EXPECT_EQ(controller.wait_exit(), 1);
  EXPECT_LT(std::chrono::steady_clock::now() - started_at, kMaxStartTime);
  const std::string log = controller.log();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
  EXPECT_TRUE(log.starts_with("orchidgw: ")) << log;
  EXPECT_NE(log.find(" times)"), std::string::npos) << log;
}

TEST_P(StartWhereCallsFail, ASignalToEndIsHeardMeanwhile) {
  faults.set_rate(GetParam(), kEveryCall);
  std::map<std::string, std::string> environment = options.environment;
  const std::string config = folder / "config.json";
  std::ofstream(config) << integration::config_of(options);
  environment["BALANCER_CONFIG"] = config;
  ControllerProcess controller(environment, options.words);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto signaled_at = std::chrono::steady_clock::now();
  controller.signal(SIGTERM);
  EXPECT_EQ(controller.wait_exit(), 0) << controller.log();
  EXPECT_LT(std::chrono::steady_clock::now() - signaled_at, std::chrono::milliseconds(700));
}

INSTANTIATE_TEST_SUITE_P(Calls, StartWhereCallsFail,
                         ::testing::Values(CallFault::kSocketFails, CallFault::kBindFails,
                                           CallFault::kListenFails, CallFault::kEpollFails,
                                           CallFault::kEventDescriptorFails, CallFault::kTimerDescriptorFails,
                                           CallFault::kSignalDescriptorFails, CallFault::kOpenFails,
                                           CallFault::kLockFails),
                         [](const auto& tested) { return call_name(tested.param); });

// Guards against a configuration that is not taken over for good, as its file could not be opened for a
// moment.
TEST(Reload, AFileThatCanNotBeOpenedForAMomentIsReadAgain) {
  faults::FaultSwitch faults;
  ControllerOptions options;
  options.environment = faults.environment();
  ControllerProcess controller(options);
  faults.set_rate(CallFault::kOpenFails, kEveryCall);
  controller.signal(SIGHUP);
  ASSERT_TRUE(controller.wait_for_line("configuration not taken over: "));
  faults.clear_rates();
  EXPECT_TRUE(controller.wait_for_line("configuration read anew"));
}

}  // namespace
}  // namespace orchidgw::soak
