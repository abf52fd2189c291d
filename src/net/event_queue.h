// What was read and not yet acted on, in the order in which it goes in: list changes (as one), departures of
// clients, outcomes of calls; requests come after all of these. Guards against sends to an engine whose drain
// lay ready, and for a client that has gone.
#pragma once

#include <deque>
#include <optional>

#include "core/events.h"
#include "decision/decision.h"

namespace orchidgw::net {

struct PostedEvent {
  core::Event event;
  TimeUs at = 0;  // when it was read
};

class EventQueue {
 public:
  void push(core::Event event, TimeUs at);
  std::optional<PostedEvent> next_news();  // all but requests
  std::optional<PostedEvent> next_request();
  bool empty() const;
  std::size_t statement_bytes() const { return statement_bytes_; }  // of the requests in line

 private:
  using Queue = std::deque<PostedEvent>;
  void remove_requests(const core::Event& cancellation);
  Queue& queue_for(const core::Event& event);
  static std::optional<PostedEvent> pop_front_of(Queue& queue);

  Queue list_changes_;
  Queue outcomes_;
  Queue cancellations_;
  Queue requests_;
  std::size_t statement_bytes_ = 0;
};

}  // namespace orchidgw::net
