// A connection to the change log, with one long poll at a time. Knows nothing of events, time limits or
// retries: its owner does.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/connection_end.h"
#include "core/engine_listing.h"
#include "http/response_parser.h"
#include "net/buffer_pool.h"
#include "net/channel.h"
#include "net/context.h"

namespace orchidgw::net {

class ChangeLogConnection final : public ChannelHandler {
 public:
  // In each call the owner may close the connection; it has to keep the object until the next turn.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_connected(ChangeLogConnection& connection) = 0;
    // A whole answer with status 200 is there. False: it is not valid.
    virtual bool on_answer(ChangeLogConnection& connection) = 0;
    virtual void on_end(ChangeLogConnection& connection, core::ConnectionEnd end) = 0;
  };

  // Takes ownership of `fd`, a socket that is connecting. `answer_bytes`: largest answer that is accepted.
  ChangeLogConnection(Context& context, Owner& owner, int fd, core::Address address,
                      std::size_t answer_bytes);

  // Asks for the events after number `since`; the log answers after `timeout` even if there are none.
  void send_poll(std::uint64_t since, TimeUs timeout);
  void close();

  bool connecting() const { return connecting_; }
  std::uint64_t since() const { return since_; }  // of the last poll
  // Of the last answer; valid in on_answer().
  std::string answer_text() const { return body_.text(); }
  bool keep_alive() const { return parser_.head().keep_alive; }

  void on_readable() override;
  void on_writable() override;
  void on_error() override;
  void on_failure(const char* what) override;

 private:
  void flush();
  bool read_bytes(std::string_view bytes);  // false: the answer is not valid

  Context& context_;
  Owner& owner_;
  Channel channel_;
  core::Address address_;
  bool connecting_ = true;
  std::uint64_t since_ = 0;
  http::ResponseParser parser_;
  BufferChain unsent_;
  BufferChain body_;
};

}  // namespace orchidgw::net
