// Reads an answer of the change log while it arrives. What it keeps is bounded whatever the answer's length:
// each engine is parsed as soon as its text is complete, and whole events can be taken out before the end.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fleet_changes.h"

namespace orchidgw::config {

class EngineListStream {
 public:
  // `max_text_bytes`: of an event, and of the answer, without the texts of their engines and events.
  explicit EngineListStream(std::size_t max_text_bytes) : max_text_bytes_(max_text_bytes) {}

  // Prepares for the next answer, which holds the events after number `since`.
  void reset(std::uint64_t since = 0);
  // Both throw FieldError if the answer is no list of events; the events that were whole by then can be
  // taken.
  void feed(std::string_view bytes);
  std::uint64_t finish();  // after the last byte; returns the number of the last event

  // Moves out the whole events that were read since the last call, in their order. An invalid engine is left
  // out; the other engines of its event are kept.
  std::vector<EngineListEvent> take_events();
  std::size_t engines_in_events() const { return engines_in_events_; }  // of the events not taken yet
  std::size_t take_engines_left_out();                                  // since the last call
  // Events since the last call whose number or flag can't be read. They count as the next in order, and as
  // changes.
  std::size_t take_events_with_bad_fields();

 private:
  enum class Kind { kObject, kArray };
  struct Container {
    Kind kind = Kind::kObject;
    std::string key;  // of an object: the last key that was read
  };

  void step(char c);
  void step_in_string(char c);
  void open(Kind kind);
  void close();
  void append(char c);
  bool at_event() const;   // an object that begins here is an event
  bool at_engine() const;  // an object that begins here is an engine
  void end_engine();
  void end_event();
  std::optional<EngineListEvent> read_event(const std::string& text);

  std::size_t max_text_bytes_;
  std::vector<Container> containers_;  // outermost first
  bool in_string_ = false;
  bool escaped_ = false;
  std::string string_;  // the last string, up to a length that no known key has
  // The texts of what is being read. In the outer ones `null` stands for each inner one.
  std::string answer_text_;
  std::optional<std::string> event_text_;
  std::optional<std::string> engine_text_;
  std::vector<core::EngineListing> engines_;  // of the event that is being read
  std::vector<EngineListEvent> events_;
  std::size_t engines_in_events_ = 0;
  std::size_t engines_left_out_ = 0;
  std::size_t events_with_bad_fields_ = 0;
  std::uint64_t last_number_ = 0;  // of the events before the one that is being read
};

}  // namespace orchidgw::config
