// Builds the text of one log line and escapes untrusted values, so that nothing that a client sends can start
// a new line or a new field.
#pragma once

#include <string>
#include <string_view>

#include "log/log.h"

namespace orchidgw::log {

class LineText {
 public:
  explicit LineText(Format format) : json_(format == Format::kJson) {}

  void append_header(std::string_view level, std::string_view name, std::string_view component,
                     std::string_view event);
  void append_field(const Field& field);
  std::string take() && { return std::move(line_); }

 private:
  void append_member(std::string_view key, std::string_view value);
  void append_quoted(std::string_view value);
  void append_escaped(std::string_view value, bool in_quotes);

  bool json_;
  std::string line_;
};

}  // namespace orchidgw::log
