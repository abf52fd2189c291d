// A scripted HTTP/1.1 server on a free loopback port, as a stand-in for an engine or the change log. It reads
// requests with POCO's parser, which checks what the controller writes independently of the controller's
// code.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace orchidgw::integration {

struct HttpCall {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  int connection = 0;  // number of the connection that it came on, from 1
};

struct HttpReply {
  // kSilent: no answer, the connection stays open. kReset, kClose: the connection is reset or closed without
  // an answer. kTruncatedBody: half of the body, then the connection is closed. kRaw: the body alone, as it
  // is.
  enum class Behavior { kAnswer, kSilent, kReset, kClose, kTruncatedBody, kRaw };
  Behavior behavior = Behavior::kAnswer;
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;  // of kRaw: all bytes that are sent
};

class HttpStandIn {
 public:
  // Makes the reply to a request; runs in a thread of its connection.
  using Script = std::function<HttpReply(const HttpCall&)>;

  explicit HttpStandIn(Script script, const std::string& address = "127.0.0.1:0");
  ~HttpStandIn();
  HttpStandIn(const HttpStandIn&) = delete;
  HttpStandIn& operator=(const HttpStandIn&) = delete;

  std::string address() const { return address_; }
  void stop();  // as if its process had died: connections are reset, the port is free

  // Waits until a call of this kind has arrived, now or earlier; false after 20 s.
  bool wait_for(const std::function<bool(const HttpCall&)>& wanted);
  bool wait_for(const std::string& method, const std::string& path_part);
  bool wait_for_replies(int count);            // until so many replies were written whole; false after 20 s
  std::vector<HttpCall> calls() const;         // all so far, in the order of their arrival
  int count(const std::string& method) const;  // calls of that method so far

 private:
  void accept_all();
  void serve(Poco::Net::StreamSocket socket, int number);
  void join_ended_connections();
  bool send_reply(Poco::Net::StreamSocket& socket, const HttpReply& reply);  // false: the connection is over

  Script script_;
  Poco::Net::ServerSocket server_;
  std::string address_;
  std::atomic<bool> stopped_{false};
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<HttpCall> calls_;
  int replies_ = 0;
  struct Connection {
    Poco::Net::StreamSocket socket;
    std::thread thread;
  };
  std::map<int, Connection> connections_;  // by number
  std::vector<int> ended_;                 // connections whose threads are about to end, by number
  std::thread acceptor_;
};

}  // namespace orchidgw::integration
