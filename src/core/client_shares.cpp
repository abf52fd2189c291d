#include "core/client_shares.h"

#include <algorithm>

namespace orchidgw::core {

void ClientShares::remove(ClientId client) {
  const auto found = held_.find(client);
  if (found != held_.end() && --found->second == 0) held_.erase(found);
}

bool ClientShares::admits(ClientId client, std::size_t total) const {
  if (total < capacity_) return true;
  if (total - capacity_ >= capacity_) return false;
  const auto found = held_.find(client);
  return found == held_.end() || found->second < equal_part();
}

// One part is for what is held by nobody.
std::size_t ClientShares::equal_part() const {
  return std::max<std::size_t>(capacity_ / (held_.size() + 1), 1);
}

}  // namespace orchidgw::core
