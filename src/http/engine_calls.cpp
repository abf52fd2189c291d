#include "http/engine_calls.h"

#include <algorithm>
#include <cmath>

#include "core/parse_number.h"

namespace orchidgw::http {
namespace {

using core::CallAnswer;
using core::CallKind;

constexpr TimeUs kUsPerMs = 1000;
constexpr int kMaxPages = 1000;
constexpr double kMaxReportedValue = 1e12;
constexpr const char* kPath = "/v2/q";

void header(std::string& out, const char* name, const std::string& value) {
  out += name;
  out += ": ";
  out += value;
  out += "\r\n";
}

std::string request_line(const char* method, const std::string& path, const core::Address& to) {
  std::string out = method;
  out += ' ';
  out += path;
  out += " HTTP/1.1\r\n";
  header(out, "Host", to.host + ":" + std::to_string(to.port));
  return out;
}

std::string with_body(std::string head, const std::string& body) {
  header(head, "Content-Length", std::to_string(body.size()));
  head += "\r\n";
  head += body;
  return head;
}

std::string write_start(const core::SendCall& call, TimeUs now) {
  std::string out = request_line("POST", kPath, call.address);
  header(out, "Call-Id", call.reference);
  header(out, "Call-Kind", call.class_name);
  header(out, "Call-Ms", std::to_string(std::max<TimeUs>((call.stop_at - now) / kUsPerMs, 1)));
  if (!call.idempotency_key.empty()) header(out, "Call-Once", call.idempotency_key);
  const auto grant = static_cast<std::int64_t>(std::floor(call.grant_mb));
  if (grant > 0) header(out, "X-Memory-Mb", std::to_string(grant));
  if (call.priority != 1) header(out, "X-Priority", std::to_string(call.priority));
  return with_body(out, call.statement);
}

std::optional<double> reported_value(const ResponseHead& head, std::string_view name) {
  const std::string* text = head.find(name);
  if (text == nullptr) return std::nullopt;
  const auto value = core::parse_finite_double(*text);
  if (!value || *value < 0 || *value > kMaxReportedValue) return std::nullopt;
  return value;
}

std::optional<int> page_value(const ResponseHead& head, std::string_view name) {
  const std::string* text = head.find(name);
  if (text == nullptr) return std::nullopt;
  const auto value = core::parse_integer<int>(*text);
  if (!value || *value < 0 || *value > kMaxPages) return std::nullopt;
  return value;
}

bool is_marked_not_begun(const ResponseHead& head) {
  const std::string* mark = head.find("not-begun");
  return mark != nullptr && *mark == "1";
}

std::optional<CallAnswer> read_page(const ResponseHead& head, core::PayloadPtr rows) {
  const auto number = page_value(head, "x-page");
  if (!number) return std::nullopt;
  CallAnswer answer;
  answer.kind = CallAnswer::Kind::kPage;
  answer.page = *number;
  answer.rows = std::move(rows);
  return answer;
}

std::optional<CallAnswer> read_served(const ResponseHead& head, core::PayloadPtr rows) {
  const auto pages = page_value(head, "x-pages");
  if (!pages) return std::nullopt;
  CallAnswer answer;
  answer.kind = CallAnswer::Kind::kServed;
  answer.pages = *pages;
  answer.rows = std::move(rows);
  if (const auto cost = reported_value(head, "x-cost-ms"))
    answer.reported_cost = static_cast<TimeUs>(std::llround(*cost * static_cast<double>(kUsPerMs)));
  answer.reported_memory_mb = reported_value(head, "x-needed-mb");
  return answer;
}

CallAnswer answer_of_kind(CallAnswer::Kind kind) {
  CallAnswer answer;
  answer.kind = kind;
  return answer;
}

}  // namespace

std::string write_call(const core::SendCall& call, TimeUs now) {
  const std::string query = std::string(kPath) + "/" + call.reference;
  switch (call.kind) {
    case CallKind::kStart:
      return write_start(call, now);
    case CallKind::kPoll:
      return request_line("GET", query + "/0", call.address) + "\r\n";
    case CallKind::kPage:
      return request_line("GET", query + "/" + std::to_string(call.page), call.address) + "\r\n";
    case CallKind::kPriority:
      return with_body(request_line("PUT", query, call.address), std::to_string(call.priority));
    case CallKind::kCancel:
      return request_line("DELETE", query, call.address) + "\r\n";
  }
  return {};
}

std::optional<CallAnswer> read_answer(CallKind kind, const ResponseHead& head, core::PayloadPtr rows,
                                      bool whole_rows) {
  if (kind == CallKind::kPriority || kind == CallKind::kCancel)
    return answer_of_kind(CallAnswer::Kind::kDone);
  if (head.status == 200 && !whole_rows) return std::nullopt;
  if (head.status == 200 && kind == CallKind::kPage) return read_page(head, std::move(rows));
  if (head.status == 200) return read_served(head, std::move(rows));
  if (head.status == 202 && kind != CallKind::kPage) return answer_of_kind(CallAnswer::Kind::kPending);
  if (head.status == 503 && is_marked_not_begun(head)) return answer_of_kind(CallAnswer::Kind::kFull);
  if (head.status == 504 && is_marked_not_begun(head)) return answer_of_kind(CallAnswer::Kind::kExpired);
  if (head.status >= 400) return answer_of_kind(CallAnswer::Kind::kError);
  return std::nullopt;
}

}  // namespace orchidgw::http
