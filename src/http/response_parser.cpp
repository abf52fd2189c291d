#include "http/response_parser.h"

#include <algorithm>
#include <cctype>

#include "core/parse_number.h"

namespace orchidgw::http {
namespace {

constexpr std::size_t kMaxHeadBytes = 8192;  // status line and all headers together
constexpr std::size_t kMaxHeaders = 64;

std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return out;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

}  // namespace

const std::string* ResponseHead::find(std::string_view lower_name) const {
  for (const auto& [name, value] : headers)
    if (name == lower_name) return &value;
  return nullptr;
}

void ResponseParser::reset() {
  state_ = State::kStatus;
  head_ = {};
  line_.clear();
  piece_ = {};
  head_bytes_ = 0;
  content_length_.reset();
  body_bytes_left_ = 0;
  begun_ = false;
}

ResponseParser::Result ResponseParser::fail() {
  state_ = State::kBroken;
  return Result::kBroken;
}

ResponseParser::Result ResponseParser::feed(std::string_view& bytes) {
  piece_ = {};
  begun_ = begun_ || !bytes.empty();
  while (state_ == State::kStatus || state_ == State::kHeaders) {
    std::string line;
    if (!take_line(bytes, line)) return state_ == State::kBroken ? Result::kBroken : Result::kNeedMore;
    if (state_ == State::kStatus) {
      if (!read_status(line)) return fail();
      state_ = State::kHeaders;
    } else if (!line.empty()) {
      if (!read_header(line)) return fail();
    } else if (!end_headers()) {
      return fail();
    }
  }
  if (state_ == State::kBroken) return Result::kBroken;
  if (state_ == State::kBody && !bytes.empty()) {
    const std::size_t n = std::min(body_bytes_left_, bytes.size());
    piece_ = bytes.substr(0, n);
    bytes.remove_prefix(n);
    body_bytes_left_ -= n;
    if (body_bytes_left_ == 0) state_ = State::kDone;
    return Result::kBody;
  }
  return state_ == State::kDone ? Result::kDone : Result::kNeedMore;
}

// Reads a line, without its CRLF, into `line`. Returns false if more bytes are needed, or, in state kBroken,
// if the head is too long or the line doesn't end in CRLF.
bool ResponseParser::take_line(std::string_view& bytes, std::string& line) {
  const auto end = bytes.find('\n');
  const std::size_t n = end == std::string_view::npos ? bytes.size() : end + 1;
  head_bytes_ += n;
  if (head_bytes_ > kMaxHeadBytes) {
    state_ = State::kBroken;
    return false;
  }
  line_.append(bytes.substr(0, n));
  bytes.remove_prefix(n);
  if (end == std::string_view::npos) return false;
  line_.pop_back();
  if (line_.empty() || line_.back() != '\r') {
    state_ = State::kBroken;
    return false;
  }
  line_.pop_back();
  line = std::move(line_);
  line_.clear();
  return true;
}

bool ResponseParser::read_status(const std::string& line) {
  const std::string_view text = line;
  if (text.size() < 12 || text.substr(0, 7) != "HTTP/1.") return false;
  if ((text[7] != '0' && text[7] != '1') || text[8] != ' ') return false;
  const auto status = core::parse_integer<int>(text.substr(9, 3));
  if (!status || *status < 100) return false;
  head_.status = *status;
  if (text.size() > 12 && text[12] != ' ') return false;
  head_.keep_alive = text[7] == '1';
  return true;
}

bool ResponseParser::read_header(const std::string& line) {
  const auto colon = line.find(':');
  if (colon == std::string::npos || !is_token(std::string_view(line).substr(0, colon))) return false;
  if (head_.headers.size() >= kMaxHeaders) return false;
  const std::string name = lower(std::string_view(line).substr(0, colon));
  const std::string value(trimmed(std::string_view(line).substr(colon + 1)));
  if (name == "transfer-encoding") return false;  // the body's length must be known
  if (name == "connection" && lower(value) == "close") head_.keep_alive = false;
  if (name == "content-length") {
    const auto length = core::parse_integer<std::size_t>(value);
    if (!length || *length > max_body_bytes_) return false;
    if (content_length_ && *content_length_ != *length) return false;
    content_length_ = length;
  }
  head_.headers.emplace_back(name, value);
  return true;
}

bool ResponseParser::end_headers() {
  if (head_.status < 200) {  // an interim response: the final one follows
    const bool begun = begun_;
    const std::size_t head_bytes = head_bytes_;
    reset();
    begun_ = begun;
    head_bytes_ = head_bytes;
    return true;
  }
  const bool bodiless = head_.status == 204 || head_.status == 304;
  if (!bodiless && !content_length_) return false;
  body_bytes_left_ = bodiless ? 0 : *content_length_;
  state_ = body_bytes_left_ > 0 ? State::kBody : State::kDone;
  return true;
}

}  // namespace orchidgw::http
