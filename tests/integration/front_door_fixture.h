// A ClientListener in this process, whose event loop the test runs turn by turn, and frames as clients write
// them.
#pragma once

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
#include "net/front_door.h"
#include "net/sockets.h"

namespace orchidgw::integration {

// A frame of the clients' service, as libthrift writes it.
template <typename Write>
std::string frame(Write write) {
  using namespace apache::thrift::transport;
  const auto memory = std::make_shared<TMemoryBuffer>();
  const auto framed = std::make_shared<TFramedTransport>(memory);
  apache::thrift::protocol::TBinaryProtocol protocol(framed);
  write(protocol);
  framed->flush();
  return memory->getBufferAsString();
}

inline std::string ping(std::int32_t sequence) {
  using namespace apache::thrift::protocol;
  return frame([&](TBinaryProtocol& out) {
    out.writeMessageBegin("ping", T_CALL, sequence);
    out.writeFieldBegin("unused", T_BOOL, 1);
    out.writeBool(true);
    out.writeFieldStop();
  });
}

// A call without arguments. It is invalid, but only the reducer checks that: here it only has to arrive.
inline std::string invoke(std::int32_t sequence) {
  using namespace apache::thrift::protocol;
  return frame([&](TBinaryProtocol& out) {
    out.writeMessageBegin("invoke", T_CALL, sequence);
    out.writeFieldStop();
  });
}

inline std::string abort(std::int32_t aborted) {
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
    sockaddr_in socket_address{};
    socklen_t size = sizeof socket_address;
    ASSERT_EQ(getsockname(listener, reinterpret_cast<sockaddr*>(&socket_address), &size), 0);
    address = Poco::Net::SocketAddress("127.0.0.1", ntohs(socket_address.sin_port));
    client_listener = std::make_unique<net::ClientListener>(
        context, listener, net::ClientListenerLimits{clients, 1'000'000}, reducer);
  }

  Poco::Net::StreamSocket connect() {
    Poco::Net::StreamSocket socket(address);
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    return socket;
  }

  static void write(Poco::Net::StreamSocket& socket, const std::string& bytes) {
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }

  // The number of bytes read, 0 at the end of the connection, -1 for a reset.
  static int read(Poco::Net::StreamSocket& socket) {
    char buffer[4096];
    try {
      return socket.receiveBytes(buffer, sizeof buffer);
    } catch (const Poco::Net::ConnectionResetException&) {
      return -1;
    }
  }

  // A client that was accepted and whose ping has been answered.
  Poco::Net::StreamSocket client() {
    const auto before = counters.client_bytes_out;
    Poco::Net::StreamSocket socket = connect();
    write(socket, ping(1));
    const bool answered = run_until([&] { return counters.client_bytes_out > before; });
    EXPECT_GT(answered ? read(socket) : 0, 0);
    return socket;
  }

  // Runs the loop until the condition holds; false after 20 s. POCO's loop can't be run again once it has
  // ended: it has a thread of its own, which waits inside a turn while the test goes on.
  bool run_until(std::function<bool()> done) {
    std::unique_lock lock(mutex);
    const auto last = std::chrono::steady_clock::now() + std::chrono::seconds(20);
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

  // Called by the loop's thread; returns its longest wait (us).
  TimeUs turn() {
    std::unique_lock lock(mutex);
    context.pending_destruction.clear();
    if (client_listener) client_listener->between_turns(net::monotonic_now());
    if (condition && condition()) {
      running = false;
      changed.notify_all();
      changed.wait(lock, [this] { return running || finished; });
    }
    if (finished) reactor.stop();
    return 1000;
  }

  ~FrontDoorTest() override {
    {
      const std::lock_guard lock(mutex);
      finished = true;
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
  std::mutex mutex;  // held by the test, or by the loop during a turn
  std::condition_variable changed;
  std::function<bool()> condition;
  bool running = false;
  bool finished = false;
  std::thread loop;
  bool under_memory_pressure = false;
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
                       [this] { return under_memory_pressure; },
                       [](core::CallId) { return Denial::kNone; },
                       {}};
  core::Reducer reducer{settings(), 1, counters};
  Poco::Net::SocketAddress address;
  std::unique_ptr<net::ClientListener> client_listener;
};

}  // namespace orchidgw::integration
