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
  using Line = std::deque<PostedEvent>;
  void forget_requests(const core::Event& departure);
  Line& line_of(const core::Event& event);
  static std::optional<PostedEvent> first_of(Line& line);

  Line list_changes_;
  Line outcomes_;
  Line departures_;
  Line requests_;
  std::size_t statement_bytes_ = 0;
};

}  // namespace orchidgw::net
