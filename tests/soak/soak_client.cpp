#include "soak_client.h"

#include <thrift/Thrift.h>

#include <thread>

namespace orchidgw::soak {
namespace {

using integration::FrontAnswer;
using integration::FrontClient;

constexpr unsigned kMaxThinkTimeMs = 150;
constexpr unsigned kMaxAbortDelayMs = 400;
constexpr unsigned kReconnectOneIn = 10;  // the client reconnects before one request in so many
constexpr unsigned kAbandonOneIn = 8;     // one request in so many is aborted or its connection closed
constexpr unsigned kMinTimeoutMs = 60;
constexpr unsigned kTables = 23;

}  // namespace

void SoakClient::run(Instant end) {
  while (Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(random_() % kMaxThinkTimeMs));
    if (client_ && (client_->ended_by_peer() || random_() % kReconnectOneIn == 0)) client_.reset();
    try {
      if (!client_) connect();
      if (!send_request()) client_.reset();
    } catch (const apache::thrift::TException&) {
      client_.reset();  // the controller could not be reached: no request was recorded
    }
  }
}

void SoakClient::connect() {
  std::string address;
  {
    const std::lock_guard lock(slot_.mutex);
    record_ = slot_.record;
    address = slot_.process->address();
  }
  client_ = std::make_unique<FrontClient>(address);
  sequence_ = 0;
}

bool SoakClient::send_request() {
  ++sequence_;
  const std::vector<QueryClass>& classes = query_classes();
  const QueryClass& query_class = classes[random_() % 10 < 6 ? 0 : random_() % classes.size()];
  const auto spread = static_cast<unsigned>(query_class.deadline.count()) - kMinTimeoutMs;
  const milliseconds timeout(kMinTimeoutMs + random_() % spread);
  const SoakAudit::RequestId id = client_->reference_of(sequence_);
  std::map<std::string, std::string> fields = {{"service", query_class.name},
                                               {"allow", std::to_string(timeout.count())},
                                               {"effort", std::to_string(20 + random_() % 200) + ".0"}};
  if (query_class.effect == Effect::kKeyed) fields["replay"] = "5c0f6e1a2b3d4c59" + id;
  audit_.record_request(id, query_class, timeout, record_);
  try {
    const std::string table = "sales_" + std::to_string(random_() % kTables) + ".orders";
    client_->invoke(sequence_, fields, "select * from " + table);
  } catch (const apache::thrift::TException&) {
    audit_.record_abandoned(id);  // not written completely
    return false;
  }
  if (random_() % kAbandonOneIn == 0) return abandon_request(id);
  const FrontAnswer answer = receive();
  audit_.record_answer(id, answer.kind);
  return answer.kind != FrontAnswer::Kind::kClosed;
}

// Skips answers to earlier requests: one may have crossed its abort.
FrontAnswer SoakClient::receive() {
  FrontAnswer answer = client_->receive();
  while (answer.kind != FrontAnswer::Kind::kClosed && answer.sequence != sequence_)
    answer = client_->receive();
  return answer;
}

bool SoakClient::abandon_request(const SoakAudit::RequestId& id) {
  std::this_thread::sleep_for(milliseconds(random_() % kMaxAbortDelayMs));
  // Else the client disconnects, which must end the request even where aborts are not heeded.
  bool still_connected = random_() % 2 == 0;
  try {
    if (still_connected) client_->abort(sequence_);
  } catch (const apache::thrift::TException&) {
    still_connected = false;
  }
  if (!still_connected) client_->close();
  audit_.record_abandoned(id);
  return still_connected;
}

}  // namespace orchidgw::soak
