// The Thrift service `Front`, which clients call: decodes its calls and encodes its answers. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/events.h"

namespace orchidgw::thrift {

// One message from a client.
struct FrontCall {
  enum class Kind { kInvoke, kAbort, kPing, kUnknown };
  Kind kind = Kind::kUnknown;
  std::int32_t sequence = 0;
  std::string name;                            // name of the method
  bool wants_answer = true;                    // false for a oneway message
  std::optional<core::ClientRequest> request;  // for kInvoke, if it is valid
  std::string why;                             // for kInvoke, if it is invalid: what is wrong with it
  std::int32_t aborted_sequence = 0;           // for kAbort: sequence number of the request to abort
  bool body_discarded = false;                 // for kInvoke: the request was not kept for want of memory
};

// Decodes a frame without its length. Returns nullopt if it is malformed: the connection can't be used
// further.
std::optional<FrontCall> read_call(std::string_view frame);
// The same for the first kFramePrefixBytes of a frame whose body was discarded.
std::optional<FrontCall> read_call_prefix(std::string_view prefix);

// Encode answers as complete frames. The frame of a served request is served_head(), then `rows` bytes of
// rows, then served_tail().
std::string served_head(std::int32_t sequence, std::size_t rows);
std::string served_tail();
std::string refused(std::int32_t sequence, std::int64_t cooldown_ms);  // 0: no retry-after
std::string failed(std::int32_t sequence, const std::string& why);
// `good`: the controller is ready to accept queries.
std::string pong(std::int32_t sequence, bool good);

enum class ApplicationError : std::int32_t { kUnknownMethod = 1, kBadSequence = 4, kInternal = 6 };
std::string application_exception(std::string_view method, std::int32_t sequence, ApplicationError error,
                                  const std::string& why);

}  // namespace orchidgw::thrift
