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

void ReferenceHistory::remember(const std::string& reference, TimeUs until) {
  const std::uint64_t number = number_of(reference);
  if (references_.insert(number).second) expirations_.emplace(until, number);
}

bool ReferenceHistory::contains(const std::string& reference) const {
  return references_.contains(number_of(reference));
}

void ReferenceHistory::forget_expired(TimeUs now) {
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    references_.erase(expirations_.begin()->second);
    expirations_.erase(expirations_.begin());
  }
}

}  // namespace orchidgw::core
