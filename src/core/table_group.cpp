#include "core/table_group.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <string>
#include <vector>

namespace orchidgw::core {
namespace {

constexpr std::size_t kMaxGroupDigits = 15;

struct Token {
  std::string text;  // an identifier in lower case, or one character
  bool identifier = false;
};

bool starts_identifier(char c) { return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_'; }

bool continues_identifier(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '$';
}

// The position behind the quoted text that opens at `begin`; a doubled quote stands for one quote in it. The
// statement's end if the quote is not closed.
std::size_t skip_quoted(std::string_view statement, std::size_t begin, bool backslash_escapes) {
  const char quote = statement[begin];
  for (std::size_t i = begin + 1; i < statement.size(); ++i) {
    if (backslash_escapes && statement[i] == '\\') {
      ++i;
      continue;
    }
    if (statement[i] != quote) continue;
    if (i + 1 >= statement.size() || statement[i + 1] != quote) return i + 1;
    ++i;
  }
  return statement.size();
}

// The position behind the block comment that opens at `begin`, or the statement's end.
std::size_t skip_block_comment(std::string_view statement, std::size_t begin) {
  const auto end = statement.find("*/", begin + 2);
  return end == std::string_view::npos ? statement.size() : end + 2;
}

std::string to_lower(std::string_view text) {
  std::string lowered(text);
  for (char& c : lowered) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lowered;
}

std::vector<Token> tokenize(std::string_view statement) {
  std::vector<Token> tokens;
  std::size_t position = 0;
  while (position < statement.size()) {
    const char first = statement[position];
    if (std::isspace(static_cast<unsigned char>(first)) != 0) {
      ++position;
    } else if (statement.substr(position, 2) == "--") {
      const auto end = statement.find('\n', position);
      position = end == std::string_view::npos ? statement.size() : end + 1;
    } else if (statement.substr(position, 2) == "/*") {
      position = skip_block_comment(statement, position);
    } else if (first == '\'') {
      position = skip_quoted(statement, position, false);
      tokens.push_back({"'", false});
    } else if (first == '"' || first == '`') {
      const auto end = skip_quoted(statement, position, false);
      const auto length = end - position >= 2 ? end - position - 2 : 0;
      tokens.push_back({to_lower(statement.substr(position + 1, length)), true});
      position = end;
    } else if ((first == 'e' || first == 'E') && statement.substr(position + 1, 1) == "'") {
      position = skip_quoted(statement, position + 1, true);
      tokens.push_back({"'", false});
    } else if (starts_identifier(first)) {
      std::size_t end = position;
      while (end < statement.size() && continues_identifier(statement[end])) ++end;
      tokens.push_back({to_lower(statement.substr(position, end - position)), true});
      position = end;
    } else if (std::isdigit(static_cast<unsigned char>(first)) != 0) {
      std::size_t end = position;
      while (end < statement.size() && (continues_identifier(statement[end]) || statement[end] == '.')) ++end;
      tokens.push_back({"0", false});
      position = end;
    } else {
      tokens.push_back({std::string(1, first), false});
      ++position;
    }
  }
  return tokens;
}

// The number after the last underscore of a schema's name; nullopt if there is none.
std::optional<std::int64_t> number_after_underscore(const std::string& name) {
  const auto underscore = name.rfind('_');
  if (underscore == std::string::npos || underscore + 1 >= name.size()) return std::nullopt;
  const std::string digits = name.substr(underscore + 1);
  if (digits.size() > kMaxGroupDigits) return std::nullopt;
  if (digits.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
  return std::stoll(digits);
}

bool starts_table_list(const std::string& word) {
  return word == "from" || word == "join" || word == "into" || word == "update" || word == "table" ||
         word == "using" || word == "only" || word == "overwrite";
}

bool token_is(const std::vector<Token>& tokens, std::size_t i, const char* text, bool identifier) {
  return i < tokens.size() && tokens[i].identifier == identifier && tokens[i].text == text;
}

// The index behind the alias that a table list may give a table, with or without `as`.
std::size_t skip_alias(const std::vector<Token>& tokens, std::size_t i) {
  if (token_is(tokens, i, "as", true)) ++i;
  if (i < tokens.size() && tokens[i].identifier) ++i;
  return i;
}

// What all table lists of a statement name, in order: the schemas, the first table, and the tables' aliases.
struct TableList {
  std::vector<std::string> schemas;
  std::string first_table;  // outside `staging`
  std::vector<std::string> aliases;
};

void read_table_list(const std::vector<Token>& tokens, std::size_t position, TableList& list) {
  while (position < tokens.size() && tokens[position].identifier) {
    const std::size_t first = position;
    if (token_is(tokens, position + 1, ".", false)) {
      list.schemas.push_back(tokens[position].text);
      position += 2;
    }
    if (list.first_table.empty() && tokens[first].text != "staging" && position < tokens.size() &&
        tokens[position].identifier)
      list.first_table =
          position == first ? tokens[position].text : tokens[first].text + "." + tokens[position].text;
    const auto end = skip_alias(tokens, position + 1);
    if (end > position + 1) list.aliases.push_back(tokens[end - 1].text);
    position = end;
    if (!token_is(tokens, position, ",", false)) return;
    ++position;
  }
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// The first table group found in `names`. Aliases are left out: an alias before a column can look like a
// schema before a table, as in "extract(year from o_3.day)".
std::optional<std::int64_t> first_group(const std::vector<std::string>& names, const TableList& list) {
  for (const auto& name : names) {
    if (name == "staging" || contains(list.aliases, name)) continue;
    if (const auto group_number = number_after_underscore(name)) return group_number;
  }
  return std::nullopt;
}

}  // namespace

std::int64_t table_group_of(std::string_view statement) { return table_use_of(statement).group; }

TableUse table_use_of(std::string_view statement) {
  const std::vector<Token> tokens = tokenize(statement);
  TableList list;
  std::vector<std::string> qualifiers;
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    if (!tokens[i].identifier) continue;
    const bool starts_name = i == 0 || !token_is(tokens, i - 1, ".", false);
    if (starts_name && token_is(tokens, i + 1, ".", false)) qualifiers.push_back(tokens[i].text);
    if (starts_name && starts_table_list(tokens[i].text)) read_table_list(tokens, i + 1, list);
  }
  const auto group_number = first_group(list.schemas, list);
  return {group_number ? *group_number : first_group(qualifiers, list).value_or(0),
          std::move(list.first_table)};
}

}  // namespace orchidgw::core
