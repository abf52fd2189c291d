// A connection to the change log, with one long poll at a time. Knows nothing of events, time limits or
// retries: its owner does.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/engine_list_stream.h"
#include "core/connection_end.h"
#include "core/engine_listing.h"
#include "http/response_parser.h"
#include "net/buffer_pool.h"
#include "net/channel.h"
#include "net/context.h"

namespace orchidgw::net {

// What is kept of an answer while it arrives.
struct ChangeLogBounds {
  std::size_t text_bytes = 0;  // see config::EngineListStream
  // Engines of whole events. They are acted on late rather than in part, so that an engine which an answer
  // lists and later withdraws is sent nothing in between.
  std::size_t engines = 0;
};

class ChangeLogConnection final : public ChannelHandler {
 public:
  // In each call the owner may close the connection; it has to keep the object until the next turn.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_connected(ChangeLogConnection& connection) = 0;
    // The engines of an answer that is still arriving exceed their bound: the owner takes the events out.
    virtual void on_events(ChangeLogConnection& connection) = 0;
    // A whole answer is there, whose last event has the number `last`.
    virtual void on_answer(ChangeLogConnection& connection, std::uint64_t last) = 0;
    // The answer can't be read any further, for this reason.
    virtual void on_invalid_answer(ChangeLogConnection& connection, const std::string& why) = 0;
    virtual void on_end(ChangeLogConnection& connection, core::ConnectionEnd end) = 0;
  };

  // Takes ownership of `fd`, a socket that is connecting.
  ChangeLogConnection(Context& context, Owner& owner, int fd, core::Address address, ChangeLogBounds bounds);

  // Asks for the events after number `since`; the log answers after `timeout` even if there are none.
  void send_poll(std::uint64_t since, TimeUs timeout);
  void close();

  bool connecting() const { return connecting_; }
  std::uint64_t since() const { return since_; }  // of the last poll
  // Moves out the whole events that were read since the last call, of a complete answer or not.
  std::vector<config::EngineListEvent> take_events() { return events_.take_events(); }
  std::size_t take_engines_left_out() { return events_.take_engines_left_out(); }              // likewise
  std::size_t take_events_with_bad_fields() { return events_.take_events_with_bad_fields(); }  // likewise
  bool keep_alive() const { return parser_.head().keep_alive; }

  void on_readable() override;
  void on_writable() override;
  void on_error() override;
  void on_failure(const char* what) override;

 private:
  void flush();
  void read_bytes(std::string_view bytes);
  void check_status() const;                     // throws FieldError
  bool answer_complete(std::string_view bytes);  // throws FieldError if the answer is invalid

  Context& context_;
  Owner& owner_;
  Channel channel_;
  core::Address address_;
  bool connecting_ = true;
  std::uint64_t since_ = 0;
  http::ResponseParser parser_;
  std::size_t max_engines_;
  config::EngineListStream events_;
  BufferChain unsent_;
};

}  // namespace orchidgw::net
