// Helpers for reading HTTP answers, shared by the connections to engines and to the change log.
#pragma once

#include <string_view>

#include "core/connection_end.h"
#include "http/response_parser.h"

namespace orchidgw::net {

// Parses the answer's bytes at the front of `bytes`, removes them from it, and calls `on_body_piece` for each
// piece of the body. Never returns kBody.
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

// How a connection ended whose call was written completely and whose answer is incomplete. `reset`: the peer
// reset it, else it closed it.
core::ConnectionEnd end_with_incomplete_answer(const http::ResponseParser& parser, bool reset);

}  // namespace orchidgw::net
