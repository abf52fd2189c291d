#include "admin/admin_command.h"

#include <charconv>
#include <vector>

namespace orchidgw::admin {
namespace {

constexpr TimeUs kSecond = 1'000'000;
constexpr std::size_t kMaxNameLength = 200;

std::vector<std::string_view> split_words(std::string_view line) {
  std::vector<std::string_view> out;
  while (!line.empty()) {
    const auto space = line.find(' ');
    if (space != 0) out.push_back(line.substr(0, space));
    if (space == std::string_view::npos) break;
    line.remove_prefix(space + 1);
  }
  return out;
}

}  // namespace

std::optional<AdminCommand> parse_admin_command(std::string_view line, std::string& why) {
  const auto tokens = split_words(line);
  if (tokens.size() == 1 && tokens[0] == "status") return AdminCommand{};
  if (tokens.size() == 2 && tokens[0] == "fleet" && tokens[1] == "status")
    return AdminCommand{AdminCommand::Kind::kFleetStatus, "", 0};
  if (tokens.size() != 4 || tokens[0] != "level" || tokens[1] != "set") {
    why = "status, fleet status, or level set NAME SECONDS, is wanted";
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const auto [end, error] = std::from_chars(tokens[3].data(), tokens[3].data() + tokens[3].size(), seconds);
  if (error != std::errc() || end != tokens[3].data() + tokens[3].size() || seconds < 1 ||
      seconds > kMaxLevelOverride / kSecond) {
    why = "the seconds must be a whole number from 1 to 86400";
    return std::nullopt;
  }
  if (tokens[2].size() > kMaxNameLength) {
    why = "the name is too long";
    return std::nullopt;
  }
  return AdminCommand{AdminCommand::Kind::kLevelSet, std::string(tokens[2]), seconds * kSecond};
}

std::string format_admin_command(const AdminCommand& command) {
  if (command.kind == AdminCommand::Kind::kStatus) return "status\n";
  if (command.kind == AdminCommand::Kind::kFleetStatus) return "fleet status\n";
  return "level set " + command.level + " " + std::to_string(command.hold / kSecond) + "\n";
}

}  // namespace orchidgw::admin
