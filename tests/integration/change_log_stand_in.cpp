#include "change_log_stand_in.h"

#include <chrono>

namespace orchidgw::integration {
namespace {

// The number that the query string of the path gives for the key; 0 if it has none.
std::size_t number_in_query(const std::string& path, const std::string& key) {
  const auto position = path.find(key + "=");
  return position == std::string::npos ? 0 : std::stoul(path.substr(position + key.size() + 1));
}

}  // namespace

ChangeLogStandIn::~ChangeLogStandIn() {
  {
    const std::lock_guard lock(mutex_);
    closing_ = true;
    changed_.notify_all();
  }
  server_.stop();
}

void ChangeLogStandIn::publish(const std::string& members) {
  const std::lock_guard lock(mutex_);
  const std::size_t number = events_.size() + 2;
  events_.push_back("{\"seq\":" + std::to_string(number) +
                    ",\"fleet\":{\"revision\":1,\"complete\":false,\"members\":[" + members + "]}}");
  changed_.notify_all();
}

void ChangeLogStandIn::set_down(bool down) {
  const std::lock_guard lock(mutex_);
  down_ = down;
  changed_.notify_all();
}

HttpReply ChangeLogStandIn::answer(const HttpCall& call) {
  const std::size_t since = number_in_query(call.path, "since");
  const auto timeout = std::chrono::milliseconds(number_in_query(call.path, "timeout"));
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, timeout, [&] { return closing_ || down_ || events_.size() + 1 > since; });
  HttpReply reply;
  if (down_) {
    reply.behavior = HttpReply::Behavior::kReset;
    return reply;
  }
  std::string results;
  for (std::size_t i = since > 0 ? since - 1 : 0; i < events_.size(); ++i)
    results += (results.empty() ? "" : ",") + events_[i];
  reply.body = "{\"seq\":" + std::to_string(events_.size() + 1) + ",\"results\":[" + results + "]}";
  return reply;
}

}  // namespace orchidgw::integration
