// The events that a descriptor is registered for, as the kernel's epoll has them and not as POCO reports
// them.
#include "net/channel.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace orchidgw::net {
namespace {

class IgnoringHandler final : public ChannelHandler {
 public:
  void on_readable() override {}
  void on_writable() override {}
  void on_error() override {}
  void on_failure(const char*) override {}
};

// The events for which an epoll of this process watches a descriptor; -1 if none does.
long watched_events(int fd) {
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fdinfo")) {
    std::ifstream in(entry.path());
    for (std::string line; std::getline(in, line);) {
      std::istringstream words(line);
      std::string word;
      std::string events_word;
      std::string mask;
      int watched = -1;
      if (words >> word >> watched >> events_word >> mask && word == "tfd:" && watched == fd)
        return std::stol(mask, nullptr, 16);
    }
  }
  return -1;
}

class Interest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0); }
  void TearDown() override { ::close(ends[1]); }
  bool watched(std::uint32_t event) const {
    return (watched_events(ends[0]) & static_cast<long>(event)) != 0;
  }
  int ends[2] = {-1, -1};
  Reactor reactor{[] { return TimeUs{0}; }};
  IgnoringHandler handler;
};

// Guards against a loop that spins: POCO 1.11 left the event of a removed observer in the poll.
TEST_F(Interest, InWritingIsReallyTakenBack) {
  Channel channel(reactor, ends[0], handler);
  channel.want_write(true);
  EXPECT_TRUE(watched(EPOLLOUT));
  channel.want_read(true);
  channel.want_write(false);
  EXPECT_FALSE(watched(EPOLLOUT));
  EXPECT_TRUE(watched(EPOLLIN));
}

TEST_F(Interest, InReadingIsReallyTakenBack) {
  Channel channel(reactor, ends[0], handler);
  channel.want_read(true);
  EXPECT_TRUE(watched(EPOLLIN));
  channel.want_read(false);
  EXPECT_FALSE(watched(EPOLLIN));
  channel.want_read(true);
  EXPECT_TRUE(watched(EPOLLIN));
}

TEST_F(Interest, EndsWithTheChannel) {
  {
    Channel channel(reactor, ends[0], handler);
    channel.want_read(true);
    EXPECT_GE(watched_events(ends[0]), 0);
  }
  EXPECT_EQ(watched_events(ends[0]), -1);
  EXPECT_EQ(fcntl(ends[0], F_GETFD), -1);
}

}  // namespace
}  // namespace orchidgw::net
