// The system's socket calls, without blocking and without exceptions.
#pragma once

#include <span>
#include <string_view>

#include "base/descriptor.h"
#include "core/connection_end.h"
#include "core/engine_listing.h"
#include "net/buffer_pool.h"

namespace orchidgw::net {

// The result of a read or write: bytes moved, or why none were.
struct Moved {
  enum class Kind { kBytes, kLater, kClosed, kReset };
  Kind kind = Kind::kLater;
  std::size_t bytes = 0;
};

Moved read_some(int fd, std::span<char> buffer);
enum class WritePosition {
  kMoreMayFollow,
  kLast
};  // of the stream: its end is told together with its last bytes
Moved write_some(int fd, std::string_view bytes, WritePosition end = WritePosition::kMoreMayFollow);

// The other side has closed or reset the connection, whatever lies unread before that.
bool peer_has_closed(int fd);
// Nothing more will be written, and the other side is told. False if the connection is gone.
bool shut_down_writing(int fd);

// Writes what the chain holds, as far as the socket takes it. False if the connection is gone.
bool write_chain(int fd, BufferChain& chain, std::uint64_t& written,
                 WritePosition end = WritePosition::kMoreMayFollow);

// A socket bound to that address. Throws SystemCallError.
Descriptor bind_at(const core::Address& address);
// Clients can connect from then on. Throws SystemCallError, which names the address.
void listen_on(int fd, const core::Address& address);
// Both at once.
Descriptor listen_at(const core::Address& address);

// Who waits next, or why nobody was accepted.
struct Accepted {
  enum class Kind { kClient, kNonePending, kNoResources };
  Kind kind = Kind::kNonePending;
  int fd = -1;
};
Accepted accept_one(int listener);

// Begins a connection: a descriptor, or -1 with its end.
struct Connecting {
  int fd = -1;
  core::ConnectionEnd end = core::ConnectionEnd::kUnreachable;
};
Connecting begin_connect(const core::Address& address);

// How a connection that was begun came out: true once it is up; else `end` says why not.
bool connect_came_up(int fd, core::ConnectionEnd& end);

}  // namespace orchidgw::net
