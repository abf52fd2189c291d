#include "soak_client.h"

#include <thrift/Thrift.h>

#include <thread>

namespace orchidgw::soak {
namespace {

using integration::FrontAnswer;
using integration::FrontClient;

constexpr unsigned kThinkTimeMs = 150;  // at most
constexpr unsigned kLeaveWithinMs = 400;
constexpr unsigned kReconnects = 10;  // before one request in so many
constexpr unsigned kLeaves = 8;       // one request in so many is given up
constexpr unsigned kLeastAllowMs = 60;
constexpr unsigned kTables = 23;

}  // namespace

void SoakClient::run(Instant end) {
  while (Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(random_() % kThinkTimeMs));
    if (client_ && (client_->ended_by_peer() || random_() % kReconnects == 0)) client_.reset();
    try {
      if (!client_) connect();
      if (!ask()) client_.reset();
    } catch (const apache::thrift::TException&) {
      client_.reset();  // it could not be reached: nothing was asked
    }
  }
}

void SoakClient::connect() {
  std::string address;
  {
    const std::lock_guard lock(place_.mutex);
    record_ = place_.record;
    address = place_.process->address();
  }
  client_ = std::make_unique<FrontClient>(address);
  sequence_ = 0;
}

bool SoakClient::ask() {
  ++sequence_;
  const std::vector<QueryClass>& classes = query_classes();
  const QueryClass& query_class = classes[random_() % 10 < 6 ? 0 : random_() % classes.size()];
  const auto spread = static_cast<unsigned>(query_class.deadline.count()) - kLeastAllowMs;
  const milliseconds allow(kLeastAllowMs + random_() % spread);
  const SoakAudit::RequestId id = client_->reference_of(sequence_);
  std::map<std::string, std::string> fields = {{"service", query_class.name},
                                               {"allow", std::to_string(allow.count())},
                                               {"effort", std::to_string(20 + random_() % 200) + ".0"}};
  if (query_class.effect == Effect::kKeyed) fields["replay"] = "5c0f6e1a2b3d4c59" + id;
  audit_.asked(id, query_class, allow, record_);
  try {
    const std::string table = "sales_" + std::to_string(random_() % kTables) + ".orders";
    client_->invoke(sequence_, fields, "select * from " + table);
  } catch (const apache::thrift::TException&) {
    audit_.left(id);  // not written whole
    return false;
  }
  if (random_() % kLeaves == 0) return leave(id);
  const FrontAnswer answer = receive();
  audit_.answered(id, answer.kind);
  return answer.kind != FrontAnswer::Kind::kClosed;
}

// An answer to a request that was aborted may have crossed the abort.
FrontAnswer SoakClient::receive() {
  FrontAnswer answer = client_->receive();
  while (answer.kind != FrontAnswer::Kind::kClosed && answer.sequence != sequence_)
    answer = client_->receive();
  return answer;
}

bool SoakClient::leave(const SoakAudit::RequestId& id) {
  std::this_thread::sleep_for(milliseconds(random_() % kLeaveWithinMs));
  bool stays = random_() % 2 == 0;  // else its close says that it left, whatever becomes of aborts
  try {
    if (stays) client_->abort(sequence_);
  } catch (const apache::thrift::TException&) {
    stays = false;
  }
  if (!stays) client_->close();
  audit_.left(id);
  return stays;
}

}  // namespace orchidgw::soak
