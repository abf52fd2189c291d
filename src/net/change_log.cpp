#include "net/change_log.h"

#include <exception>
#include <utility>

#include "http/change_log_calls.h"
#include "net/answer_reader.h"
#include "net/clock.h"
#include "net/sockets.h"

namespace orchidgw::net {
namespace {

using core::ConnectionEnd;

// Short holds: a cut connection is silent, and what the log has to tell counts as told meanwhile.
constexpr TimeUs kHold = 500'000;
constexpr TimeUs kGrace = 500'000;    // an answer this long past its hold doesn't come any more
constexpr TimeUs kTryAgain = 50'000;  // after a connection that failed

}  // namespace

ChangeLog::ChangeLog(Context& context, core::Address address, const config::FleetChanges& known,
                     ChangeLogLimits limits)
    : context_(context),
      address_(std::move(address)),
      connect_timeout_(limits.connect_timeout),
      parser_(limits.answer_bytes),
      out_(context.pool),
      body_(context.pool) {
  tell(known, true);
}

void ChangeLog::tell(const config::FleetChanges& changes, bool start) {
  bool first = start;
  for (const auto& change : changes.changes) {
    // Repeated events do no harm: a number that has been seen is not told again.
    if (change.number <= last_) continue;
    last_ = change.number;
    core::EnginesChanged event;
    event.kind = change.complete ? (first ? ListKind::kStored : ListKind::kFull) : ListKind::kDelta;
    event.engines = change.engines;
    first = false;
    context_.post(std::move(event));
  }
  if (changes.last > last_) last_ = changes.last;
}

void ChangeLog::check(TimeUs now) {
  if (now < due_) return;
  if (state_ == State::kClosed) return connect(now);
  end(state_ == State::kConnecting ? ConnectionEnd::kNotUpInTime : ConnectionEnd::kSilent);
}

// Guards against waiting on the old address: it keeps its connections open for a while and tells nothing
// more.
void ChangeLog::move_to(core::Address address, const config::FleetChanges& known) {
  end(ConnectionEnd::kMoved);
  address_ = std::move(address);
  tell(known, false);
  due_ = unix_now();
}

void ChangeLog::connect(TimeUs now) {
  const Connecting begun = begin_connect(address_);
  if (begun.fd < 0) return end(begun.end);
  channel_ = std::make_unique<Channel>(context_.reactor, begun.fd, *this);
  channel_->want_write(true);
  state_ = State::kConnecting;
  due_ = now + connect_timeout_;
}

void ChangeLog::ask(TimeUs now) {
  state_ = State::kAsking;
  due_ = now + kHold + kGrace;
  parser_.reset();
  body_.clear();
  out_.append(http::write_changes_call(address_, last_, kHold));
  ++context_.counters.change_log_calls;
  flush();
}

void ChangeLog::flush() {
  if (!write_chain(channel_->fd(), out_, context_.counters.change_log_bytes_out))
    return end(ConnectionEnd::kResetUnsent);
  channel_->want_write(!out_.empty());
}

void ChangeLog::on_writable() {
  if (state_ == State::kAsking) return flush();
  ConnectionEnd why = ConnectionEnd::kUnreachable;
  if (!connect_came_up(channel_->fd(), why)) return end(why);
  channel_->want_read(true);
  ask(unix_now());
}

void ChangeLog::on_error() {
  if (state_ == State::kConnecting) return on_writable();
  on_readable();
}

void ChangeLog::on_readable() {
  BufferChain in(context_.pool);
  const std::span<char> room = in.room();
  const Moved moved = read_some(channel_->fd(), room);
  if (moved.kind == Moved::Kind::kLater) return;
  if (moved.kind != Moved::Kind::kBytes)
    return end(end_before_whole_answer(parser_, moved.kind == Moved::Kind::kReset));
  context_.counters.change_log_bytes_in += moved.bytes;
  if (!read_bytes({room.data(), moved.bytes})) end(ConnectionEnd::kUnreadable);
}

// False if what came can't be read.
bool ChangeLog::read_bytes(std::string_view bytes) {
  using Result = http::ResponseParser::Result;
  const Result result =
      read_answer_bytes(parser_, bytes, [this](std::string_view piece) { body_.append(piece); });
  if (result != Result::kDone) return result == Result::kMore;
  return bytes.empty() && answer_is_whole();
}

bool ChangeLog::answer_is_whole() {
  if (parser_.head().status != 200) return false;
  try {
    tell(config::parse_fleet_changes(body_.text()), false);
  } catch (const std::exception& e) {
    context_.log.write(log::Level::kWarn, std::string("change log: ") + e.what());
    return false;
  }
  if (!parser_.head().keep_alive) {
    end(ConnectionEnd::kClosedIdle);
  } else {
    ask(unix_now());
  }
  return true;
}

void ChangeLog::on_failure(const char* what) {
  context_.log.write(log::Level::kError, std::string("change log: ") + what);
  end(ConnectionEnd::kUnreadable);
}

void ChangeLog::end(ConnectionEnd end) {
  ++context_.counters.change_log_ends[static_cast<std::size_t>(end)];
  if (channel_) {
    channel_->close();
    context_.closed.push_back(std::shared_ptr<Channel>(std::move(channel_)));
  }
  out_.clear();
  body_.clear();
  state_ = State::kClosed;
  due_ = unix_now() + kTryAgain;
}

}  // namespace orchidgw::net
