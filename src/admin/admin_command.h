// The line protocol of the administration socket: a request is one line, the answer ends when the connection
// is closed. No I/O.
//   status
//   fleet status
//   level set NAME SECONDS      NAME as in the operator file, or "full"; 1 s to a day
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "decision/decision.h"

namespace orchidgw::admin {

inline constexpr std::size_t kMaxLineLength = 512;                    // bytes, with the line end
inline constexpr TimeUs kMaxLevelOverride = 24LL * 3600 * 1'000'000;  // longest time for which a level is set

struct AdminCommand {
  enum class Kind { kStatus, kLevelSet, kFleetStatus };
  Kind kind = Kind::kStatus;
  std::string level;  // of kLevelSet
  TimeUs hold = 0;    // of kLevelSet: for how long the level is set
};

// `line`: without the line end. Returns nullopt if it is not a valid command; then `why` says what is wrong.
std::optional<AdminCommand> parse_admin_command(std::string_view line, std::string& why);

std::string format_admin_command(const AdminCommand& command);  // with the line end

}  // namespace orchidgw::admin
