// A YAML text as a tree with the place of each node. Built from yaml-cpp's events, not its node graph, which
// keeps the last of two equal keys and follows aliases: here both are faults. Bounded in bytes, nodes and
// depth.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "limits/route.h"

namespace orchidgw::operator_file {

using limits::Fault;
using limits::Place;

inline constexpr std::size_t kBytesMost = 1024 * 1024;
inline constexpr std::size_t kNodesMost = 400'000;
inline constexpr std::size_t kDepthMost = 8;

struct Node {
  enum class Kind { kNull, kScalar, kSequence, kMap };
  Kind kind = Kind::kNull;
  bool quoted = false;  // of kScalar
  Place place;
  std::string text;                            // of kScalar
  std::vector<Node> items;                     // of kSequence
  std::vector<std::pair<Node, Node>> members;  // of kMap: keys are scalars
};

// The only document of `text`. Adds what is wrong with its form to `faults`; then the tree is not to be used.
Node parse_yaml(std::string_view text, std::vector<Fault>& faults);

}  // namespace orchidgw::operator_file
