#include "net/channel.h"

#include <Poco/AutoPtr.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Observer.h>

#include <exception>

namespace orchidgw::net {
namespace {

using Poco::Observer;
using Poco::Net::ErrorNotification;
using Poco::Net::ReadableNotification;
using Poco::Net::WritableNotification;

}  // namespace

Channel::Channel(Reactor& reactor, int fd, ChannelHandler& handler)
    : reactor_(reactor), handler_(handler), fd_(fd), socket_(new Poco::Net::StreamSocketImpl(fd)) {
  // The poll always reports errors: without an observer for them the loop would spin.
  reactor_.addEventHandler(socket_, Observer<Channel, ErrorNotification>(*this, &Channel::onError));
}

template <typename Notification>
void Channel::set_interest(bool enabled, bool& current, void (Channel::*callback)(Notification*)) {
  if (enabled == current || !is_open()) return;
  current = enabled;
  const Observer<Channel, Notification> observer(*this, callback);
  if (enabled) {
    reactor_.addEventHandler(socket_, observer);
  } else {
    reactor_.removeEventHandler(socket_, observer);
    renew_interest();
  }
}

void Channel::want_read(bool enabled) { set_interest(enabled, reading_, &Channel::onReadable); }

void Channel::want_write(bool enabled) { set_interest(enabled, writing_, &Channel::onWritable); }

// Guards against a loop that spins: POCO 1.11 removes an observer but leaves its event in the poll (seen in a
// trace: an established connection stayed registered for writing). Adding a handler again sets the events to
// those that still have observers.
void Channel::renew_interest() {
  reactor_.addEventHandler(socket_, Observer<Channel, ErrorNotification>(*this, &Channel::onError));
}

void Channel::close() {
  if (!is_open()) return;
  want_read(false);
  want_write(false);
  reactor_.removeEventHandler(socket_, Observer<Channel, ErrorNotification>(*this, &Channel::onError));
  socket_.close();
  fd_ = -1;
}

// No exception may leave a callback of the reactor: the other sockets would not be handled in this turn.
template <typename Work>
void Channel::run_guarded(Work work) {
  if (!is_open()) return;
  try {
    work();
  } catch (const std::exception& e) {
    handler_.on_failure(e.what());
  }
}

void Channel::onReadable(ReadableNotification* notification) {
  const Poco::AutoPtr<ReadableNotification> released(notification);
  run_guarded([this] { handler_.on_readable(); });
}

void Channel::onWritable(WritableNotification* notification) {
  const Poco::AutoPtr<WritableNotification> released(notification);
  run_guarded([this] { handler_.on_writable(); });
}

void Channel::onError(ErrorNotification* notification) {
  const Poco::AutoPtr<ErrorNotification> released(notification);
  run_guarded([this] { handler_.on_error(); });
}

}  // namespace orchidgw::net
