// The system's socket calls, non-blocking. Only those that set up a listener throw.
#pragma once

#include <span>
#include <string_view>

#include "base/descriptor.h"
#include "core/connection_end.h"
#include "core/engine_listing.h"
#include "net/buffer_pool.h"

namespace orchidgw::net {

// The result of a read or write: the number of bytes transferred, or why there were none.
struct IoResult {
  // kWouldBlock: try again once the descriptor is ready. kClosed: the peer has closed its side. kReset: the
  // connection failed.
  enum class Kind { kBytes, kWouldBlock, kClosed, kReset };
  Kind kind = Kind::kWouldBlock;
  std::size_t bytes = 0;
};

IoResult read_some(int fd, std::span<char> buffer);
// Whether bytes are the last of the stream: those are held back until shut_down_writing().
enum class WritePosition { kMoreMayFollow, kLast };
IoResult write_some(int fd, std::string_view bytes, WritePosition position = WritePosition::kMoreMayFollow);

// There is something to read: bytes, an end, or, at a listening socket, a connection to accept.
bool has_input(int fd);
// The peer has closed or reset the connection, even if bytes that it sent before are still unread.
bool peer_has_closed(int fd);
// Tells the peer that nothing more will be written. False if the connection is gone.
bool shut_down_writing(int fd);

// Writes the chain's bytes as far as the socket takes them, removes these from the chain and adds their
// number to `written`. False if the connection is gone.
bool write_chain(int fd, BufferChain& chain, std::uint64_t& written,
                 WritePosition position = WritePosition::kMoreMayFollow);

// A TCP socket bound to that address. Throws SystemCallError, which names the address.
Descriptor bind_at(const core::Address& address);
// From then on clients can connect. Throws SystemCallError, which names the address.
void listen_on(int fd, const core::Address& address);
// bind_at() and listen_on().
Descriptor listen_at(const core::Address& address);

// The accepted connection, or why there is none.
struct AcceptResult {
  // kNoResources: descriptors or memory are lacking for the moment; connections may be pending.
  enum class Kind { kClient, kNonePending, kNoResources };
  Kind kind = Kind::kNonePending;
  int fd = -1;  // owned by the caller
};
AcceptResult accept_one(int listener);

// A connection that is being established: its descriptor, owned by the caller, or -1 with the reason in
// `end`.
struct ConnectResult {
  int fd = -1;
  core::ConnectionEnd end = core::ConnectionEnd::kUnreachable;
};
ConnectResult begin_connect(const core::Address& address);

// The result of begin_connect(), once the descriptor is writable: true if connected, else `end` says why not.
bool connect_succeeded(int fd, core::ConnectionEnd& end);

}  // namespace orchidgw::net
