#include "core/table_group.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <string>
#include <vector>

namespace orchidgw::core {
namespace {

constexpr std::size_t kDigitsMost = 15;

struct Token {
  std::string text;  // an identifier in lower case, or one character
  bool identifier = false;
};

bool starts_identifier(char c) { return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_'; }

bool goes_on(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '$'; }

// Past a quoted stretch that opens at `at`; a doubled quote stands for itself.
std::size_t past_quoted(std::string_view s, std::size_t at, bool backslash_escapes) {
  const char quote = s[at];
  for (std::size_t i = at + 1; i < s.size(); ++i) {
    if (backslash_escapes && s[i] == '\\') {
      ++i;
      continue;
    }
    if (s[i] != quote) continue;
    if (i + 1 >= s.size() || s[i + 1] != quote) return i + 1;
    ++i;
  }
  return s.size();
}

std::size_t past_block_comment(std::string_view s, std::size_t at) {
  const auto end = s.find("*/", at + 2);
  return end == std::string_view::npos ? s.size() : end + 2;
}

std::string lower(std::string_view s) {
  std::string out(s);
  for (char& c : out) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

std::vector<Token> tokens_of(std::string_view s) {
  std::vector<Token> out;
  std::size_t i = 0;
  while (i < s.size()) {
    const char c = s[i];
    if (std::isspace(static_cast<unsigned char>(c)) != 0) {
      ++i;
    } else if (s.substr(i, 2) == "--") {
      const auto end = s.find('\n', i);
      i = end == std::string_view::npos ? s.size() : end + 1;
    } else if (s.substr(i, 2) == "/*") {
      i = past_block_comment(s, i);
    } else if (c == '\'') {
      i = past_quoted(s, i, false);
      out.push_back({"'", false});
    } else if (c == '"' || c == '`') {
      const auto end = past_quoted(s, i, false);
      const auto length = end - i >= 2 ? end - i - 2 : 0;
      out.push_back({lower(s.substr(i + 1, length)), true});
      i = end;
    } else if ((c == 'e' || c == 'E') && s.substr(i + 1, 1) == "'") {
      i = past_quoted(s, i + 1, true);
      out.push_back({"'", false});
    } else if (starts_identifier(c)) {
      std::size_t end = i;
      while (end < s.size() && goes_on(s[end])) ++end;
      out.push_back({lower(s.substr(i, end - i)), true});
      i = end;
    } else if (std::isdigit(static_cast<unsigned char>(c)) != 0) {
      std::size_t end = i;
      while (end < s.size() && (goes_on(s[end]) || s[end] == '.')) ++end;
      out.push_back({"0", false});
      i = end;
    } else {
      out.push_back({std::string(1, c), false});
      ++i;
    }
  }
  return out;
}

// The number behind the last underscore of a schema's name.
std::optional<std::int64_t> number_behind_underscore(const std::string& name) {
  const auto at = name.rfind('_');
  if (at == std::string::npos || at + 1 >= name.size()) return std::nullopt;
  const std::string digits = name.substr(at + 1);
  if (digits.size() > kDigitsMost) return std::nullopt;
  if (digits.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  return std::stoll(digits);
}

bool opens_table_list(const std::string& word) {
  return word == "from" || word == "join" || word == "into" || word == "update" || word == "table" ||
         word == "using" || word == "only" || word == "overwrite";
}

bool is(const std::vector<Token>& t, std::size_t i, const char* text, bool identifier) {
  return i < t.size() && t[i].identifier == identifier && t[i].text == text;
}

// What a table list may hold behind a table before its next comma: an alias, with or without `as`.
std::size_t past_alias(const std::vector<Token>& t, std::size_t i) {
  if (is(t, i, "as", true)) ++i;
  if (i < t.size() && t[i].identifier) ++i;
  return i;
}

// The schemas that stand where a table stands, in order, and the names that are aliases of tables.
struct TableList {
  std::vector<std::string> schemas;
  std::string first_table;  // outside `staging`
  std::vector<std::string> aliases;
};

void read_table_list(const std::vector<Token>& t, std::size_t at, TableList& list) {
  while (at < t.size() && t[at].identifier) {
    const std::size_t first = at;
    if (is(t, at + 1, ".", false)) {
      list.schemas.push_back(t[at].text);
      at += 2;
    }
    if (list.first_table.empty() && t[first].text != "staging" && at < t.size() && t[at].identifier)
      list.first_table = at == first ? t[at].text : t[first].text + "." + t[at].text;
    const auto end = past_alias(t, at + 1);
    if (end > at + 1) list.aliases.push_back(t[end - 1].text);
    at = end;
    if (!is(t, at, ",", false)) return;
    ++at;
  }
}

bool has(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Guards against aliases and columns that look like a schema ("extract(year from o_3.day)").
std::optional<std::int64_t> first_number(const std::vector<std::string>& names, const TableList& list) {
  for (const auto& name : names) {
    if (name == "staging" || has(list.aliases, name)) continue;
    if (const auto number = number_behind_underscore(name)) return number;
  }
  return std::nullopt;
}

}  // namespace

std::int64_t table_group_of(std::string_view statement) { return table_use_of(statement).group; }

TableUse table_use_of(std::string_view statement) {
  const std::vector<Token> t = tokens_of(statement);
  TableList list;
  std::vector<std::string> dotted;
  for (std::size_t i = 0; i < t.size(); ++i) {
    if (!t[i].identifier) continue;
    const bool leads = i == 0 || !is(t, i - 1, ".", false);
    if (leads && is(t, i + 1, ".", false)) dotted.push_back(t[i].text);
    if (leads && opens_table_list(t[i].text)) read_table_list(t, i + 1, list);
  }
  const auto number = first_number(list.schemas, list);
  return {number ? *number : first_number(dotted, list).value_or(0), std::move(list.first_table)};
}

}  // namespace orchidgw::core
