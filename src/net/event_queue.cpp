#include "net/event_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace orchidgw::net {

namespace {

// Merges `next` into `merged`, the list change before it.
void merge_list_change(core::EnginesChanged& merged, core::EnginesChanged&& next) {
  if (next.kind != ListKind::kDelta) {
    merged = std::move(next);
    return;
  }
  for (core::EngineListing& listing : next.engines) {
    const auto same = [&](const core::EngineListing& known) { return known.entry.id == listing.entry.id; };
    const auto it = std::find_if(merged.engines.begin(), merged.engines.end(), same);
    if (it == merged.engines.end()) {
      merged.engines.push_back(std::move(listing));
    } else {
      *it = std::move(listing);
    }
  }
}

}  // namespace

EventQueue::Queue& EventQueue::queue_for(const core::Event& event) {
  if (std::holds_alternative<core::EnginesChanged>(event)) return list_changes_;
  if (std::holds_alternative<core::RequestAborted>(event)) return disconnects_and_aborts_;
  if (std::holds_alternative<core::ClientClosed>(event)) return disconnects_and_aborts_;
  return outcomes_;
}

// Guards against requests that outlive their client: disconnects and aborts are handled first, so a request
// that was read before one would be acted on after it and run for nobody.
void EventQueue::remove_requests(const core::Event& client_event) {
  if (const auto* closed = std::get_if<core::ClientClosed>(&client_event))
    requests_.remove_all(closed->client);
  else if (const auto* aborted = std::get_if<core::RequestAborted>(&client_event))
    requests_.remove(aborted->client, aborted->tag);
}

void EventQueue::push(core::Event event, TimeUs at) {
  if (auto* request = std::get_if<core::RequestArrived>(&event))
    return requests_.push(std::move(*request), at);
  if (&queue_for(event) == &disconnects_and_aborts_) remove_requests(event);
  Queue& queue = queue_for(event);
  // Guards against sends between two list changes, based on a list that the next one supersedes: an engine
  // that joined and drained in one answer of the change log was sent the waiting queries.
  if (&queue == &list_changes_ && !queue.empty())
    return merge_list_change(std::get<core::EnginesChanged>(queue.back().event),
                             std::get<core::EnginesChanged>(std::move(event)));
  queue.push_back({std::move(event), at});
}

std::optional<PostedEvent> EventQueue::pop_front_of(Queue& queue) {
  if (queue.empty()) return std::nullopt;
  PostedEvent first = std::move(queue.front());
  queue.pop_front();
  return first;
}

std::optional<PostedEvent> EventQueue::next_non_request() {
  if (auto change = pop_front_of(list_changes_)) return change;
  // Guards against one more attempt for a client whose disconnect or abort was read together with the end of
  // the last attempt.
  if (auto client_event = pop_front_of(disconnects_and_aborts_)) return client_event;
  return pop_front_of(outcomes_);
}

std::optional<PostedEvent> EventQueue::next_request() { return requests_.pop(); }

bool EventQueue::empty() const {
  return list_changes_.empty() && outcomes_.empty() && disconnects_and_aborts_.empty() && requests_.empty();
}

}  // namespace orchidgw::net
