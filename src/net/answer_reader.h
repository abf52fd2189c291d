// What the connections to engines and to the change log share in reading an HTTP answer.
#pragma once

#include <string_view>

#include "core/connection_end.h"
#include "http/response_parser.h"

namespace orchidgw::net {

// Takes an answer's bytes off the front of `bytes` and hands the pieces of its body to `take`. Never kBody.
template <typename OnBodyPiece>
http::ResponseParser::Result parse_answer_bytes(http::ResponseParser& parser, std::string_view& bytes,
                                                OnBodyPiece on_body_piece) {
  using Result = http::ResponseParser::Result;
  Result result = parser.feed(bytes);
  while (result == Result::kBody) {
    on_body_piece(parser.piece());
    result = parser.feed(bytes);
  }
  return result;
}

// How a connection has ended whose call was written whole and whose answer is not.
core::ConnectionEnd end_with_incomplete_answer(const http::ResponseParser& parser, bool reset);

}  // namespace orchidgw::net
