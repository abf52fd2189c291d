#include "operator_file/yaml_tree.h"

#include <yaml-cpp/anchor.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <istream>
#include <streambuf>
#include <unordered_set>

namespace orchidgw::operator_file {
namespace {

FileLocation place_of(const YAML::Mark& mark) { return {mark.line + 1, mark.column + 1}; }

// Thrown to stop the parser: faults found after this one could only mislead.
struct ParseStopped {};

// Reads from a text without copying it. The text must outlive the buffer.
class TextBuffer final : public std::streambuf {
 public:
  explicit TextBuffer(std::string_view text) {
    char* begin = const_cast<char*>(text.data());  // the stream never writes to its get area
    setg(begin, begin, begin + text.size());
  }
};

class TreeBuilder final : public YAML::EventHandler {
 public:
  TreeBuilder(std::size_t max_nodes, std::vector<Fault>& faults) : max_nodes_(max_nodes), faults_(faults) {}

  YamlNode take_root() { return std::move(root_); }

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    YamlNode node = node_at(mark, YamlNode::Kind::kNull, "", anchor);
    add_node(std::move(node));
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override { stop(mark, "aliases are not taken"); }
  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                const std::string& value) override {
    YamlNode node = node_at(mark, YamlNode::Kind::kScalar, tag, anchor);
    node.quoted = tag == "!";
    node.text = value;
    if (!node.quoted && (value == "~" || value == "null")) node.kind = YamlNode::Kind::kNull;
    add_node(std::move(node));
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    open_nodes_.push_back({node_at(mark, YamlNode::Kind::kSequence, tag, anchor), {}, {}, false});
    check_depth(mark);
  }
  void OnSequenceEnd() override { close(); }
  void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value) override {
    open_nodes_.push_back({node_at(mark, YamlNode::Kind::kMap, tag, anchor), {}, {}, false});
    check_depth(mark);
  }
  void OnMapEnd() override { close(); }

 private:
  struct OpenNode {
    YamlNode node;
    YamlNode key;  // in a map: the key whose value comes next
    std::unordered_set<std::string> keys;
    bool has_key = false;
  };

  [[noreturn]] void stop(const YAML::Mark& mark, const char* why) {
    faults_.push_back({place_of(mark), "", why});
    throw ParseStopped{};
  }

  // Rejects anchors, which could expand without bound, and tags, which change the type of a value.
  YamlNode node_at(const YAML::Mark& mark, YamlNode::Kind kind, const std::string& tag,
                   YAML::anchor_t anchor) {
    if (anchor != 0) stop(mark, "anchors are not taken");
    if (!tag.empty() && tag != "?" && tag != "!") stop(mark, "tags are not taken");
    if (++node_count_ > max_nodes_) stop(mark, "more values than the memory limit allows");
    YamlNode node;
    node.kind = kind;
    node.place = place_of(mark);
    return node;
  }

  void check_depth(const YAML::Mark& mark) {
    if (open_nodes_.size() > kMaxDepth) stop(mark, "nested too deeply");
  }

  void close() {
    YamlNode node = std::move(open_nodes_.back().node);
    open_nodes_.pop_back();
    add_node(std::move(node));
  }

  void add_node(YamlNode node) {
    if (open_nodes_.empty()) {
      root_ = std::move(node);
      return;
    }
    OpenNode& open = open_nodes_.back();
    if (open.node.kind == YamlNode::Kind::kSequence) {
      open.node.items.push_back(std::move(node));
    } else if (!open.has_key) {
      add_key(open, std::move(node));
    } else {
      open.node.members.push_back({std::move(open.key), std::move(node)});
      open.has_key = false;
    }
  }

  void add_key(OpenNode& open, YamlNode key) {
    if (key.kind != YamlNode::Kind::kScalar) {
      faults_.push_back({key.place, "", "a key must be a word"});
    } else if (!open.keys.insert(key.text).second) {
      faults_.push_back({key.place, "", "the key '" + key.text + "' stands here twice"});
    }
    open.key = std::move(key);
    open.has_key = true;
  }

  std::size_t max_nodes_;
  std::vector<Fault>& faults_;
  std::vector<OpenNode> open_nodes_;
  YamlNode root_;
  std::size_t node_count_ = 0;
};

FileLocation place_at(std::string_view text, std::size_t at) {
  FileLocation place{1, 1};
  for (std::size_t i = 0; i < at; ++i) {
    ++place.column;
    if (text[i] == '\n') place = {place.line + 1, 1};
  }
  return place;
}

// The position of the first byte that is not valid UTF-8 (RFC 3629) or is a control character; npos: none.
std::size_t first_bad_byte(std::string_view text) {
  std::size_t i = 0;
  while (i < text.size()) {
    const auto c = static_cast<unsigned char>(text[i]);
    if (c < 0x80) {
      if ((c < 0x20 && c != '\n' && c != '\r' && c != '\t') || c == 0x7f) return i;
      ++i;
      continue;
    }
    const std::size_t length = c >= 0xf0 && c <= 0xf4 ? 4 : c >= 0xe0 ? 3 : c >= 0xc2 && c < 0xe0 ? 2 : 0;
    if (length == 0 || c > 0xf4 || i + length > text.size()) return i;
    unsigned code_point = c & (0xffU >> (length + 1));
    for (std::size_t k = 1; k < length; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xc0) != 0x80) return i;
      code_point = code_point << 6 | (next & 0x3f);
    }
    const bool overlong = (length == 3 && code_point < 0x800) || (length == 4 && code_point < 0x10000);
    if (overlong || code_point > 0x10ffff || (code_point >= 0xd800 && code_point <= 0xdfff)) return i;
    i += length;
  }
  return std::string_view::npos;
}

// Detects a file that is read while it is being written: the first part of a file may be valid YAML too.
bool has_end_marker(std::string_view text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' '))
    text.remove_suffix(1);
  return text == "..." || text.ends_with("\n...");
}

bool check_text(std::string_view text, std::size_t max_bytes, std::vector<Fault>& faults) {
  if (text.size() > max_bytes) {
    faults.push_back({{1, 1}, "", "over " + std::to_string(max_bytes) + " bytes"});
  } else if (const auto bad = first_bad_byte(text); bad != std::string_view::npos) {
    faults.push_back({place_at(text, bad), "", "not a text in UTF-8"});
  } else if (!has_end_marker(text)) {
    faults.push_back({place_at(text, text.size()), "", "half a file: the line '...' at its end is missing"});
  }
  return faults.empty();
}

}  // namespace

YamlNode parse_yaml(std::string_view text, const FileSizeLimits& size_limits, std::vector<Fault>& faults) {
  if (!check_text(text, size_limits.bytes, faults)) return {};
  TextBuffer buffer(text);
  std::istream in(&buffer);
  TreeBuilder builder(size_limits.nodes, faults);
  try {
    YAML::Parser parser(in);
    parser.HandleNextDocument(builder);
    YamlNode root = builder.take_root();
    if (parser.HandleNextDocument(builder)) faults.push_back({{1, 1}, "", "more than one document"});
    return root;
  } catch (const ParseStopped&) {
  } catch (const YAML::Exception& e) {
    faults.push_back({place_of(e.mark), "", "no YAML: " + e.msg});
  }
  return {};
}

}  // namespace orchidgw::operator_file
