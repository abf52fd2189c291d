#include "net/change_log_connection.h"

#include <limits>
#include <utility>

#include "config/json_fields.h"
#include "http/change_log_calls.h"
#include "net/answer_reader.h"
#include "net/sockets.h"

namespace orchidgw::net {

namespace {

using core::ConnectionEnd;

constexpr int kStatusOk = 200;

}  // namespace

ChangeLogConnection::ChangeLogConnection(Context& context, Owner& owner, int fd, core::Address address,
                                         ChangeLogBounds bounds)
    : context_(context),
      owner_(owner),
      channel_(context.reactor, fd, *this),
      address_(std::move(address)),
      parser_(std::numeric_limits<std::size_t>::max()),  // what is kept of an answer is bounded by `events_`
      max_engines_(bounds.engines),
      events_(bounds.text_bytes),
      unsent_(context.pool) {
  channel_.want_write(true);
}

void ChangeLogConnection::send_poll(std::uint64_t since, TimeUs timeout) {
  since_ = since;
  parser_.reset();
  events_.reset(since);
  unsent_.append(http::write_changes_call(address_, since, timeout));
  ++context_.counters.change_log_calls;
  flush();
}

void ChangeLogConnection::close() {
  channel_.close();
  unsent_.clear();
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
  read_bytes({free_space.data(), io_result.bytes});
}

void ChangeLogConnection::read_bytes(std::string_view bytes) {
  std::uint64_t last = 0;
  try {
    if (!answer_complete(bytes)) {
      if (events_.engines_in_events() > max_engines_) owner_.on_events(*this);
      return;
    }
    last = events_.finish();
  } catch (const config::FieldError& e) {
    return owner_.on_invalid_answer(*this, e.what());
  }
  owner_.on_answer(*this, last);
}

void ChangeLogConnection::check_status() const {
  if (parser_.head().status != kStatusOk) config::throw_field_error("status", "200 is needed");
}

bool ChangeLogConnection::answer_complete(std::string_view bytes) {
  using Result = http::ResponseParser::Result;
  const Result result = parse_answer_bytes(parser_, bytes, [this](std::string_view piece) {
    check_status();
    events_.feed(piece);
  });
  if (result == Result::kBroken) config::throw_field_error("answer", "HTTP/1.1 with a length is needed");
  if (result == Result::kNeedMore) return false;
  check_status();
  if (!bytes.empty()) config::throw_field_error("answer", "no bytes after its end are allowed");
  return true;
}

void ChangeLogConnection::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("change log: ") + what);
  owner_.on_end(*this, ConnectionEnd::kUnreadable);
}

}  // namespace orchidgw::net
