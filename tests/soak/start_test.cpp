// Guards against a start that fails because one system call failed for a moment (issue 45): in a soak a
// controller did not start because its socket(2) failed once with ENOBUFS. The listener was tried only once,
// as were the other descriptors, files and locks. A start that lacks a resource that may become free is
// retried as a whole (`net/start_retry.h`), by the same classes of errors as later system calls
// (`base/system_call.h`).
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

// socket(2) fails for 0.3 s because resources are exhausted (EMFILE, ENFILE, ENOBUFS, ENOMEM), then succeeds.
TEST(Start, ASocketThatCanNotBeHadAtOnceIsAskedForAgain) {
  constexpr std::uint32_t kAlways = 1'000'000;
  faults::FaultInjector faults;
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
    options.arguments = {"--intents", (folder / "intents").string(), "--admin",
                         (folder / "admin.sock").string()};
  }
  ~StartWhereCallsFail() override { std::filesystem::remove_all(folder); }

  faults::FaultInjector faults;
  ControllerOptions options;
  std::filesystem::path folder;
};

// Starts with an intents folder and an administration socket, so that the start makes each call that can
// fail.
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
  EXPECT_GT(faults.injected(GetParam()), 1U);
}

// The call fails for as long as a restart may take: the process ends with one line that names the call, the
// error and the number of tries.
TEST_P(StartWhereCallsFail, ItEndsWithOneLineWhereTheyFailOnAndOn) {
  constexpr std::chrono::seconds kMaxStartTime{10};
  faults.set_rate(GetParam(), kEveryCall);
  std::map<std::string, std::string> environment = options.environment;
  const std::string config = folder / "config.json";
  std::ofstream(config) << integration::make_config_json(options);
  environment["BALANCER_CONFIG"] = config;
  const auto started_at = std::chrono::steady_clock::now();
  ControllerProcess controller(environment, options.arguments);
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
  std::ofstream(config) << integration::make_config_json(options);
  environment["BALANCER_CONFIG"] = config;
  ControllerProcess controller(environment, options.arguments);
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

// Guards against a new configuration that is never applied because its file could not be opened for a moment.
TEST(Reload, AFileThatCanNotBeOpenedForAMomentIsReadAgain) {
  faults::FaultInjector faults;
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
