// One descriptor registered with the reactor. Owns it; tells its handler when it can be read or written.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include "net/reactor.h"

namespace orchidgw::net {

class ChannelHandler {
 public:
  virtual ~ChannelHandler() = default;
  virtual void on_readable() = 0;
  virtual void on_writable() = 0;
  virtual void on_error() = 0;
  virtual void on_failure(const char* what) = 0;  // one of the above threw an exception with this text
};

class Channel {
 public:
  // Takes ownership of `fd`. Only errors are reported until want_read() or want_write(). The reactor and the
  // handler must outlive the channel.
  Channel(Reactor& reactor, int fd, ChannelHandler& handler);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() { close(); }

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  void want_read(bool enabled);
  void want_write(bool enabled);  // only while there are bytes to write: a socket is nearly always writable
  void close();                   // may be called more than once

 private:
  void onReadable(Poco::Net::ReadableNotification* notification);
  void onWritable(Poco::Net::WritableNotification* notification);
  void onError(Poco::Net::ErrorNotification* notification);
  template <typename Notification>
  void set_interest(bool enabled, bool& current, void (Channel::*callback)(Notification*));
  void renew_interest();
  // Calls `work` unless the channel is closed, and passes its exception to the handler.
  template <typename Work>
  void run_guarded(Work work);

  Reactor& reactor_;
  ChannelHandler& handler_;
  int fd_;
  Poco::Net::StreamSocket socket_;
  bool reading_ = false;
  bool writing_ = false;
};

}  // namespace orchidgw::net
