// The simulator's wire, as JSON lines: typed reading of one event's values, and writing of the reply's
// actions.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string>
#include <vector>

#include "config/json_fields.h"
#include "decision/decision.h"

namespace orchidgw::sim {

using WireError = config::FieldError;

// Reads the values of one event by position. Throws WireError with `name` in its text if a value is missing
// or of another type; the `_or` functions return the fallback for a missing value.
class EventReader {
 public:
  explicit EventReader(const rapidjson::Value& message) : message_(message) {}
  bool absent(rapidjson::SizeType index) const;
  std::string text(rapidjson::SizeType index, const char* name) const;
  std::string text_or_empty(rapidjson::SizeType index, const char* name) const;
  std::int64_t integer(rapidjson::SizeType index, const char* name) const;
  std::int64_t integer_or(rapidjson::SizeType index, const char* name, std::int64_t fallback) const;
  QueryId query(rapidjson::SizeType index, const char* name) const;
  double number(rapidjson::SizeType index, const char* name) const;
  double number_or(rapidjson::SizeType index, const char* name, double fallback) const;
  bool flag(rapidjson::SizeType index, const char* name) const;
  bool flag_or(rapidjson::SizeType index, const char* name, bool fallback) const;
  LoadReport report(rapidjson::SizeType index, const char* name) const;
  const rapidjson::Value& object(rapidjson::SizeType index, const char* name) const;
  const rapidjson::Value& array(rapidjson::SizeType index, const char* name) const;

 private:
  const rapidjson::Value& at(rapidjson::SizeType index, const char* name) const;
  const rapidjson::Value& message_;
};

// These readers throw WireError if the input is malformed.
std::vector<EngineEntry> read_entries(const rapidjson::Value& list);
OutcomeKind read_outcome_kind(std::int64_t code);

std::string to_base64(const std::string& bytes);
std::string from_base64(const std::string& text);

// Writes one reply. Each action is written for the instance that begin_instance() named last.
class ReplyWriter final : public ActionSink {
 public:
  ReplyWriter();
  void begin_instance(const std::string& name) { instance_ = name; }
  void instance_failed(const std::string& why);  // the instance failed and is gone
  std::string finish();  // the reply as one JSON line, without its line end; call once

  void send(QueryId query, const EngineId& engine, TimeUs stop_at) override;
  void refuse(QueryId query, TimeUs retry_after) override;
  void fail(QueryId query) override;
  void cancel(QueryId query, int attempt) override;
  void set_priority_and_grant(QueryId query, int priority, double grant_mb) override;
  void probe(const EngineId& engine) override;
  void subscribe() override;
  void fetch_list() override;
  void broadcast_to_peers(const std::string& bytes) override;
  void set_timer(TimeUs delay, std::uint64_t token) override;
  void log(const std::string& text) override;

 private:
  void begin_action(const char* action);
  void text(const std::string& value);
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
  std::string instance_;
};

}  // namespace orchidgw::sim
