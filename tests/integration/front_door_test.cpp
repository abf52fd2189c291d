// Closing a client's connection: what crosses it in that moment is read or the client can tell, and no answer
// that it was sent is lost. The loop is turned by the test.
#include "net/front_door.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <thread>

#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::integration {
namespace {

using namespace std::chrono_literals;
using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TMemoryBuffer;

// A frame of the front, as libthrift writes it.
template <typename Write>
std::string frame(Write write) {
  const auto memory = std::make_shared<TMemoryBuffer>();
  const auto framed = std::make_shared<TFramedTransport>(memory);
  TBinaryProtocol protocol(framed);
  write(protocol);
  framed->flush();
  return memory->getBufferAsString();
}

std::string ping(std::int32_t sequence) {
  using namespace apache::thrift::protocol;
  return frame([&](TBinaryProtocol& out) {
    out.writeMessageBegin("ping", T_CALL, sequence);
    out.writeFieldBegin("unused", T_BOOL, 1);
    out.writeBool(true);
    out.writeFieldStop();
  });
}

// Not usable, which is for the reducer to say: here it only has to arrive.
std::string invoke(std::int32_t sequence) {
  using namespace apache::thrift::protocol;
  return frame([&](TBinaryProtocol& out) {
    out.writeMessageBegin("invoke", T_CALL, sequence);
    out.writeFieldStop();
  });
}

std::string abort(std::int32_t aborted) {
  using namespace apache::thrift::protocol;
  return frame([&](TBinaryProtocol& out) {
    out.writeMessageBegin("abort", T_ONEWAY, 100'000 + aborted);
    out.writeFieldBegin("seqid", T_I32, 1);
    out.writeI32(aborted);
    out.writeFieldStop();
  });
}

class FrontDoorTest : public ::testing::Test {
 protected:
  static Settings settings() {
    Settings s;
    ClassSettings c;
    c.name = "lookup";
    c.deadline = 1'000'000;
    s.classes = {c};
    return s;
  }

  void open(std::size_t clients) {
    const int listener = net::listen_at({"127.0.0.1", 0}).release();
    ASSERT_GE(listener, 0);
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ASSERT_EQ(getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size), 0);
    address = Poco::Net::SocketAddress("127.0.0.1", ntohs(at.sin_port));
    door = std::make_unique<net::FrontDoor>(context, listener, net::FrontLimits{clients, 1'000'000}, reducer);
  }

  Poco::Net::StreamSocket connect() {
    Poco::Net::StreamSocket socket(address);
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    return socket;
  }

  static void write(Poco::Net::StreamSocket& socket, const std::string& bytes) {
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }

  // Bytes, 0 at the end, -1 for a reset.
  static int read(Poco::Net::StreamSocket& socket) {
    char into[4096];
    try {
      return socket.receiveBytes(into, sizeof into);
    } catch (const Poco::Net::ConnectionResetException&) {
      return -1;
    }
  }

  // One that was accepted and has been answered.
  Poco::Net::StreamSocket client() {
    const auto before = counters.client_bytes_out;
    Poco::Net::StreamSocket socket = connect();
    write(socket, ping(1));
    const bool answered = run_until([&] { return counters.client_bytes_out > before; });
    EXPECT_GT(answered ? read(socket) : 0, 0);
    return socket;
  }

  // Turns the loop until the condition holds; false after a long time. POCO's loop can't be run again once it
  // has ended: it has a thread of its own, which stands still inside a turn whenever the test goes on.
  bool run_until(std::function<bool()> done) {
    std::unique_lock lock(mutex);
    const auto last = std::chrono::steady_clock::now() + 20s;
    bool in_time = false;
    condition = [&] {
      in_time = done();
      return in_time || std::chrono::steady_clock::now() > last;
    };
    if (!loop.joinable()) loop = std::thread([this] { reactor.run(); });
    running = true;
    changed.notify_all();
    changed.wait(lock, [this] { return !running; });
    EXPECT_TRUE(in_time);
    return in_time;
  }

  // Of the loop's thread.
  TimeUs turn() {
    std::unique_lock lock(mutex);
    context.closed.clear();
    if (door) door->between_turns(net::monotonic_now());
    if (condition && condition()) {
      running = false;
      changed.notify_all();
      changed.wait(lock, [this] { return running || over; });
    }
    if (over) reactor.stop();
    return 1000;
  }

  ~FrontDoorTest() override {
    {
      const std::lock_guard lock(mutex);
      over = true;
      running = true;
      changed.notify_all();
    }
    if (loop.joinable()) loop.join();
  }

  template <typename E>
  std::size_t count() const {
    return static_cast<std::size_t>(std::count_if(
        events.begin(), events.end(), [](const core::Event& e) { return std::holds_alternative<E>(e); }));
  }

  std::uint64_t ends(core::ConnectionEnd end) const {
    return counters.client_ends[static_cast<std::size_t>(end)];
  }

  static constexpr TimeUs kSecond = 1'000'000;
  std::mutex mutex;  // held by whoever acts: the test, or the loop in its turn
  std::condition_variable changed;
  std::function<bool()> condition;
  bool running = false;
  bool over = false;
  std::thread loop;
  bool crowded = false;
  metrics::Counters counters;
  net::BufferPool pool{100, counters};
  net::Reactor reactor{[this] { return turn(); }};
  log::Logger log{std::cerr, log::Level::kError, "test"};
  std::vector<core::Event> events;
  net::Context context{reactor,
                       pool,
                       counters,
                       log,
                       [this](core::Event e) { events.push_back(std::move(e)); },
                       [this] { return crowded; },
                       [](core::CallId) { return Denial::kNone; },
                       {}};
  core::Reducer reducer{settings(), 1, counters};
  Poco::Net::SocketAddress address;
  std::unique_ptr<net::FrontDoor> door;
};

// Guards against a request that is thrown away: it came as its idle connection was to be closed.
TEST_F(FrontDoorTest, ARequestThatComesAsItsConnectionExpiresIsRead) {
  open(4);
  auto socket = client();
  write(socket, invoke(2));
  door->between_turns(net::monotonic_now() + 6 * kSecond);
  EXPECT_EQ(count<core::RequestArrived>(), 1U);
  EXPECT_EQ(ends(core::ConnectionEnd::kIdleExpired), 0U);
}

TEST_F(FrontDoorTest, ARequestThatComesAsANewcomersTimeIsUpIsRead) {
  open(4);
  auto socket = connect();
  run_until([this] { return counters.accepted == 1; });
  write(socket, invoke(1));
  door->between_turns(net::monotonic_now() + 3 * kSecond);
  EXPECT_EQ(count<core::RequestArrived>(), 1U);
  EXPECT_EQ(ends(core::ConnectionEnd::kSilent), 0U);
}

TEST_F(FrontDoorTest, ARequestThatComesAsAStopClosesItsRestingConnectionIsRead) {
  open(4);
  auto socket = client();
  const TimeUs now = net::monotonic_now();
  door->begin_shutdown({now, now, now + 3 * kSecond, now + 4 * kSecond});
  ASSERT_TRUE(door->stop_listening(false));
  write(socket, invoke(2));
  door->between_turns(net::monotonic_now() + kSecond);
  EXPECT_EQ(count<core::RequestArrived>(), 1U);
  EXPECT_EQ(ends(core::ConnectionEnd::kShutDown), 0U);
}

TEST_F(FrontDoorTest, ARequestThatComesAsItsPlaceIsToBeGivenAwayIsRead) {
  open(1);
  auto socket = client();
  std::this_thread::sleep_for(150ms);  // only who was quiet for a while gives its place away
  write(socket, invoke(2));
  auto newcomer = connect();
  door->on_readable();
  EXPECT_EQ(count<core::RequestArrived>(), 1U);
  EXPECT_EQ(ends(core::ConnectionEnd::kMadeRoom), 0U);
}

// Guards against a close over unread bytes, which the system answers with a reset that takes answers with it;
// and against a request that is sent on though its answer has no way back.
TEST_F(FrontDoorTest, WhatComesAfterTheCloseIsThrownAwayAndResetsNothing) {
  open(4);
  auto socket = client();
  door->between_turns(net::monotonic_now() + 6 * kSecond);
  EXPECT_EQ(ends(core::ConnectionEnd::kIdleExpired), 1U);
  EXPECT_EQ(door->lingering(), 1U);
  EXPECT_EQ(count<core::ClientClosed>(), 1U);
  write(socket, invoke(2));
  write(socket, invoke(3));
  run_until([this, turns = 0]() mutable { return ++turns > 20; });
  EXPECT_EQ(read(socket), 0);
  write(socket, invoke(4));  // a reset would show here
  EXPECT_EQ(read(socket), 0);
  EXPECT_EQ(count<core::RequestArrived>(), 0U);
  EXPECT_FALSE(door->empty());
  socket.close();
  run_until([this] { return door->empty(); });
}

// A client that breaks the rules again and again gets the answers that it was sent before the end.
TEST_F(FrontDoorTest, AClientThatIsClosedOverUnreadBytesReadsItsAnswersAndTheEnd) {
  open(4);
  auto socket = connect();
  std::string nonsense = frame([](TBinaryProtocol& out) {
    out.writeMessageBegin("nonsense", apache::thrift::protocol::T_CALL, 1);
    out.writeFieldStop();
  });
  std::string much;
  for (int i = 0; i < 4000; ++i) much += nonsense;  // far more than is read at once
  write(socket, much);
  run_until([this] { return ends(core::ConnectionEnd::kTooMuch) == 1; });
  run_until([this, turns = 0]() mutable { return ++turns > 20; });
  int last = 1;
  int bytes = 0;
  while ((last = read(socket)) > 0) bytes += last;
  EXPECT_EQ(last, 0) << "reset";
  EXPECT_EQ(static_cast<std::uint64_t>(bytes), counters.client_bytes_out);
}

TEST_F(FrontDoorTest, LingeringIsBoundedInTimeAndNumber) {
  open(1);
  std::vector<Poco::Net::StreamSocket> sockets;
  for (int i = 0; i < 30; ++i) {
    sockets.push_back(client());
    door->between_turns(net::monotonic_now() + 6 * kSecond + i * kSecond / 5);
    EXPECT_LE(door->lingering(), 18U);
  }
  EXPECT_EQ(ends(core::ConnectionEnd::kIdleExpired), 30U);
  EXPECT_GT(door->lingering(), 0U);
  door->between_turns(net::monotonic_now() + 60 * kSecond);
  EXPECT_TRUE(door->empty());
}

// Guards against attempts for a client that left while it was not read: its close lies behind unread bytes.
TEST_F(FrontDoorTest, AClientThatLeavesBehindUnreadBytesIsSeen) {
  open(4);
  auto socket = client();
  crowded = true;
  std::string much;
  for (std::int32_t i = 2; i < 2000; ++i) much += invoke(i);
  write(socket, much);
  run_until([this] { return counters.reads_paused == 1; });
  run_until([this, turns = 0]() mutable { return ++turns > 20; });
  EXPECT_EQ(count<core::ClientClosed>(), 0U);
  EXPECT_LT(counters.client_bytes_in, much.size() / 2);  // what is paused is not read without end
  socket.close();
  run_until([this] { return count<core::ClientClosed>() == 1; });
  EXPECT_EQ(count<core::RequestArrived>(), 0U);
}

// Guards against attempts for a request that was given up while its client was paused.
TEST_F(FrontDoorTest, AbortsOfAPausedClientGoThroughAndItsCallsWaitInOrder) {
  open(4);
  auto socket = client();
  crowded = true;
  for (std::int32_t i = 2; i <= 5; ++i) write(socket, invoke(i));
  write(socket, abort(3));  // has not been taken: nobody else hears of it
  write(socket, abort(1));  // was taken before
  ASSERT_TRUE(run_until([this] { return count<core::RequestAborted>() == 1; }));
  EXPECT_EQ(std::get<core::RequestAborted>(events.back()).tag, 1);
  EXPECT_EQ(count<core::RequestArrived>(), 0U);
  EXPECT_FALSE(door->empty());
  crowded = false;
  run_until([this] { return count<core::RequestArrived>() == 3; });
  std::vector<core::RequestTag> tags;
  for (const core::Event& event : events)
    if (const auto* request = std::get_if<core::RequestArrived>(&event)) tags.push_back(request->tag);
  EXPECT_EQ(tags, (std::vector<core::RequestTag>{2, 4, 5}));
  write(socket, invoke(6));
  run_until([this] { return count<core::RequestArrived>() == 4; });
}

// Guards against a stop that throws away who waits to be accepted while there is no room.
TEST_F(FrontDoorTest, AStopListensUntilWhoWaitsHasAPlace) {
  open(4);
  crowded = true;
  auto socket = connect();
  EXPECT_FALSE(door->stop_listening(false));
  EXPECT_EQ(counters.accepted, 0U);
  crowded = false;
  EXPECT_TRUE(door->stop_listening(false));
  EXPECT_EQ(counters.accepted, 1U);
  write(socket, invoke(1));
  run_until([this] { return count<core::RequestArrived>() == 1; });
}

}  // namespace
}  // namespace orchidgw::integration
