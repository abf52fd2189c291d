// Conversions between libraft's structures and plain values. libraft frees the structures' memory itself, so
// it is allocated with raft_malloc.
#pragma once

extern "C" {  // a C header without guards for C++
#include <raft.h>
}

#include <string>
#include <string_view>
#include <vector>

#include "fleet/messages.h"
#include "store/log_store.h"

namespace orchidgw::keeper {

// A copy made with raft_malloc; its pointer is never null, even if `bytes` is empty. Throws std::bad_alloc.
raft_buffer copy_to_raft_buffer(std::string_view bytes);
std::string_view bytes_of(const raft_buffer& buffer);

// `n` entries from the values that `value_at` returns, all in one batch (one allocation). This guards against
// a leak: when libraft already has some entries of a message, it skips these and never frees them one by one;
// it does free a batch once no entry refers to it.
raft_entry* make_raft_entries(std::size_t n, const auto& value_at) {
  if (n == 0) return nullptr;
  std::string joined;
  for (std::size_t i = 0; i < n; ++i) joined += value_at(i).data;
  const raft_buffer batch = copy_to_raft_buffer(joined);
  auto* out = static_cast<raft_entry*>(raft_malloc(n * sizeof(raft_entry)));
  std::size_t offset = 0;
  for (std::size_t i = 0; i < n; ++i) {
    const auto& value = value_at(i);
    out[i].term = value.term;
    out[i].type = static_cast<unsigned short>(value.type);
    out[i].buf = {static_cast<char*>(batch.base) + offset, value.data.size()};
    out[i].batch = batch.base;
    offset += value.data.size();
  }
  return out;
}

// A configuration (the servers and their roles) as text. libraft can encode its own format, but offers no way
// to decode it.
std::string encode_configuration(const raft_configuration& configuration);
// False: `text` is invalid, and nothing was allocated. Else the caller has to close `to`, or pass it on to
// libraft.
bool decode_configuration(std::string_view text, raft_configuration& to);

// The voters of a configuration entry in libraft's own format: a byte 1, the number of servers, and for each
// its id, its address with a zero byte at the end, and its role. Empty: the entry is invalid.
std::vector<fleet::KeeperId> voters_in_entry(std::string_view entry);

// The address that libraft knows a server by: its id, as messages are routed by ids.
std::string address_of(raft_id id);

fleet::LogMessage to_message(const raft_message& message, fleet::KeeperId from);
// False: the message is invalid, and nothing was allocated. `address` is not copied.
bool to_raft_message(const fleet::LogMessage& message, const char* address, raft_message& to);

// Allocated with raft_malloc, for libraft to free; null: the configuration of `stored` is invalid.
raft_snapshot* to_raft_snapshot(const store::StoredSnapshot& stored);
store::StoredSnapshot to_stored_snapshot(const raft_snapshot& snapshot);

}  // namespace orchidgw::keeper
