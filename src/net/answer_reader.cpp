#include "net/answer_reader.h"

namespace orchidgw::net {

using core::ConnectionEnd;

ConnectionEnd end_with_incomplete_answer(const http::ResponseParser& parser, bool reset) {
  if (parser.begun()) return reset ? ConnectionEnd::kResetMidAnswer : ConnectionEnd::kClosedMidAnswer;
  return reset ? ConnectionEnd::kResetUnanswered : ConnectionEnd::kClosedUnanswered;
}

}  // namespace orchidgw::net
