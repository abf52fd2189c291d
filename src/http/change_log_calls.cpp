#include "http/change_log_calls.h"

namespace orchidgw::http {

std::string write_changes_call(const core::Address& to, std::uint64_t since, TimeUs hold) {
  constexpr TimeUs kUsPerMs = 1000;
  return "GET /changes?since=" + std::to_string(since) + "&timeout=" + std::to_string(hold / kUsPerMs) +
         " HTTP/1.1\r\nHost: " + to.host + ":" + std::to_string(to.port) + "\r\n\r\n";
}

}  // namespace orchidgw::http
