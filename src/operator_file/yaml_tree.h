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
#include "operator_file/operator_file.h"

namespace orchidgw::operator_file {

using limits::Fault;
using limits::Place;

inline constexpr std::size_t kMaxDepth = 12;

struct Member;

struct YamlNode {
  enum class Kind { kNull, kScalar, kSequence, kMap };
  Kind kind = Kind::kNull;
  bool quoted = false;  // of kScalar
  Place place;
  std::string text;             // of kScalar
  std::vector<YamlNode> items;  // of kSequence
  std::vector<Member> members;  // of kMap
};

struct Member {
  YamlNode key;  // a scalar
  YamlNode value;
};

// The only document of `text`. Adds what is wrong with its form to `faults`; then the tree is not to be used.
YamlNode parse_yaml(std::string_view text, const FileSizeLimits& size_limits, std::vector<Fault>& faults);

}  // namespace orchidgw::operator_file
