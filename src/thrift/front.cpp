#include "thrift/front.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "core/parse_number.h"
#include "thrift/binary.h"

namespace orchidgw::thrift {
namespace {

using TextMap = std::map<std::string, std::string, std::less<>>;

constexpr std::size_t kReferenceDigits = 16;
constexpr std::size_t kMaxHeaderValueBytes = 256;
constexpr std::int64_t kUsPerMs = 1000;
constexpr double kMaxTimeBudgetMs = 24.0 * 3600 * 1000;
constexpr double kMaxEstimate = 1e12;

constexpr std::uint16_t kFieldsId = 1;
constexpr std::uint16_t kBodyId = 2;
constexpr std::uint16_t kAbortId = 1;

bool is_reference(const std::string& text) {
  return text.size() == kReferenceDigits &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

// Whether a text can be passed on as a header value: short and of visible ASCII characters, so that engines
// can parse the head of the request.
bool is_header_value(const std::string& text) {
  return text.size() <= kMaxHeaderValueBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

std::string value_in(const TextMap& fields, std::string_view key) {
  const auto it = fields.find(key);
  return it == fields.end() ? std::string() : it->second;
}

// The number in a field, 0 if the field is absent or empty; nullopt if it is not a number from 0 to the
// maximum.
std::optional<double> number_or_zero(const TextMap& fields, std::string_view key) {
  const std::string text = value_in(fields, key);
  if (text.empty()) return 0.0;
  const auto value = core::parse_finite_double(text);
  if (!value || *value < 0 || *value > kMaxEstimate) return std::nullopt;
  return value;
}

// Sets `call.request`, or `call.why` if the request is invalid.
void read_request(const TextMap& fields, std::string_view body, FrontCall& call) {
  const auto reject = [&](const char* why) { call.why = why; };
  core::ClientRequest request;
  request.class_name = value_in(fields, "service");
  request.reference = value_in(fields, "ref");
  request.tenant = value_in(fields, "project");
  request.idempotency_key = value_in(fields, "replay");
  request.is_retry = value_in(fields, "dup") == "1";
  if (!is_reference(request.reference)) return reject("ref: 16 hex digits are needed");
  if (request.class_name.empty() || !is_header_value(request.class_name)) return reject("service: missing");
  if (request.tenant.size() > kMaxHeaderValueBytes) return reject("project: a shorter name is needed");
  if (!is_header_value(request.idempotency_key)) return reject("replay: a plain text is needed");
  const auto allow = core::parse_finite_double(value_in(fields, "allow"));
  if (!allow || *allow <= 0 || *allow > kMaxTimeBudgetMs)
    return reject("allow: milliseconds above 0 are needed");
  const auto effort = number_or_zero(fields, "effort");
  if (!effort) return reject("effort: a number is needed");
  const auto memory = number_or_zero(fields, "mem");
  if (!memory) return reject("mem: a number is needed");
  request.time_budget = static_cast<TimeUs>(std::llround(*allow * kUsPerMs));
  request.cost_estimate = static_cast<TimeUs>(std::llround(*effort * kUsPerMs));
  request.memory_mb = *memory;
  request.statement = body;
  call.request = std::move(request);
}

std::optional<TextMap> read_text_map(Reader& reader) {
  const auto key = static_cast<FieldType>(reader.u8());
  const auto value = static_cast<FieldType>(reader.u8());
  const std::uint32_t count = reader.u32();
  TextMap out;
  if (count > 0 && (key != FieldType::kString || value != FieldType::kString)) reader.fail();
  for (std::uint32_t i = 0; i < count && reader.ok(); ++i) {
    const std::string name(reader.bytes());
    out[name] = std::string(reader.bytes());
  }
  if (!reader.ok()) return std::nullopt;
  return out;
}

void read_invoke(Reader& reader, FrontCall& call) {
  TextMap fields;
  std::string_view body;
  while (reader.ok()) {
    const auto type = static_cast<FieldType>(reader.u8());
    if (type == FieldType::kStop) break;
    const std::uint16_t id = reader.u16();
    if (id == kFieldsId && type == FieldType::kMap) {
      if (auto read = read_text_map(reader)) fields = std::move(*read);
    } else if (id == kBodyId && type == FieldType::kString) {
      body = reader.bytes();
    } else {
      reader.skip(type);
    }
  }
  if (reader.ok()) read_request(fields, body, call);
}

void read_abort(Reader& reader, FrontCall& call) {
  while (reader.ok()) {
    const auto type = static_cast<FieldType>(reader.u8());
    if (type == FieldType::kStop) return;
    const std::uint16_t id = reader.u16();
    if (id == kAbortId && type == FieldType::kI32) {
      call.aborted_sequence = static_cast<std::int32_t>(reader.u32());
    } else {
      reader.skip(type);
    }
  }
}

std::string framed(const Writer& writer) {
  Writer head;
  head.u32(static_cast<std::uint32_t>(writer.text().size()));
  return head.text() + writer.text();
}

std::string exception_result(std::int32_t sequence, std::uint16_t id,
                             const std::map<std::string, std::string>& fields) {
  Writer writer;
  writer.message(MessageType::kReply, "invoke", sequence);
  writer.field(FieldType::kStruct, id);
  writer.field(FieldType::kMap, 1);
  writer.text_map(fields);
  writer.stop();
  writer.stop();
  return framed(writer);
}

// Writes the rest of a method's result after the field `body` of its `Answer`.
void end_answer(Writer& writer, bool good) {
  writer.field(FieldType::kMap, 2);
  writer.text_map({});
  writer.field(FieldType::kBool, 3);
  writer.u8(good ? 1 : 0);
  writer.stop();
  writer.stop();
}

// The name, sequence number and kind of a message.
std::optional<FrontCall> read_message_begin(Reader& reader) {
  const std::uint32_t version = reader.u32();
  if (!reader.ok() || (version & 0xffff0000U) != kVersion1) return std::nullopt;
  const auto type = static_cast<MessageType>(version & 0xffU);
  FrontCall call;
  call.name = std::string(reader.bytes());
  call.sequence = static_cast<std::int32_t>(reader.u32());
  if (!reader.ok()) return std::nullopt;
  if (type != MessageType::kCall && type != MessageType::kOneway) return std::nullopt;
  call.wants_answer = type == MessageType::kCall;
  if (call.name == "invoke") call.kind = FrontCall::Kind::kInvoke;
  if (call.name == "abort") call.kind = FrontCall::Kind::kAbort;
  if (call.name == "ping") call.kind = FrontCall::Kind::kPing;
  return call;
}

}  // namespace

std::optional<FrontCall> read_call(std::string_view frame) {
  Reader reader(frame);
  auto call = read_message_begin(reader);
  if (!call) return std::nullopt;
  if (call->kind == FrontCall::Kind::kInvoke) {
    read_invoke(reader, *call);
  } else if (call->kind == FrontCall::Kind::kAbort) {
    read_abort(reader, *call);
  } else {
    reader.skip(FieldType::kStruct);
  }
  if (!reader.ok()) return std::nullopt;
  return call;
}

std::optional<FrontCall> read_call_prefix(std::string_view prefix) {
  Reader reader(prefix);
  auto call = read_message_begin(reader);
  if (!call) return std::nullopt;
  if (call->kind == FrontCall::Kind::kAbort) read_abort(reader, *call);  // its number comes first
  call->body_discarded = call->kind == FrontCall::Kind::kInvoke;
  return call;
}

std::string served_head(std::int32_t sequence, std::size_t rows) {
  Writer writer;
  writer.message(MessageType::kReply, "invoke", sequence);
  writer.field(FieldType::kStruct, 0);
  writer.field(FieldType::kString, 1);
  writer.u32(static_cast<std::uint32_t>(rows));
  Writer head;
  head.u32(static_cast<std::uint32_t>(writer.text().size() + rows + served_tail().size()));
  return head.text() + writer.text();
}

std::string served_tail() {
  Writer writer;
  end_answer(writer, true);
  return writer.text();
}

std::string refused(std::int32_t sequence, std::int64_t cooldown_ms) {
  std::map<std::string, std::string> fields;
  if (cooldown_ms > 0) fields["cooldown"] = std::to_string(cooldown_ms);
  return exception_result(sequence, 1, fields);
}

std::string failed(std::int32_t sequence, const std::string& why) {
  std::map<std::string, std::string> fields;
  if (!why.empty()) fields["reason"] = why;
  return exception_result(sequence, 2, fields);
}

std::string pong(std::int32_t sequence, bool good) {
  Writer writer;
  writer.message(MessageType::kReply, "ping", sequence);
  writer.field(FieldType::kStruct, 0);
  writer.field(FieldType::kString, 1);
  writer.bytes("");
  end_answer(writer, good);
  return framed(writer);
}

std::string application_exception(std::string_view method, std::int32_t sequence, ApplicationError error,
                                  const std::string& why) {
  Writer writer;
  writer.message(MessageType::kException, method, sequence);
  writer.field(FieldType::kString, 1);
  writer.bytes(why);
  writer.field(FieldType::kI32, 2);
  writer.u32(static_cast<std::uint32_t>(error));
  writer.stop();
  return framed(writer);
}

}  // namespace orchidgw::thrift
