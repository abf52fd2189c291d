// Whether bytes are whole rows of a result, as the engines' protocol has them: three text columns with a tab
// between them and a line feed behind the last. No I/O.
#pragma once

#include <string_view>

namespace orchidgw::http {

// Guards against noise in place of rows, and against rows cut in two, under a head that can be read.
class RowCheck {
 public:
  void feed(std::string_view bytes);
  bool whole() const { return valid_so_far_ && !in_row_; }  // all rows so far; true for none

 private:
  bool valid_so_far_ = true;
  bool in_row_ = false;
  int tabs_ = 0;  // of the row that is not over
};

}  // namespace orchidgw::http
