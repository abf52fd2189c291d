#include "net/engine_connection.h"

#include <limits>
#include <utility>

#include "http/engine_calls.h"
#include "net/answer_reader.h"
#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

using core::ConnectionEnd;

constexpr TimeUs kStallTimeout = 100'000;  // between bytes of an answer, which engines write in one go

}  // namespace

EngineConnection::EngineConnection(Context& context, EngineConnectionOwner& owner, std::uint64_t id, int fd,
                                   core::SendCall call, TimeUs connect_deadline)
    : context_(context),
      owner_(owner),
      id_(id),
      attempt_(call.attempt),
      channel_(context.reactor, fd, *this),
      call_(std::move(call)),
      connect_started_at_(monotonic_now()),
      connect_deadline_(connect_deadline - context.stalled_time),
      answer_deadline_(call_->answer_by - context.stalled_time),
      parser_(http::kMaxPageBytes),
      unsent_(context.pool),
      body_(context.pool) {
  channel_.want_write(true);
}

std::optional<core::CallId> EngineConnection::call() const {
  if (!call_) return std::nullopt;
  return call_->call;
}

void EngineConnection::send(core::SendCall call) {
  call_ = std::move(call);
  answer_deadline_ = call_->answer_by - context_.stalled_time;
  write_request();
}

void EngineConnection::on_connected() {
  ConnectionEnd end = ConnectionEnd::kUnreachable;
  if (!connect_succeeded(channel_.fd(), end)) return close(end);
  context_.counters.connect_time.add(monotonic_now() - connect_started_at_);
  channel_.want_read(true);
  write_request();
}

void EngineConnection::write_request() {
  if (call_->kind == core::CallKind::kStart) {
    const Denial denial = context_.start_denied(call_->call);
    if (denial != Denial::kNone) {
      context_.log.write(log::Level::kDebug, log::Component::kNet,
                         std::string("start taken back: ") + name_of(denial),
                         {{"request", call_->reference}});
      return close(ConnectionEnd::kWithdrawn);
    }
  }
  state_ = State::kBusy;
  parser_.reset();
  body_.clear();
  row_validator_ = {};
  unsent_.append(http::write_call(*call_, monotonic_now()));
  flush();
}

void EngineConnection::flush() {
  if (!write_chain(channel_.fd(), unsent_, context_.counters.engine_bytes_out))
    return close(end_by_peer(true));
  channel_.want_write(!unsent_.empty());
}

void EngineConnection::on_writable() {
  if (state_ == State::kConnecting) return on_connected();
  flush();
}

void EngineConnection::on_error() {
  if (state_ == State::kConnecting) return on_connected();
  on_readable();
}

void EngineConnection::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("engine connection: ") + what);
  close(ConnectionEnd::kUnreadable);
}

void EngineConnection::on_readable() {
  BufferChain in(context_.pool);
  const std::span<char> free_space = in.writable_span();
  const IoResult io_result = read_some(channel_.fd(), free_space);
  if (io_result.kind == IoResult::Kind::kWouldBlock) return;
  if (io_result.kind != IoResult::Kind::kBytes)
    return close(end_by_peer(io_result.kind == IoResult::Kind::kReset));
  context_.counters.engine_bytes_in += io_result.bytes;
  // Bytes on an idle connection, or before the call is completely written, are no answer to a call of ours.
  if (state_ == State::kIdle || !unsent_.empty()) return close(ConnectionEnd::kUnreadable);
  last_read_at_ = monotonic_now() - context_.stalled_time;
  if (!read_bytes({free_space.data(), io_result.bytes})) return close(ConnectionEnd::kUnreadable);
  if (state_ == State::kBusy) owner_.on_answer_begun(*this);
}

// False if the bytes are not a valid answer.
bool EngineConnection::read_bytes(std::string_view bytes) {
  using Result = http::ResponseParser::Result;
  const Result result = parse_answer_bytes(parser_, bytes, [this](std::string_view piece) {
    row_validator_.feed(piece);
    body_.append(piece);
  });
  if (result != Result::kDone) return result == Result::kNeedMore;
  on_complete_answer(bytes.empty());
  return true;
}

void EngineConnection::on_complete_answer(bool no_trailing_bytes) {
  auto rows = std::make_unique<ChainPayload>(std::move(body_));
  body_ = BufferChain(context_.pool);
  auto answer = http::read_answer(call_->kind, parser_.head(), std::move(rows), row_validator_.valid());
  // Bytes behind an answer belong to no call: the connection is not used again. Behind an answer with rows
  // they may be rows beyond a wrong content length: the call fails, so that the rows are requested again.
  const bool has_rows = parser_.head().status == 200;
  if (!answer || (has_rows && !no_trailing_bytes)) return close(ConnectionEnd::kUnreadable);
  const core::CallId call = call_->call;
  call_.reset();
  state_ = State::kIdle;
  if (!no_trailing_bytes) {
    close(ConnectionEnd::kUnreadable);
  } else if (!parser_.head().keep_alive) {
    close(ConnectionEnd::kClosedIdle);
  }
  owner_.on_answer(*this, call, std::move(*answer));
}

// How to report that the engine ended the connection, by what was sent and received before. `reset`: it was
// reset, else it was closed.
ConnectionEnd EngineConnection::end_by_peer(bool reset) const {
  if (state_ == State::kIdle) return ConnectionEnd::kClosedIdle;
  if (!unsent_.empty() || state_ == State::kConnecting)
    return reset ? ConnectionEnd::kResetUnsent : ConnectionEnd::kClosedUnsent;
  return end_with_incomplete_answer(parser_, reset);
}

TimeUs EngineConnection::due() const {
  if (state_ == State::kConnecting)
    return std::min(connect_deadline_, answer_deadline_) + context_.stalled_time;
  if (state_ == State::kBusy && !parser_.begun()) return answer_deadline_ + context_.stalled_time;
  // Guards against answers that stop in the middle while the connection stays open: waiting for the rest
  // until the call's deadline would make a short query miss its latency target.
  if (state_ == State::kBusy)
    return std::min(answer_deadline_, last_read_at_ + kStallTimeout) + context_.stalled_time;
  return std::numeric_limits<TimeUs>::max();
}

void EngineConnection::check(TimeUs now) {
  if (now < due()) return;
  if (state_ == State::kConnecting) return close(ConnectionEnd::kConnectTimeout);
  if (state_ == State::kBusy) close(ConnectionEnd::kSilent);
}

void EngineConnection::drop() {
  const bool unsent = state_ == State::kConnecting || !unsent_.empty();
  close(unsent ? ConnectionEnd::kDroppedUnsent : ConnectionEnd::kDropped);
}

void EngineConnection::close(ConnectionEnd end) {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  channel_.close();
  unsent_.clear();
  body_.clear();
  const auto call = this->call();
  call_.reset();
  owner_.on_closed(*this, end, call);
}

}  // namespace orchidgw::net
