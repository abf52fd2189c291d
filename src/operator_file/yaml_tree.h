// A YAML text as a tree with the line and column of each node. It is built from yaml-cpp's events instead of
// its node graph, because the graph keeps the last of two equal keys and follows aliases: here both are
// faults. Bytes, nodes and depth are bounded.
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
using limits::FileLocation;

inline constexpr std::size_t kMaxDepth = 12;

struct Member;

struct YamlNode {
  enum class Kind { kNull, kScalar, kSequence, kMap };
  Kind kind = Kind::kNull;
  bool quoted = false;  // for kScalar
  FileLocation place;
  std::string text;             // for kScalar
  std::vector<YamlNode> items;  // for kSequence
  std::vector<Member> members;  // for kMap
};

struct Member {
  YamlNode key;  // a scalar
  YamlNode value;
};

// Parses `text`, which must hold exactly one document. If it adds to `faults`, the tree must not be used.
YamlNode parse_yaml(std::string_view text, const FileSizeLimits& size_limits, std::vector<Fault>& faults);

}  // namespace orchidgw::operator_file
