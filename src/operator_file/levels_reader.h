// Reads the section `levels` of the operator file.
#pragma once

#include <vector>

#include "operator_file/yaml_tree.h"
#include "service_level/level.h"

namespace orchidgw::operator_file {

// Fills `to` from the node of the section and adds what is wrong to `faults`.
void read_levels(const YamlNode& node, std::vector<Fault>& faults, service_level::LevelFile& to);

}  // namespace orchidgw::operator_file
