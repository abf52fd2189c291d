// A scripted HTTP/1.1 server on a free loopback port: it stands in for an engine or the change log. Requests
// are read by POCO's parser, a second opinion on what the controller writes.
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
  int connection = 0;
};

struct HttpReply {
  enum class Way { kAnswer, kSilent, kReset, kClose, kCutBody, kRaw };
  Way way = Way::kAnswer;
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;  // of kRaw: all bytes
};

class HttpStandIn {
 public:
  using Script = std::function<HttpReply(const HttpCall&)>;

  explicit HttpStandIn(Script script, const std::string& address = "127.0.0.1:0");
  ~HttpStandIn();
  HttpStandIn(const HttpStandIn&) = delete;
  HttpStandIn& operator=(const HttpStandIn&) = delete;

  std::string address() const { return address_; }
  void stop();  // as a process that dies: connections are reset, the port is free

  // Waits until such a call has come; false after a long time.
  bool wait_for(const std::function<bool(const HttpCall&)>& wanted);
  bool wait_for(const std::string& method, const std::string& path_part);
  bool wait_for_replies(int count);  // written whole by now; false after a long time
  std::vector<HttpCall> calls() const;
  int count(const std::string& method) const;

 private:
  void accept_all();
  void serve(Poco::Net::StreamSocket socket, int number);
  void let_go_of_ended();
  bool reply(Poco::Net::StreamSocket& socket, const HttpReply& reply);

  Script script_;
  Poco::Net::ServerSocket server_;
  std::string address_;
  std::atomic<bool> stopped_{false};
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<HttpCall> calls_;
  int replies_ = 0;
  struct Served {
    Poco::Net::StreamSocket socket;
    std::thread thread;
  };
  std::map<int, Served> served_;  // by connection
  std::vector<int> ended_;        // of those: their threads are about to end
  std::thread acceptor_;
};

}  // namespace orchidgw::integration
