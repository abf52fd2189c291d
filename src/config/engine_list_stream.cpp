#include "config/engine_list_stream.h"

#include <rapidjson/document.h>

#include <iterator>
#include <utility>

#include "config/json_fields.h"

namespace orchidgw::config {
namespace {

constexpr std::size_t kMaxEngineBytes = 8192;  // of one engine's text; a longer one is left out
constexpr std::size_t kMaxDepth = 64;
constexpr std::size_t kMaxKeyBytes = 32;
constexpr std::size_t kEventDepth = 2;   // in the answer's list of events
constexpr std::size_t kEngineDepth = 5;  // in an event's list of engines
constexpr std::string_view kPlaceholder = "null";

rapidjson::Document parse_json(const std::string& text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) throw_field_error("results", "JSON is needed");
  return document;
}

std::optional<std::uint64_t> number_of(const rapidjson::Value& event) {
  try {
    const std::int64_t number = integer_or(event, "seq", 0);
    if (number > 0) return static_cast<std::uint64_t>(number);
  } catch (const FieldError&) {
  }
  return std::nullopt;
}

}  // namespace

void EngineListStream::reset(std::uint64_t since) {
  *this = EngineListStream(max_text_bytes_);
  last_number_ = since;
}

void EngineListStream::feed(std::string_view bytes) {
  for (const char c : bytes) step(c);
}

std::uint64_t EngineListStream::finish() { return read_engine_list_events(parse_json(answer_text_)).last; }

std::vector<EngineListEvent> EngineListStream::take_events() {
  engines_in_events_ = 0;
  return std::exchange(events_, {});
}

std::size_t EngineListStream::take_engines_left_out() { return std::exchange(engines_left_out_, 0); }

std::size_t EngineListStream::take_events_with_bad_fields() {
  return std::exchange(events_with_bad_fields_, 0);
}

void EngineListStream::step(char c) {
  if (in_string_) return step_in_string(c);
  switch (c) {
    case '{':
      return open(Kind::kObject);
    case '[':
      return open(Kind::kArray);
    case '}':
    case ']':
      append(c);
      return close();
    case '"':
      in_string_ = true;
      string_.clear();
      break;
    case ':':
      if (!containers_.empty()) containers_.back().key = string_;
      break;
    default:
      break;
  }
  append(c);
}

void EngineListStream::step_in_string(char c) {
  append(c);
  if (escaped_) {
    escaped_ = false;
  } else if (c == '\\') {
    escaped_ = true;
  } else if (c == '"') {
    in_string_ = false;
    return;
  }
  if (string_.size() < kMaxKeyBytes) string_ += c;
}

void EngineListStream::open(Kind kind) {
  if (containers_.size() >= kMaxDepth) throw_field_error("results", "less nesting is needed");
  if (kind == Kind::kObject && at_event()) event_text_.emplace();
  if (kind == Kind::kObject && at_engine()) engine_text_.emplace();
  containers_.push_back({kind, ""});
  append(kind == Kind::kObject ? '{' : '[');
}

// Texts whose brackets don't match are found when they are parsed.
void EngineListStream::close() {
  if (containers_.empty()) throw_field_error("results", "JSON is needed");
  containers_.pop_back();
  if (engine_text_ && containers_.size() == kEngineDepth) end_engine();
  if (event_text_ && containers_.size() == kEventDepth) end_event();
}

void EngineListStream::append(char c) {
  if (engine_text_) {
    if (engine_text_->size() <= kMaxEngineBytes) *engine_text_ += c;
    return;
  }
  std::string& text = event_text_ ? *event_text_ : answer_text_;
  if (text.size() >= max_text_bytes_) throw_field_error("results", "a shorter list is needed");
  text += c;
}

bool EngineListStream::at_event() const {
  return containers_.size() == kEventDepth && containers_[0].key == "results" &&
         containers_[1].kind == Kind::kArray;
}

bool EngineListStream::at_engine() const {
  return event_text_ && containers_.size() == kEngineDepth && containers_[2].key == "fleet" &&
         containers_[3].key == "members" && containers_[4].kind == Kind::kArray;
}

void EngineListStream::end_engine() {
  const std::string text = std::move(*engine_text_);
  engine_text_.reset();
  for (const char c : kPlaceholder) append(c);
  auto engine = text.size() <= kMaxEngineBytes ? read_engine(parse_json(text)) : std::nullopt;
  if (engine) {
    engines_.push_back(std::move(*engine));
  } else {
    ++engines_left_out_;
  }
}

// Guards against an event that can't be read and is asked for again for ever, with all that come after it:
// the drains in it and after it would never be heard.
std::optional<EngineListEvent> EngineListStream::read_event(const std::string& text) {
  const rapidjson::Document event = parse_json(text);
  const auto number = number_of(event);
  last_number_ = number.value_or(last_number_ + 1);
  try {
    auto read = read_engine_list_event(event);
    if (read && number) return read;
    if (!read) return std::nullopt;
  } catch (const FieldError&) {
  }
  ++events_with_bad_fields_;
  return EngineListEvent{last_number_, false, {}};
}

void EngineListStream::end_event() {
  const std::string text = std::move(*event_text_);
  event_text_.reset();
  for (const char c : kPlaceholder) append(c);
  auto event = read_event(text);
  auto engines = std::exchange(engines_, {});
  if (!event) return;
  event->engines.insert(event->engines.end(), std::make_move_iterator(engines.begin()),
                        std::make_move_iterator(engines.end()));
  engines_in_events_ += event->engines.size();
  events_.push_back(std::move(*event));
}

}  // namespace orchidgw::config
