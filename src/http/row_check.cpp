#include "http/row_check.h"

namespace orchidgw::http {
namespace {

constexpr int kTabsPerRow = 2;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

}  // namespace

void RowValidator::feed(std::string_view bytes) {
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    in_row_ = c != '\n';
    if (c == '\t') {
      ++tabs_;
    } else if (c == '\n') {
      valid_so_far_ = valid_so_far_ && tabs_ == kTabsPerRow;
      tabs_ = 0;
    } else if (byte < kFirstPrintable || byte == kDelete) {
      valid_so_far_ = false;
    }
  }
}

}  // namespace orchidgw::http
