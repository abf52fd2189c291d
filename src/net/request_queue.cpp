#include "net/request_queue.h"

#include <utility>

namespace orchidgw::net {
namespace {

const core::RequestArrived& request_of(const PostedEvent& posted) {
  return std::get<core::RequestArrived>(posted.event);
}

std::size_t statement_bytes_of(const core::RequestArrived& arrived) {
  return arrived.request ? arrived.request->statement.size() : 0;
}

}  // namespace

void RequestQueue::push(core::RequestArrived request, TimeUs at) {
  statement_bytes_ += statement_bytes_of(request);
  positions_[request.client].push_back(first_position_ + slots_.size());
  slots_.push_back(PostedEvent{std::move(request), at});
}

std::optional<PostedEvent> RequestQueue::pop() {
  while (!slots_.empty()) {
    auto first = take(first_position_);
    slots_.pop_front();
    ++first_position_;
    if (!first) continue;
    const auto of_client = positions_.find(request_of(*first).client);
    of_client->second.erase(of_client->second.begin());
    if (of_client->second.empty()) positions_.erase(of_client);
    return first;
  }
  return std::nullopt;
}

void RequestQueue::remove_all(core::ClientId client) {
  const auto of_client = positions_.find(client);
  if (of_client == positions_.end()) return;
  for (const std::uint64_t position : of_client->second) take(position);
  positions_.erase(of_client);
}

void RequestQueue::remove(core::ClientId client, core::RequestTag tag) {
  const auto of_client = positions_.find(client);
  if (of_client == positions_.end()) return;
  std::erase_if(of_client->second, [&](std::uint64_t position) {
    if (request_of(*slot(position)).tag != tag) return false;
    take(position);
    return true;
  });
  if (of_client->second.empty()) positions_.erase(of_client);
}

std::optional<PostedEvent> RequestQueue::take(std::uint64_t position) {
  auto posted = std::exchange(slot(position), std::nullopt);
  if (posted) statement_bytes_ -= statement_bytes_of(request_of(*posted));
  return posted;
}

}  // namespace orchidgw::net
