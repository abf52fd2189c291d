// Hosts the decision module's instances: one line of events in, one line of actions out. Decides nothing.
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
  std::string handle_line(const std::string& line);

 private:
  struct Instance {
    std::unique_ptr<DecisionModule> module;
    std::map<std::string, int> classes;
    bool tells_cost = false;
  };
  void handle_event(TimeUs now, const rapidjson::Value& message, Reply& reply);
  void start_instance(const std::string& name, const Fields& fields, Reply& reply);
  void deliver(TimeUs now, const std::string& word, const Fields& f, Instance& instance, Reply& reply);

  std::ostream& errors_;
  std::uint64_t line_number_ = 0;
  std::map<std::string, Instance> instances_;
  std::array<std::optional<std::vector<EngineEntry>>, 16> lists_;
};

}  // namespace orchidgw::sim
