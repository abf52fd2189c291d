// Tests of the HTTP response parser with split and malformed input, and of the engines' calls and answers.
#include <Poco/Net/HTTPRequest.h>
#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "http/change_log_calls.h"
#include "http/engine_calls.h"
#include "http/response_parser.h"
#include "http/row_check.h"
#include "net/buffer_pool.h"

namespace orchidgw::http {
namespace {

using core::CallAnswer;
using core::CallKind;
using Result = ResponseParser::Result;

// What the parser made of some bytes; `remaining`: those after the response.
struct ParsedResponse {
  Result result = Result::kNeedMore;
  int status = 0;
  std::string body;
  std::string remaining;
};

// Feeds `bytes` in pieces of `step` bytes.
ParsedResponse parse_in_steps(const std::string& bytes, std::size_t step, std::size_t body_most = 6000) {
  ResponseParser parser(body_most);
  ParsedResponse out;
  for (std::size_t at = 0; at < bytes.size() && out.result == Result::kNeedMore; at += step) {
    std::string_view part = std::string_view(bytes).substr(at, step);
    while (true) {
      out.result = parser.feed(part);
      if (out.result != Result::kBody) break;
      out.body += parser.piece();
    }
    if (out.result == Result::kDone)
      out.remaining = std::string(part) + bytes.substr(std::min(at + step, bytes.size()));
  }
  out.status = parser.head().status;
  return out;
}

const std::string kOkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Pages: 2\r\nX-Cost-Ms: 812.5\r\nX-Needed-Mb: "
    "90\r\n\r\na\tb\tc\n";

TEST(ResponseParser, ReadsAnAnswerHoweverItIsSplit) {
  for (std::size_t step = 1; step <= kOkResponse.size(); ++step) {
    const ParsedResponse r = parse_in_steps(kOkResponse, step);
    ASSERT_EQ(r.result, Result::kDone) << step;
    EXPECT_EQ(r.status, 200);
    EXPECT_EQ(r.body, "a\tb\tc\n");
    EXPECT_TRUE(r.remaining.empty());
  }
}

TEST(ResponseParser, LeavesWhatComesBehindAnAnswer) {
  EXPECT_EQ(parse_in_steps(kOkResponse + "HTTP/1.1", kOkResponse.size() + 8).remaining, "HTTP/1.1");
}

TEST(ResponseParser, EveryTruncationWantsMore) {
  for (std::size_t n = 0; n < kOkResponse.size(); ++n)
    EXPECT_EQ(parse_in_steps(kOkResponse.substr(0, n), 7).result, Result::kNeedMore) << n;
}

TEST(ResponseParser, ReadsAnswersWithoutABody) {
  EXPECT_EQ(parse_in_steps("HTTP/1.1 204 No Content\r\n\r\n", 5).result, Result::kDone);
  EXPECT_EQ(parse_in_steps("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", 5).result, Result::kDone);
}

TEST(ResponseParser, AnInterimAnswerIsPassedOver) {
  const ParsedResponse r = parse_in_steps("HTTP/1.1 100 Continue\r\n\r\n" + kOkResponse, 9);
  EXPECT_EQ(r.result, Result::kDone);
  EXPECT_EQ(r.status, 200);
}

TEST(ResponseParser, RefusesWhatBreaksTheProtocolOrItsBounds) {
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> bad = {
      "garbage that is no status line\r\n",
      "HTTP/2.0 200 OK\r\n",
      "HTTP/1.1 2x0 OK\r\n",
      "HTTP/1.1 099 OK\r\n",
      "HTTP/1.1 200 OK\n",
      line + "\r\n",                      // no length
      line + "Content-Length: 6001\r\n",  // too long a body
      line + "Content-Length: -1\r\n",
      line + "Content-Length: 4x\r\n",
      line + "Content-Length: \r\n",
      line + "Content-Length: 99999999999999999999999\r\n",
      line + "Content-Length: 4\r\nContent-Length: 5\r\n",
      line + "Transfer-Encoding: chunked\r\n",
      line + "no colon\r\n",
      line + "bad name : x\r\n",
      line + ": x\r\n",
      line + "A: " + std::string(9000, 'x'),  // an endless header
      std::string(9000, 'x'),                 // an endless line
  };
  for (const auto& bytes : bad) {
    for (const std::size_t step : {std::size_t{1}, std::size_t{16}, bytes.size()})
      EXPECT_EQ(parse_in_steps(bytes, step).result, Result::kBroken) << bytes.substr(0, 60);
  }
  std::string many = line;
  for (int i = 0; i < 70; ++i) many.append("H").append(std::to_string(i)).append(": x\r\n");
  EXPECT_EQ(parse_in_steps(many, 11).result, Result::kBroken);
}

TEST(ResponseParser, KnowsWhetherTheConnectionStays) {
  for (const auto& [head, stays] :
       std::vector<std::pair<std::string, bool>>{{"HTTP/1.1 204 x\r\n\r\n", true},
                                                 {"HTTP/1.1 204 x\r\nConnection: Close\r\n\r\n", false},
                                                 {"HTTP/1.0 204 x\r\n\r\n", false}}) {
    ResponseParser parser(10);
    std::string_view bytes = head;
    ASSERT_EQ(parser.feed(bytes), Result::kDone);
    EXPECT_EQ(parser.head().keep_alive, stays);
  }
}

TEST(ResponseParser, IsUsedAgainAfterReset) {
  ResponseParser parser(6000);
  for (int i = 0; i < 3; ++i) {
    std::string_view bytes = kOkResponse;
    while (parser.feed(bytes) == Result::kBody) {
    }
    EXPECT_EQ(parser.head().status, 200);
    EXPECT_TRUE(parser.begun());
    parser.reset();
    EXPECT_FALSE(parser.begun());
  }
}

TEST(ResponseParser, MutatedInputDoesNoHarm) {
  std::mt19937 random(4406);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = kOkResponse;
    for (int i = 0; i < 3; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    const ParsedResponse r = parse_in_steps(bytes, 1 + random() % bytes.size());
    EXPECT_LE(r.body.size(), 6000U);
  }
}

core::SendCall call_of(CallKind kind) {
  core::SendCall call;
  call.kind = kind;
  call.address = {"127.0.0.5", 7001};
  call.reference = "9b1f03aa5c7e2d41";
  call.class_name = "report";
  call.statement = "select 1";
  call.stop_at = 2'500'900;
  call.page = 3;
  return call;
}

// Parses a written request with POCO, independently of our own code.
Poco::Net::HTTPRequest parse_with_poco(const std::string& text, std::string& body) {
  std::istringstream in(text);
  Poco::Net::HTTPRequest request;
  request.read(in);
  body.assign(std::istreambuf_iterator<char>(in), {});
  return request;
}

TEST(EngineCalls, AStartCarriesTheFieldsUnchanged) {
  core::SendCall call = call_of(CallKind::kStart);
  call.idempotency_key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
  call.grant_mb = 96.7;
  call.priority = 3;
  std::string body;
  const auto request = parse_with_poco(write_call(call, 1'000'000), body);
  EXPECT_EQ(request.getMethod(), "POST");
  EXPECT_EQ(request.getURI(), "/v2/q");
  EXPECT_EQ(request.getHost(), "127.0.0.5:7001");
  EXPECT_EQ(request.get("Call-Id"), "9b1f03aa5c7e2d41");
  EXPECT_EQ(request.get("Call-Kind"), "report");
  EXPECT_EQ(request.get("Call-Ms"), "1500");
  EXPECT_EQ(request.get("Call-Once"), "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
  EXPECT_EQ(request.get("X-Memory-Mb"), "96");
  EXPECT_EQ(request.get("X-Priority"), "3");
  EXPECT_EQ(request.getContentLength(), 8);
  EXPECT_EQ(body, "select 1");
}

TEST(EngineCalls, FieldsThatSayNothingAreLeftOut) {
  std::string body;
  const auto request = parse_with_poco(write_call(call_of(CallKind::kStart), 9'000'000), body);
  EXPECT_FALSE(request.has("Call-Once"));
  EXPECT_FALSE(request.has("X-Memory-Mb"));
  EXPECT_FALSE(request.has("X-Priority"));
  EXPECT_EQ(request.get("Call-Ms"), "1");  // past its deadline: the engine reports it as expired
}

TEST(EngineCalls, TheOtherCalls) {
  std::string body;
  EXPECT_EQ(parse_with_poco(write_call(call_of(CallKind::kPoll), 0), body).getURI(),
            "/v2/q/9b1f03aa5c7e2d41/0");
  EXPECT_EQ(parse_with_poco(write_call(call_of(CallKind::kPage), 0), body).getURI(),
            "/v2/q/9b1f03aa5c7e2d41/3");
  const auto give_up = parse_with_poco(write_call(call_of(CallKind::kCancel), 0), body);
  EXPECT_EQ(give_up.getMethod(), "DELETE");
  EXPECT_EQ(give_up.getURI(), "/v2/q/9b1f03aa5c7e2d41");
  core::SendCall priority = call_of(CallKind::kPriority);
  priority.priority = 2;
  const auto put = parse_with_poco(write_call(priority, 0), body);
  EXPECT_EQ(put.getMethod(), "PUT");
  EXPECT_EQ(put.getContentLength(), 1);
  EXPECT_EQ(body, "2");
}

class Answers : public ::testing::Test {
 protected:
  std::optional<CallAnswer> answer(CallKind kind, int status,
                                   std::vector<std::pair<std::string, std::string>> headers = {},
                                   const std::string& rows = "") {
    ResponseHead head;
    head.status = status;
    head.headers = std::move(headers);
    net::BufferChain chain(pool);
    chain.append(rows);
    RowValidator check;
    check.feed(rows);
    return read_answer(kind, head, std::make_unique<net::ChainPayload>(std::move(chain)), check.valid());
  }
  metrics::Counters counters;
  net::BufferPool pool{100, counters};
};

TEST_F(Answers, AGoodEndTellsPagesCostAndMemory) {
  const auto a = answer(CallKind::kStart, 200,
                        {{"x-pages", "2"}, {"x-cost-ms", "812.5"}, {"x-needed-mb", "90"}}, "a\tb\tc\n");
  ASSERT_TRUE(a.has_value());
  EXPECT_EQ(a->kind, CallAnswer::Kind::kServed);
  EXPECT_EQ(a->pages, 2);
  EXPECT_EQ(a->reported_cost, 812'500);
  EXPECT_EQ(a->reported_memory_mb, 90);
  EXPECT_EQ(a->rows->size(), 6U);
}

TEST_F(Answers, EachStatusMeansWhatTheProtocolSays) {
  using Kind = CallAnswer::Kind;
  const std::vector<std::pair<std::string, std::string>> not_begun = {{"not-begun", "1"}};
  EXPECT_EQ(answer(CallKind::kStart, 503, not_begun)->kind, Kind::kFull);
  EXPECT_EQ(answer(CallKind::kStart, 504, not_begun)->kind, Kind::kExpired);
  EXPECT_EQ(answer(CallKind::kStart, 503)->kind, Kind::kError);
  EXPECT_EQ(answer(CallKind::kStart, 504)->kind, Kind::kError);
  EXPECT_EQ(answer(CallKind::kStart, 503, {{"not-begun", "0"}})->kind, Kind::kError);
  EXPECT_EQ(answer(CallKind::kPoll, 500)->kind, Kind::kError);
  EXPECT_EQ(answer(CallKind::kPoll, 404)->kind, Kind::kError);
  EXPECT_EQ(answer(CallKind::kPoll, 202)->kind, Kind::kPending);
  EXPECT_EQ(answer(CallKind::kCancel, 204)->kind, Kind::kDone);
  EXPECT_EQ(answer(CallKind::kPriority, 500)->kind, Kind::kDone);
  EXPECT_EQ(answer(CallKind::kPage, 200, {{"x-page", "4"}}, "a\tb\tc\n")->page, 4);
}

TEST_F(Answers, WhatCannotBeAnAnswerIsNone) {
  EXPECT_FALSE(answer(CallKind::kStart, 200, {}, "a\tb\tc\n"));  // no X-Pages
  EXPECT_FALSE(answer(CallKind::kStart, 200, {{"x-pages", "two"}}, "a\tb\tc\n"));
  EXPECT_FALSE(answer(CallKind::kStart, 200, {{"x-pages", "-1"}}, "a\tb\tc\n"));
  EXPECT_FALSE(answer(CallKind::kStart, 200, {{"x-pages", "1"}}, "half a row"));
  EXPECT_FALSE(answer(CallKind::kPage, 200, {}, "a\tb\tc\n"));  // no X-Page
  EXPECT_FALSE(answer(CallKind::kPage, 202));
  EXPECT_FALSE(answer(CallKind::kStart, 301));
}

TEST_F(Answers, FiguresThatCannotBeReadAreNotTold) {
  const auto a = answer(CallKind::kStart, 200,
                        {{"x-pages", "1"}, {"x-cost-ms", "nan"}, {"x-needed-mb", "-3"}}, "a\tb\tc\n");
  ASSERT_TRUE(a.has_value());
  EXPECT_FALSE(a->reported_cost.has_value());
  EXPECT_FALSE(a->reported_memory_mb.has_value());
}

// Guards against noise and truncated rows behind a response head that is valid.
TEST(RowValidator, TakesWholeRowsOnly) {
  const auto valid = [](const std::vector<std::string>& pieces) {
    RowValidator check;
    for (const auto& piece : pieces) check.feed(piece);
    return check.valid();
  };
  EXPECT_TRUE(valid({}));
  EXPECT_TRUE(valid({"a\tb\tc\n"}));
  EXPECT_TRUE(valid({"a\t", "\xc3\xa5\t\nd\te\tf", "\n"}));
  EXPECT_TRUE(valid({"\t\t\n"}));
  EXPECT_FALSE(valid({"a\tb\tc"}));
  EXPECT_FALSE(valid({"a\tb\n"}));
  EXPECT_FALSE(valid({"a\tb\tc\td\n"}));
  EXPECT_FALSE(valid({"a\tb\tc\n", "x\n"}));
  EXPECT_FALSE(valid({std::string("a\t\0\tc\n", 6)}));
  EXPECT_FALSE(valid({"a\tb\x7f\tc\n"}));
}

TEST(ChangeLogCalls, AsksForLaterEvents) {
  std::string body;
  const auto request = parse_with_poco(write_changes_call({"127.0.0.2", 9092}, 41, 500'000), body);
  EXPECT_EQ(request.getURI(), "/changes?since=41&timeout=500");
  EXPECT_EQ(request.getHost(), "127.0.0.2:9092");
}

}  // namespace
}  // namespace orchidgw::http
