#include "sim/codec.h"

#include <array>
#include <cmath>
#include <limits>

#include "config/fleet_changes.h"

namespace orchidgw::sim {
namespace {

using config::throw_field_error;
using config::to_integer;
using rapidjson::SizeType;
using rapidjson::Value;

}  // namespace

bool EventReader::absent(SizeType index) const {
  return index >= message_.Size() || message_[index].IsNull();
}

const Value& EventReader::at(SizeType index, const char* name) const {
  if (absent(index)) throw_field_error(name, "missing");
  return message_[index];
}

std::string EventReader::text(SizeType index, const char* name) const {
  const Value& value = at(index, name);
  if (!value.IsString()) throw_field_error(name, "a text is needed");
  return {value.GetString(), value.GetStringLength()};
}

std::string EventReader::text_or_empty(SizeType index, const char* name) const {
  if (absent(index) || (message_[index].IsNumber() && message_[index].GetDouble() == 0)) return "";
  return text(index, name);
}

std::int64_t EventReader::integer(SizeType index, const char* name) const {
  return to_integer(at(index, name), name);
}

std::int64_t EventReader::integer_or(SizeType index, const char* name, std::int64_t fallback) const {
  return absent(index) ? fallback : integer(index, name);
}

QueryId EventReader::query(SizeType index, const char* name) const {
  const std::int64_t value = integer(index, name);
  if (value < 0 || value > std::numeric_limits<QueryId>::max())
    throw_field_error(name, "a number below 2^32 is needed");
  return static_cast<QueryId>(value);
}

double EventReader::number(SizeType index, const char* name) const {
  const Value& value = at(index, name);
  if (!value.IsNumber()) throw_field_error(name, "a number is needed");
  return value.GetDouble();
}

double EventReader::number_or(SizeType index, const char* name, double fallback) const {
  return absent(index) ? fallback : number(index, name);
}

bool EventReader::flag(SizeType index, const char* name) const {
  const Value& value = at(index, name);
  if (!value.IsBool()) throw_field_error(name, "true or false is needed");
  return value.GetBool();
}

bool EventReader::flag_or(SizeType index, const char* name, bool fallback) const {
  return absent(index) ? fallback : flag(index, name);
}

LoadReport EventReader::report(SizeType index, const char* name) const {
  LoadReport out;
  if (absent(index)) return out;
  for (const auto& member : object(index, name).GetObject())
    if (member.value.IsNumber())
      out[{member.name.GetString(), member.name.GetStringLength()}] = member.value.GetDouble();
  return out;
}

const Value& EventReader::object(SizeType index, const char* name) const {
  const Value& value = at(index, name);
  if (!value.IsObject()) throw_field_error(name, "an object is needed");
  return value;
}

const Value& EventReader::array(SizeType index, const char* name) const {
  const Value& value = at(index, name);
  if (!value.IsArray()) throw_field_error(name, "a list is needed");
  return value;
}

std::vector<EngineEntry> read_entries(const Value& list) {
  std::vector<EngineEntry> out;
  for (const auto& item : list.GetArray()) {
    if (!item.IsArray()) throw_field_error("membersList", "a list of lists is needed");
    const EventReader fields(item);
    EngineEntry entry;
    entry.zone = fields.text_or_empty(0, "rackZone");
    entry.started_at = fields.integer_or(2, "born", 0);
    const auto state = config::parse_engine_state(fields.text(3, "phase"));
    if (!state) throw_field_error("phase", "unknown word");
    entry.state = *state;
    entry.id = fields.text(4, "executor");
    entry.kind = fields.text_or_empty(5, "machine");
    entry.cell = static_cast<int>(fields.integer_or(6, "bay", 0));
    out.push_back(std::move(entry));
  }
  return out;
}

OutcomeKind read_outcome_kind(std::int64_t code) {
  if (code < 0 || code > 7) throw_field_error("verdict", "unknown outcome");
  return static_cast<OutcomeKind>(code);
}

namespace {
constexpr char kAlphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}

std::string to_base64(const std::string& bytes) {
  std::string out;
  unsigned bits = 0;
  int bit_count = 0;
  for (const char c : bytes) {
    bits = (bits << 8 | static_cast<unsigned char>(c)) & 0xffffffU;
    for (bit_count += 8; bit_count >= 6; bit_count -= 6) out += kAlphabet[bits >> (bit_count - 6) & 63];
  }
  if (bit_count > 0) out += kAlphabet[bits << (6 - bit_count) & 63];
  while (out.size() % 4 != 0) out += '=';
  return out;
}

std::string from_base64(const std::string& text) {
  std::array<int, 256> digits{};
  digits.fill(-1);
  for (int i = 0; i < 64; ++i) digits[static_cast<unsigned char>(kAlphabet[i])] = i;
  std::string out;
  unsigned bits = 0;
  int bit_count = 0;
  for (const char c : text) {
    if (c == '=') break;
    const int digit = digits[static_cast<unsigned char>(c)];
    if (digit < 0) throw_field_error("bytes", "base64 is needed");
    bits = (bits << 6 | static_cast<unsigned>(digit)) & 0xffffffU;
    bit_count += 6;
    if (bit_count >= 8) {
      bit_count -= 8;
      out += static_cast<char>(bits >> bit_count & 255);
    }
  }
  return out;
}

ReplyWriter::ReplyWriter() {
  writer_.StartObject();
  writer_.Key("output");
  writer_.StartArray();
}

std::string ReplyWriter::finish() {
  writer_.EndArray();
  writer_.EndObject();
  return {buffer_.GetString(), buffer_.GetSize()};
}

void ReplyWriter::text(const std::string& value) {
  writer_.String(value.data(), static_cast<SizeType>(value.size()));
}

void ReplyWriter::begin_action(const char* action) {
  writer_.StartArray();
  writer_.String(action);
  text(instance_);
}

void ReplyWriter::instance_failed(const std::string& why) {
  begin_action("BAIL_OUT");
  text(why);
  writer_.EndArray();
}

void ReplyWriter::send(QueryId query, const EngineId& engine, TimeUs stop_at) {
  begin_action("DISPATCH");
  writer_.Uint(query);
  writer_.Int64(stop_at);
  text(engine);
  writer_.EndArray();
}

void ReplyWriter::refuse(QueryId query, TimeUs retry_after) {
  begin_action("PUSH_BACK");
  writer_.Uint(query);
  writer_.Int64(retry_after);
  writer_.EndArray();
}

void ReplyWriter::fail(QueryId query) {
  begin_action("ERROR");
  writer_.Uint(query);
  writer_.EndArray();
}

void ReplyWriter::cancel(QueryId query, int attempt) {
  begin_action("REVOKE");
  writer_.Uint(query);
  writer_.Int(attempt);
  writer_.EndArray();
}

void ReplyWriter::set_priority_and_grant(QueryId query, int priority, double grant_mb) {
  begin_action("LIMITS_FOR");
  writer_.Uint(query);
  writer_.Int(priority);
  writer_.Double(grant_mb);
  writer_.EndArray();
}

void ReplyWriter::probe(const EngineId& engine) {
  begin_action("SOUND_OUT");
  text(engine);
  writer_.EndArray();
}

void ReplyWriter::subscribe() {
  begin_action("LISTEN");
  writer_.Bool(true);
  writer_.EndArray();
}

void ReplyWriter::fetch_list() {
  begin_action("FETCH");
  writer_.EndArray();
}

void ReplyWriter::broadcast_to_peers(const std::string& bytes) {
  begin_action("NOTIFY");
  writer_.String("all");
  text(to_base64(bytes));
  writer_.EndArray();
}

void ReplyWriter::set_timer(TimeUs delay, std::uint64_t token) {
  begin_action("ARM");
  writer_.Int64(delay);
  writer_.Uint64(token);
  writer_.EndArray();
}

void ReplyWriter::log(const std::string& message) {
  begin_action("PRINT");
  text(message);
  writer_.EndArray();
}

}  // namespace orchidgw::sim
