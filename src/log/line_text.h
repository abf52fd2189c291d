// The text of one log line, with what comes from outside escaped: nothing that a client sends can begin a
// line or a field of its own.
#pragma once

#include <string>
#include <string_view>

#include "log/log.h"

namespace orchidgw::log {

class LineText {
 public:
  explicit LineText(Format format) : json_(format == Format::kJson) {}

  void head(std::string_view level, std::string_view name, std::string_view component, std::string_view text);
  void field(const Field& field);
  std::string take() && { return std::move(line_); }

 private:
  void member(std::string_view key, std::string_view value);
  void quoted(std::string_view value);
  void escaped(std::string_view value, bool in_quotes);

  bool json_;
  std::string line_;
};

}  // namespace orchidgw::log
