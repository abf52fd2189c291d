// Runs instances of the decision module: a line of events in, a line of actions out. Makes no decisions
// itself.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "decision/decision.h"
#include "sim/codec.h"

namespace orchidgw::sim {

class Host {
 public:
  explicit Host(std::ostream& errors) : errors_(errors) {}
  // Handles one batch of events and returns the reply, without a line end. A malformed event is skipped and
  // reported to `errors`, a line each.
  std::string handle_line(const std::string& line);

 private:
  struct Instance {
    std::unique_ptr<DecisionModule> module;
    std::map<std::string, int> classes;  // index of each class in the settings, by name
    bool engines_report_cost = false;
  };
  void handle_event(TimeUs now, const rapidjson::Value& message, ReplyWriter& reply);
  void start_instance(const std::string& name, const EventReader& fields, ReplyWriter& reply);
  void deliver(TimeUs now, const std::string& event_name, const EventReader& fields, Instance& instance,
               ReplyWriter& reply);

  std::ostream& errors_;
  std::uint64_t line_number_ = 0;
  std::map<std::string, Instance> instances_;
  // Engine lists that REGISTER sent, by their number (setId); ROSTER_CHANGE refers to them.
  std::array<std::optional<std::vector<EngineEntry>>, 16> engine_lists_;
};

}  // namespace orchidgw::sim
