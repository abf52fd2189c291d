#include "admin/admin_command.h"

#include <charconv>
#include <vector>

namespace orchidgw::admin {
namespace {

constexpr TimeUs kSecond = 1'000'000;
constexpr std::size_t kNameMost = 200;

std::vector<std::string_view> words_of(std::string_view line) {
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

std::optional<AdminCommand> parse_admin(std::string_view line, std::string& why) {
  const auto words = words_of(line);
  if (words.size() == 1 && words[0] == "status") return AdminCommand{};
  if (words.size() == 2 && words[0] == "fleet" && words[1] == "status")
    return AdminCommand{AdminCommand::Kind::kFleetStatus, "", 0};
  if (words.size() != 4 || words[0] != "level" || words[1] != "set") {
    why = "status, fleet status, or level set NAME SECONDS, is wanted";
    return std::nullopt;
  }
  std::int64_t seconds = 0;
  const auto [end, error] = std::from_chars(words[3].data(), words[3].data() + words[3].size(), seconds);
  if (error != std::errc() || end != words[3].data() + words[3].size() || seconds < 1 ||
      seconds > kLongestByHand / kSecond) {
    why = "the seconds must be a whole number from 1 to 86400";
    return std::nullopt;
  }
  if (words[2].size() > kNameMost) {
    why = "the name is too long";
    return std::nullopt;
  }
  return AdminCommand{AdminCommand::Kind::kLevelSet, std::string(words[2]), seconds * kSecond};
}

std::string write_admin(const AdminCommand& command) {
  if (command.kind == AdminCommand::Kind::kStatus) return "status\n";
  if (command.kind == AdminCommand::Kind::kFleetStatus) return "fleet status\n";
  return "level set " + command.level + " " + std::to_string(command.hold / kSecond) + "\n";
}

}  // namespace orchidgw::admin
