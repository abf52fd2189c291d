// The administration's line protocol: one line asks, the answer ends with the connection. No I/O.
//   status
//   fleet status
//   level set NAME SECONDS      NAME as in the operators' file, or "full"; 1 s to a day
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "decision/decision.h"

namespace orchidgw::admin {

inline constexpr std::size_t kLineMost = 512;  // bytes, its end included
inline constexpr TimeUs kLongestByHand = 24LL * 3600 * 1'000'000;

struct AdminCommand {
  enum class Kind { kStatus, kLevelSet, kFleetStatus };
  Kind kind = Kind::kStatus;
  std::string level;  // of kLevelSet, as is the one below
  TimeUs hold = 0;
};

// Without the line's end. Nothing where it is none of the above; `why` says what is wrong with it.
std::optional<AdminCommand> parse_admin(std::string_view line, std::string& why);

std::string write_admin(const AdminCommand& command);  // the line, with its end

}  // namespace orchidgw::admin
