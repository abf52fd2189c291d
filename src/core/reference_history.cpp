#include "core/reference_history.h"

#include <charconv>

namespace orchidgw::core {
namespace {

constexpr int kHexadecimal = 16;

std::uint64_t number_of(const std::string& reference) {
  std::uint64_t number = 0;
  std::from_chars(reference.data(), reference.data() + reference.size(), number, kHexadecimal);
  return number;
}

}  // namespace

bool ReferenceHistory::open(TimeUs now, ClientId client) {
  forget_expired(now);
  if (!shares_.admits(client, clients_.size() + open_queries_)) return false;
  shares_.add(client);
  ++open_queries_;
  return true;
}

void ReferenceHistory::close(ClientId client, const std::string& reference, std::optional<TimeUs> until) {
  --open_queries_;
  const std::uint64_t number = number_of(reference);
  if (!until || !clients_.emplace(number, client).second) return shares_.remove(client);
  expirations_.emplace(*until, number);
}

bool ReferenceHistory::contains(TimeUs now, const std::string& reference) {
  forget_expired(now);
  return clients_.contains(number_of(reference));
}

void ReferenceHistory::forget_expired(TimeUs now) {
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    const auto expired = clients_.find(expirations_.begin()->second);
    shares_.remove(expired->second);
    clients_.erase(expired);
    expirations_.erase(expirations_.begin());
  }
}

}  // namespace orchidgw::core
