// Reads the part `levels` of the operators' file.
#pragma once

#include <vector>

#include "operator_file/yaml_tree.h"
#include "service_level/level.h"

namespace orchidgw::operator_file {

void read_levels(const YamlNode& node, std::vector<Fault>& faults, service_level::LevelFile& to);

}  // namespace orchidgw::operator_file
