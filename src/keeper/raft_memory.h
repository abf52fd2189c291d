// Between libraft's structures, whose memory it frees itself, and plain values.
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

raft_buffer raft_copy(std::string_view bytes);  // with raft_malloc; never null
std::string_view bytes_of(const raft_buffer& buffer);

// Entries of `n` values, all in one batch. Guards against a leak: of a message some of whose entries it has
// already, libraft frees the batch alone once nothing refers to it, not the entries that it passed over.
raft_entry* raft_entries(std::size_t n, const auto& value_at) {
  if (n == 0) return nullptr;
  std::string all;
  for (std::size_t i = 0; i < n; ++i) all += value_at(i).data;
  const raft_buffer batch = raft_copy(all);
  auto* out = static_cast<raft_entry*>(raft_malloc(n * sizeof(raft_entry)));
  std::size_t at = 0;
  for (std::size_t i = 0; i < n; ++i) {
    const auto& value = value_at(i);
    out[i].term = value.term;
    out[i].type = static_cast<unsigned short>(value.type);
    out[i].buf = {static_cast<char*>(batch.base) + at, value.data.size()};
    out[i].batch = batch.base;
    at += value.data.size();
  }
  return out;
}

// Which servers there are, as text: libraft tells its own form only one way.
std::string write_configuration(const raft_configuration& configuration);
bool read_configuration(std::string_view text,
                        raft_configuration& to);  // `to` is to be closed, or given away

// Of an entry in libraft's own form: a 1, how many, and of each its number, its address with a 0, its role.
std::vector<fleet::KeeperId> voters_in(std::string_view entry);

std::string address_of(raft_id id);

fleet::LogMessage to_message(const raft_message& message, fleet::KeeperId from);
// False: it can't be understood, and nothing was allocated.
bool from_message(const fleet::LogMessage& message, const char* address, raft_message& to);

raft_snapshot* raft_snapshot_of(const store::StoredSnapshot& stored);
store::StoredSnapshot stored_of(const raft_snapshot& snapshot);

}  // namespace orchidgw::keeper
