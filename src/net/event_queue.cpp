#include "net/event_queue.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace orchidgw::net {

namespace {

std::size_t statement_bytes_of(const PostedEvent& posted) {
  const auto& request = std::get<core::RequestArrived>(posted.event).request;
  return request ? request->statement.size() : 0;
}

// What two list changes come to, one after the other.
void add_to(core::EnginesChanged& so_far, core::EnginesChanged&& next) {
  if (next.kind != ListKind::kDelta) {
    so_far = std::move(next);
    return;
  }
  for (core::EngineListing& listing : next.engines) {
    const auto same = [&](const core::EngineListing& known) { return known.entry.id == listing.entry.id; };
    const auto it = std::find_if(so_far.engines.begin(), so_far.engines.end(), same);
    if (it == so_far.engines.end()) {
      so_far.engines.push_back(std::move(listing));
    } else {
      *it = std::move(listing);
    }
  }
}

}  // namespace

EventQueue::Line& EventQueue::line_of(const core::Event& event) {
  if (std::holds_alternative<core::EnginesChanged>(event)) return list_changes_;
  if (std::holds_alternative<core::RequestArrived>(event)) return requests_;
  if (std::holds_alternative<core::RequestAborted>(event)) return departures_;
  if (std::holds_alternative<core::ClientClosed>(event)) return departures_;
  return outcomes_;
}

// Guards against requests that outlive their client: departures go in first, and a request that was read
// before one and acted on after it would run for nobody.
void EventQueue::forget_requests(const core::Event& departure) {
  const auto gone = [&departure](const PostedEvent& posted) {
    const auto& request = std::get<core::RequestArrived>(posted.event);
    if (const auto* closed = std::get_if<core::ClientClosed>(&departure))
      return request.client == closed->client;
    const auto* aborted = std::get_if<core::RequestAborted>(&departure);
    return aborted != nullptr && request.client == aborted->client && request.tag == aborted->tag;
  };
  std::erase_if(requests_, gone);
  statement_bytes_ = 0;
  for (const PostedEvent& request : requests_) statement_bytes_ += statement_bytes_of(request);
}

void EventQueue::push(core::Event event, TimeUs at) {
  if (&line_of(event) == &departures_) forget_requests(event);
  Line& line = line_of(event);
  // Guards against sends in between, by a list that the next event in line has already overtaken: an engine
  // that joined and drained in one answer of the change log got what was held.
  if (&line == &list_changes_ && !line.empty())
    return add_to(std::get<core::EnginesChanged>(line.back().event),
                  std::get<core::EnginesChanged>(std::move(event)));
  line.push_back({std::move(event), at});
  if (&line == &requests_) statement_bytes_ += statement_bytes_of(line.back());
}

std::optional<PostedEvent> EventQueue::first_of(Line& line) {
  if (line.empty()) return std::nullopt;
  PostedEvent first = std::move(line.front());
  line.pop_front();
  return first;
}

std::optional<PostedEvent> EventQueue::next_news() {
  if (auto change = first_of(list_changes_)) return change;
  // Guards against one more attempt for a client whose close or abort was read beside the end of the last
  // one.
  if (auto departure = first_of(departures_)) return departure;
  return first_of(outcomes_);
}

std::optional<PostedEvent> EventQueue::next_request() {
  auto first = first_of(requests_);
  if (first) statement_bytes_ -= statement_bytes_of(*first);
  return first;
}

bool EventQueue::empty() const {
  return list_changes_.empty() && outcomes_.empty() && departures_.empty() && requests_.empty();
}

}  // namespace orchidgw::net
