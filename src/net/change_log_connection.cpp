#include "net/change_log_connection.h"

#include <utility>

#include "http/change_log_calls.h"
#include "net/answer_reader.h"
#include "net/sockets.h"

namespace orchidgw::net {

using core::ConnectionEnd;

ChangeLogConnection::ChangeLogConnection(Context& context, Owner& owner, int fd, core::Address address,
                                         std::size_t answer_bytes)
    : context_(context),
      owner_(owner),
      channel_(context.reactor, fd, *this),
      address_(std::move(address)),
      parser_(answer_bytes),
      unsent_(context.pool),
      body_(context.pool) {
  channel_.want_write(true);
}

void ChangeLogConnection::send_poll(std::uint64_t since, TimeUs timeout) {
  since_ = since;
  parser_.reset();
  body_.clear();
  unsent_.append(http::write_changes_call(address_, since, timeout));
  ++context_.counters.change_log_calls;
  flush();
}

void ChangeLogConnection::close() {
  channel_.close();
  unsent_.clear();
  body_.clear();
}

void ChangeLogConnection::flush() {
  if (!write_chain(channel_.fd(), unsent_, context_.counters.change_log_bytes_out))
    return owner_.on_end(*this, ConnectionEnd::kResetUnsent);
  channel_.want_write(!unsent_.empty());
}

void ChangeLogConnection::on_writable() {
  if (!connecting_) return flush();
  ConnectionEnd end = ConnectionEnd::kUnreachable;
  if (!connect_succeeded(channel_.fd(), end)) return owner_.on_end(*this, end);
  connecting_ = false;
  channel_.want_read(true);
  owner_.on_connected(*this);
}

void ChangeLogConnection::on_error() {
  if (connecting_) return on_writable();
  on_readable();
}

void ChangeLogConnection::on_readable() {
  BufferChain in(context_.pool);
  const std::span<char> free_space = in.writable_span();
  const IoResult io_result = read_some(channel_.fd(), free_space);
  if (io_result.kind == IoResult::Kind::kWouldBlock) return;
  if (io_result.kind != IoResult::Kind::kBytes)
    return owner_.on_end(*this,
                         end_with_incomplete_answer(parser_, io_result.kind == IoResult::Kind::kReset));
  context_.counters.change_log_bytes_in += io_result.bytes;
  if (!read_bytes({free_space.data(), io_result.bytes})) owner_.on_end(*this, ConnectionEnd::kUnreadable);
}

bool ChangeLogConnection::read_bytes(std::string_view bytes) {
  using Result = http::ResponseParser::Result;
  const Result result =
      parse_answer_bytes(parser_, bytes, [this](std::string_view piece) { body_.append(piece); });
  if (result != Result::kDone) return result == Result::kNeedMore;
  return bytes.empty() && parser_.head().status == 200 && owner_.on_answer(*this);
}

void ChangeLogConnection::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("change log: ") + what);
  owner_.on_end(*this, ConnectionEnd::kUnreadable);
}

}  // namespace orchidgw::net
