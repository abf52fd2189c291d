#include "sample/stand_ins.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <functional>
#include <thread>
#include <utility>

namespace orchidgw::sample {
namespace {

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Answer = std::function<void(HTTPServerRequest&, HTTPServerResponse&)>;

constexpr auto kQueryTime = std::chrono::milliseconds(20);
constexpr auto kPollHoldTime =
    std::chrono::milliseconds(400);  // less than the 500 ms that the controller asks for

class Handler final : public HTTPRequestHandler {
 public:
  explicit Handler(const Answer& answer) : answer_(answer) {}
  void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
    answer_(request, response);
  }

 private:
  const Answer& answer_;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(Answer answer) : answer_(std::move(answer)) {}
  HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override { return new Handler(answer_); }

 private:
  Answer answer_;
};

void send(HTTPServerResponse& response, const std::string& body) {
  response.setContentLength(static_cast<std::streamsize>(body.size()));
  response.send() << body;
}

// Engines report in the headers of a successful answer what the query needed.
void run_query(int engine, HTTPServerRequest& request, HTTPServerResponse& response) {
  if (request.getMethod() != "POST") {  // a cancel, or a new priority
    response.setStatusAndReason(HTTPResponse::HTTP_NO_CONTENT);
    response.send();
    return;
  }
  std::string statement;
  Poco::StreamCopier::copyToString(request.stream(), statement);
  std::this_thread::sleep_for(kQueryTime);
  response.set("X-Pages", "1");
  response.set("X-Cost-Ms", "15");
  response.set("X-Needed-Mb", "4");
  const std::string name = "engine-" + std::to_string(engine);
  send(response, name + "\tclass\t" + request.get("Call-Kind", "") + "\n" + name + "\tbytes\t" +
                     std::to_string(statement.size()) + "\n");
}

void answer_no_change(HTTPServerRequest&, HTTPServerResponse& response) {
  std::this_thread::sleep_for(kPollHoldTime);
  response.setContentType("application/json");
  send(response, R"({"seq":1,"results":[]})");
}

std::unique_ptr<Poco::Net::HTTPServer> serve(Answer answer) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true);
  socket.listen();
  Poco::AutoPtr<Poco::Net::HTTPServerParams> params(new Poco::Net::HTTPServerParams);
  params->setKeepAlive(true);
  auto server = std::make_unique<Poco::Net::HTTPServer>(
      Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory>(new HandlerFactory(std::move(answer))), socket,
      params);
  server->start();
  return server;
}

std::string address_of(const Poco::Net::HTTPServer& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

}  // namespace

StandIns::StandIns() {
  for (int i = 1; i <= 2; ++i)
    servers_.push_back(serve([i](auto& request, auto& response) { run_query(i, request, response); }));
  servers_.push_back(serve(answer_no_change));
}

StandIns::~StandIns() {
  for (auto& server : servers_) server->stopAll(true);
}

std::string StandIns::engine(std::size_t i) const { return address_of(*servers_.at(i)); }

std::string StandIns::change_log() const { return address_of(*servers_.back()); }

}  // namespace orchidgw::sample
