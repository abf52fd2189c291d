#include "http/row_check.h"

namespace orchidgw::http {
namespace {

constexpr int kTabsOfARow = 2;
constexpr unsigned char kFirstPlain = 0x20;
constexpr unsigned char kDelete = 0x7f;

}  // namespace

void RowCheck::feed(std::string_view bytes) {
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    inside_ = c != '\n';
    if (c == '\t') {
      ++tabs_;
    } else if (c == '\n') {
      good_ = good_ && tabs_ == kTabsOfARow;
      tabs_ = 0;
    } else if (byte < kFirstPlain || byte == kDelete) {
      good_ = false;
    }
  }
}

}  // namespace orchidgw::http
