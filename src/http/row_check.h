// Checks that bytes are complete rows of a result in the engines' format: three text columns separated by
// tabs and ended by a line feed. No I/O.
#pragma once

#include <string_view>

namespace orchidgw::http {

// Detects noise in place of rows and truncated rows behind a response head that is valid.
class RowValidator {
 public:
  void feed(std::string_view bytes);
  // True if all bytes so far are complete rows, also without any.
  bool valid() const { return valid_so_far_ && !in_row_; }

 private:
  bool valid_so_far_ = true;
  bool in_row_ = false;
  int tabs_ = 0;  // in the current row
};

}  // namespace orchidgw::http
