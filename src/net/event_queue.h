// Events that were read and not yet acted on, in the order in which the core gets them: engine list changes
// (merged into one), disconnects and aborts of clients, outcomes of calls; requests come after all of these.
// Guards against sends to an engine whose drain was already read, and for a client that has gone.
#pragma once

#include <deque>
#include <optional>

#include "core/events.h"
#include "net/request_queue.h"

namespace orchidgw::net {

class EventQueue {
 public:
  void push(core::Event event, TimeUs at);
  std::optional<PostedEvent> next_non_request();  // any event but a request
  std::optional<PostedEvent> next_request();
  bool empty() const;
  std::size_t statement_bytes() const { return requests_.statement_bytes(); }  // of the queued requests

 private:
  using Queue = std::deque<PostedEvent>;
  void remove_requests(const core::Event& client_event);
  Queue& queue_for(const core::Event& event);
  static std::optional<PostedEvent> pop_front_of(Queue& queue);

  Queue list_changes_;
  Queue outcomes_;
  Queue disconnects_and_aborts_;
  RequestQueue requests_;
};

}  // namespace orchidgw::net
