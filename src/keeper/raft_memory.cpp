#include "keeper/raft_memory.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <new>

namespace orchidgw::keeper {

using fleet::LogMessage;

raft_buffer copy_to_raft_buffer(std::string_view bytes) {
  raft_buffer out;
  out.len = bytes.size();
  out.base = raft_malloc(bytes.empty() ? 1 : bytes.size());
  if (out.base == nullptr) throw std::bad_alloc();
  if (!bytes.empty()) std::memcpy(out.base, bytes.data(), bytes.size());
  return out;
}

std::string_view bytes_of(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

std::string address_of(raft_id id) { return std::to_string(id); }

std::string encode_configuration(const raft_configuration& configuration) {
  std::string out;
  for (unsigned i = 0; i < configuration.n; ++i)
    out += std::to_string(configuration.servers[i].id) + " " + std::to_string(configuration.servers[i].role) +
           "\n";
  return out;
}

bool decode_configuration(std::string_view text, raft_configuration& to) {
  raft_configuration_init(&to);
  const char* position = text.data();
  const char* const end = position + text.size();
  while (position < end) {
    unsigned long long id = 0;
    int role = 0;
    const auto [space, bad_id] = std::from_chars(position, end, id);
    if (bad_id != std::errc() || space == end || *space != ' ') break;
    const auto [line, bad_role] = std::from_chars(space + 1, end, role);
    if (bad_role != std::errc() || line == end || *line != '\n') break;
    if (raft_configuration_add(&to, id, address_of(id).c_str(), role) != 0) break;
    position = line + 1;
  }
  if (position == end && !text.empty()) return true;
  raft_configuration_close(&to);
  return false;
}

std::vector<fleet::KeeperId> voters_in_entry(std::string_view entry) {
  const auto number = [&entry] {
    std::uint64_t out = 0;  // little-endian
    for (std::size_t i = 0; i < sizeof out && i < entry.size(); ++i)
      out |= std::uint64_t{static_cast<unsigned char>(entry[i])} << (8 * i);
    entry.remove_prefix(std::min(sizeof out, entry.size()));
    return out;
  };
  std::vector<fleet::KeeperId> out;
  if (entry.empty() || entry[0] != 1) return {};
  entry.remove_prefix(1);
  for (std::uint64_t n = number(); n > 0; --n) {
    const auto id = static_cast<fleet::KeeperId>(number());
    const auto end = entry.find('\0');
    if (end == std::string_view::npos || end + 1 >= entry.size()) return {};
    if (entry[end + 1] == RAFT_VOTER) out.push_back(id);
    entry.remove_prefix(end + 2);
  }
  return out;
}

LogMessage to_message(const raft_message& message, fleet::KeeperId from) {
  LogMessage out;
  out.kind = static_cast<LogMessage::Kind>(message.type);
  out.from = from;
  out.to = static_cast<fleet::KeeperId>(message.server_id);
  switch (message.type) {
    case RAFT_IO_APPEND_ENTRIES:
      out.term = message.append_entries.term;
      out.index = message.append_entries.prev_log_index;
      out.index_term = message.append_entries.prev_log_term;
      out.commit = message.append_entries.leader_commit;
      for (unsigned i = 0; i < message.append_entries.n_entries; ++i) {
        const raft_entry& entry = message.append_entries.entries[i];
        out.entries.push_back({entry.term, entry.type, std::string(bytes_of(entry.buf))});
      }
      break;
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      out.term = message.append_entries_result.term;
      out.index = message.append_entries_result.rejected;
      out.commit = message.append_entries_result.last_log_index;
      break;
    case RAFT_IO_REQUEST_VOTE:
      out.term = message.request_vote.term;
      out.index = message.request_vote.last_log_index;
      out.index_term = message.request_vote.last_log_term;
      out.disrupt = message.request_vote.disrupt_leader;
      out.pre_vote = message.request_vote.pre_vote ? 1 : 0;
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      out.term = message.request_vote_result.term;
      out.granted = message.request_vote_result.vote_granted;
      out.pre_vote = static_cast<std::uint32_t>(message.request_vote_result.pre_vote);
      break;
    case RAFT_IO_INSTALL_SNAPSHOT:
      out.term = message.install_snapshot.term;
      out.index = message.install_snapshot.last_index;
      out.index_term = message.install_snapshot.last_term;
      out.commit = message.install_snapshot.conf_index;
      out.configuration = encode_configuration(message.install_snapshot.conf);
      out.data = bytes_of(message.install_snapshot.data);
      break;
    default:
      out.term = message.timeout_now.term;
      out.index = message.timeout_now.last_log_index;
      out.index_term = message.timeout_now.last_log_term;
      break;
  }
  return out;
}

bool to_raft_message(const LogMessage& message, const char* address, raft_message& to) {
  to = {};
  to.type = static_cast<unsigned short>(message.kind);
  to.server_id = message.from;
  to.server_address = address;
  switch (message.kind) {
    case LogMessage::Kind::kAppend:
      to.append_entries.term = message.term;
      to.append_entries.prev_log_index = message.index;
      to.append_entries.prev_log_term = message.index_term;
      to.append_entries.leader_commit = message.commit;
      to.append_entries.n_entries = static_cast<unsigned>(message.entries.size());
      to.append_entries.entries = make_raft_entries(
          message.entries.size(), [&](std::size_t i) -> const auto& { return message.entries[i]; });
      return true;
    case LogMessage::Kind::kAppendResult:
      to.append_entries_result = {message.term, message.index, message.commit};
      return true;
    case LogMessage::Kind::kVote:
      to.request_vote = {message.term,       message.from,    message.index,
                         message.index_term, message.disrupt, message.pre_vote == 1};
      return true;
    case LogMessage::Kind::kVoteResult:
      if (message.pre_vote > raft_tribool_false) return false;
      to.request_vote_result = {message.term, message.granted, static_cast<raft_tribool>(message.pre_vote)};
      return true;
    case LogMessage::Kind::kSnapshot: {
      raft_configuration configuration;
      if (!decode_configuration(message.configuration, configuration)) return false;
      to.install_snapshot = {message.term,  message.index,  message.index_term,
                             configuration, message.commit, copy_to_raft_buffer(message.data)};
      return true;
    }
    case LogMessage::Kind::kTimeoutNow:
      to.timeout_now = {message.term, message.index, message.index_term};
      return true;
  }
  return false;  // a kind of a later version
}

raft_snapshot* to_raft_snapshot(const store::StoredSnapshot& stored) {
  raft_configuration configuration;
  if (!decode_configuration(stored.configuration, configuration)) return nullptr;
  auto* out = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
  out->index = stored.index;
  out->term = stored.term;
  out->configuration = configuration;
  out->configuration_index = stored.configuration_index;
  out->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  out->bufs[0] = copy_to_raft_buffer(stored.data);
  out->n_bufs = 1;
  return out;
}

store::StoredSnapshot to_stored_snapshot(const raft_snapshot& snapshot) {
  store::StoredSnapshot out;
  out.index = snapshot.index;
  out.term = snapshot.term;
  out.configuration_index = snapshot.configuration_index;
  out.configuration = encode_configuration(snapshot.configuration);
  for (unsigned i = 0; i < snapshot.n_bufs; ++i) out.data += bytes_of(snapshot.bufs[i]);
  return out;
}

}  // namespace orchidgw::keeper
