// Tests of framing, the strict binary protocol and the service `Front`, with libthrift as the other side.
#include <gtest/gtest.h>
#include <thrift/TApplicationException.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <random>

#include "thrift/binary.h"
#include "thrift/frame_reader.h"
#include "thrift/front.h"

namespace orchidgw::thrift {
namespace {

using apache::thrift::protocol::T_BOOL;
using apache::thrift::protocol::T_CALL;
using apache::thrift::protocol::T_EXCEPTION;
using apache::thrift::protocol::T_I32;
using apache::thrift::protocol::T_I64;
using apache::thrift::protocol::T_LIST;
using apache::thrift::protocol::T_MAP;
using apache::thrift::protocol::T_ONEWAY;
using apache::thrift::protocol::T_REPLY;
using apache::thrift::protocol::T_STOP;
using apache::thrift::protocol::T_STRING;
using apache::thrift::protocol::T_STRUCT;
using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::protocol::TMessageType;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;

using Fields = std::map<std::string, std::string>;

const Fields kValidFields = {{"service", "report"}, {"ref", "9b1f03aa5c7e2d41"}, {"allow", "1500"},
                             {"project", "acme"},   {"effort", "820.0"},         {"mem", "96"}};

// A message written by libthrift in its strict mode.
class Message {
 public:
  Message() : buffer_(std::make_shared<TMemoryBuffer>()), out_(buffer_) { out_.setStrict(true, true); }
  TBinaryProtocol& out() { return out_; }
  std::string bytes() { return buffer_->getBufferAsString(); }
  void text_map(const Fields& fields) {
    out_.writeMapBegin(T_STRING, T_STRING, static_cast<std::uint32_t>(fields.size()));
    for (const auto& [key, value] : fields) {
      out_.writeString(key);
      out_.writeString(value);
    }
    out_.writeMapEnd();
  }

 private:
  std::shared_ptr<TMemoryBuffer> buffer_;
  TBinaryProtocol out_;
};

std::string invoke(const Fields& fields, const std::string& body, std::int32_t sequence = 1) {
  Message m;
  m.out().writeMessageBegin("invoke", T_CALL, sequence);
  m.out().writeFieldBegin("fields", T_MAP, 1);
  m.text_map(fields);
  m.out().writeFieldBegin("body", T_STRING, 2);
  m.out().writeBinary(body);
  m.out().writeFieldStop();
  m.out().writeMessageEnd();
  return m.bytes();
}

Fields with(const std::string& key, const std::string& value) {
  Fields fields = kValidFields;
  fields[key] = value;
  return fields;
}

Fields without(const std::string& key) {
  Fields fields = kValidFields;
  fields.erase(key);
  return fields;
}

std::string framed(const std::string& body) {
  const auto n = static_cast<std::uint32_t>(body.size());
  std::string out;
  for (const int shift : {24, 16, 8, 0}) out += static_cast<char>(n >> shift & 0xff);
  return out + body;
}

TEST(FrameReader, GivesTheSameFramesHoweverTheBytesAreSplit) {
  const std::string stream = framed("first") + framed("x") + framed(std::string(300, 'y'));
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    FrameReader reader(1000);
    std::vector<std::string> frames;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      std::string_view bytes = std::string_view(stream).substr(at, step);
      while (!bytes.empty() && reader.feed(bytes) == FrameReader::Result::kFrame)
        frames.push_back(reader.frame());
    }
    ASSERT_EQ(frames, (std::vector<std::string>{"first", "x", std::string(300, 'y')})) << step;
    EXPECT_FALSE(reader.in_frame());
  }
}

TEST(FrameReader, KnowsThatItIsInsideAFrame) {
  FrameReader reader(100);
  const std::string whole = framed("abc");
  for (std::size_t n = 1; n < whole.size(); ++n) {
    FrameReader part(100);
    std::string_view bytes = std::string_view(whole).substr(0, n);
    EXPECT_EQ(part.feed(bytes), FrameReader::Result::kNeedMore);
    EXPECT_TRUE(part.in_frame());
  }
  EXPECT_FALSE(reader.in_frame());
}

// Guards against memory that fills with the names of tenants, which no bound counts (issue 62, a).
TEST(Front, ATenantsNameOfManyBytesIsNotKept) {
  const auto longest = read_call(invoke(with("project", std::string(256, 't')), "select 1"));
  ASSERT_TRUE(longest && longest->request);
  const auto longer = read_call(invoke(with("project", std::string(257, 't')), "select 1"));
  ASSERT_TRUE(longer);
  EXPECT_FALSE(longer->request);
  EXPECT_EQ(longer->why, "project: a shorter name is needed");
}

TEST(FrameReader, KeepsThePrefixOfADiscardedFrameAndThenReadsOn) {
  const std::string body = std::string(1000, 'a') + std::string(9000, 'b');
  const std::string length{'\0', '\0', '\x27', '\x10'};  // 10,000
  const std::string next{'\0', '\0', '\0', '\2', 'o', 'k'};
  for (const std::size_t kept : {std::size_t{4}, std::size_t{100}, std::size_t{5000}}) {
    FrameReader reader(20'000);
    const std::string all = length + body + next;
    std::string_view first = std::string_view(all).substr(0, kept);
    EXPECT_EQ(reader.feed(first), FrameReader::Result::kNeedMore);
    reader.discard_body();
    EXPECT_LE(reader.buffered_bytes(), kFramePrefixBytes);
    std::string_view rest = std::string_view(all).substr(kept);
    ASSERT_EQ(reader.feed(rest), FrameReader::Result::kFrame);
    EXPECT_TRUE(reader.body_discarded());
    EXPECT_EQ(reader.frame(), body.substr(0, kFramePrefixBytes));
    ASSERT_EQ(reader.feed(rest), FrameReader::Result::kFrame);
    EXPECT_FALSE(reader.body_discarded());
    EXPECT_EQ(reader.frame(), "ok");
  }
}

// Guards against a bound on unfinished frames that is half spare capacity, so that others pay earlier.
TEST(FrameReader, AFrameTakesNoMoreMemoryThanItsLength) {
  constexpr std::size_t kLength = 40'000;
  constexpr std::size_t kPieceBytes = 700;
  FrameReader reader(kLength);
  const std::string whole = framed(std::string(kLength, 'x'));
  for (std::size_t at = 0; at + kPieceBytes < whole.size(); at += kPieceBytes) {
    std::string_view piece = std::string_view(whole).substr(at, kPieceBytes);
    ASSERT_EQ(reader.feed(piece), FrameReader::Result::kNeedMore);
    EXPECT_LE(reader.buffered_bytes(), kLength);
    EXPECT_LE(reader.buffered_bytes(), 2 * (at + kPieceBytes));
  }
}

TEST(FrameReader, RefusesWhatIsTooLargeNegativeOrEmpty) {
  for (const std::string& head : {std::string("\x00\x00\x00\x65", 4), std::string("\xff\xff\xff\xff", 4),
                                  std::string("\x80\x00\x00\x00", 4), std::string("\x00\x00\x00\x00", 4)}) {
    FrameReader reader(100);
    std::string_view bytes = head;
    EXPECT_EQ(reader.feed(bytes), FrameReader::Result::kBroken);
  }
}

TEST(Front, ReadsARequestThatLibthriftWrote) {
  const auto call = read_call(invoke(kValidFields, "select 1", 9));
  ASSERT_TRUE(call && call->request);
  EXPECT_EQ(call->kind, FrontCall::Kind::kInvoke);
  EXPECT_EQ(call->sequence, 9);
  EXPECT_EQ(call->request->class_name, "report");
  EXPECT_EQ(call->request->reference, "9b1f03aa5c7e2d41");
  EXPECT_EQ(call->request->time_budget, 1'500'000);
  EXPECT_EQ(call->request->tenant, "acme");
  EXPECT_EQ(call->request->cost_estimate, 820'000);
  EXPECT_EQ(call->request->memory_mb, 96);
  EXPECT_EQ(call->request->statement, "select 1");
  EXPECT_FALSE(call->request->is_retry);
  EXPECT_TRUE(call->request->idempotency_key.empty());
}

TEST(Front, ReadsRetriesKeysAndAbsentEstimates) {
  Fields fields = with("replay", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
  fields["dup"] = "1";
  fields.erase("effort");
  fields.erase("mem");
  fields["unknown"] = "x";
  const auto call = read_call(invoke(fields, "s"));
  ASSERT_TRUE(call && call->request);
  EXPECT_TRUE(call->request->is_retry);
  EXPECT_EQ(call->request->idempotency_key, "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
  EXPECT_EQ(call->request->cost_estimate, 0);
  EXPECT_EQ(call->request->memory_mb, 0);
}

TEST(Front, SaysWhatIsWrongWithARequestThatCannotBeUsed) {
  const std::vector<std::pair<Fields, std::string>> bad = {{without("ref"), "ref"},
                                                           {with("ref", "123"), "ref"},
                                                           {with("ref", "zzzzzzzzzzzzzzzz"), "ref"},
                                                           {without("service"), "service"},
                                                           {without("allow"), "allow"},
                                                           {with("allow", "soon"), "allow"},
                                                           {with("allow", "0"), "allow"},
                                                           {with("allow", "-5"), "allow"},
                                                           {with("allow", "nan"), "allow"},
                                                           {with("allow", "1e300"), "allow"},
                                                           {with("effort", "much"), "effort"},
                                                           {with("effort", "-1"), "effort"},
                                                           {with("mem", "inf"), "mem"},
                                                           {with("allow", "15 "), "allow"},
                                                           {with("replay", "a\r\nX: 1"), "replay"},
                                                           {with("replay", "two words"), "replay"},
                                                           {with("replay", "\xc3\xa5"), "replay"},
                                                           {with("replay", std::string(300, 'a')), "replay"}};
  for (const auto& [fields, word] : bad) {
    const auto call = read_call(invoke(fields, "s", 4));
    ASSERT_TRUE(call.has_value());
    EXPECT_FALSE(call->request.has_value());
    EXPECT_EQ(call->sequence, 4);
    EXPECT_EQ(call->why.rfind(word, 0), 0U) << call->why;
  }
}

TEST(Front, ReadsAbortAndPing) {
  Message abort;
  abort.out().writeMessageBegin("abort", T_ONEWAY, 5);
  abort.out().writeFieldBegin("seqid", T_I32, 1);
  abort.out().writeI32(3);
  abort.out().writeFieldStop();
  const auto one = read_call(abort.bytes());
  ASSERT_TRUE(one.has_value());
  EXPECT_EQ(one->kind, FrontCall::Kind::kAbort);
  EXPECT_EQ(one->aborted_sequence, 3);
  EXPECT_FALSE(one->wants_answer);
  Message ping;
  ping.out().writeMessageBegin("ping", T_CALL, 6);
  ping.out().writeFieldBegin("unused", T_BOOL, 1);
  ping.out().writeBool(true);
  ping.out().writeFieldStop();
  const auto other = read_call(ping.bytes());
  ASSERT_TRUE(other.has_value());
  EXPECT_EQ(other->kind, FrontCall::Kind::kPing);
  EXPECT_EQ(other->sequence, 6);
}

TEST(Front, SkipsFieldsThatItDoesNotKnow) {
  Message m;
  m.out().writeMessageBegin("invoke", T_CALL, 2);
  m.out().writeFieldBegin("later", T_LIST, 9);
  m.out().writeListBegin(T_STRUCT, 2);
  for (int i = 0; i < 2; ++i) {
    m.out().writeFieldBegin("n", T_I64, 1);
    m.out().writeI64(i);
    m.out().writeFieldBegin("m", T_MAP, 2);
    m.text_map({{"a", "b"}});
    m.out().writeFieldStop();
  }
  m.out().writeFieldBegin("fields", T_MAP, 1);
  m.text_map(kValidFields);
  m.out().writeFieldStop();
  const auto call = read_call(m.bytes());
  ASSERT_TRUE(call.has_value());
  EXPECT_TRUE(call->request.has_value());
}

TEST(Front, AnUnknownMethodIsNamed) {
  Message m;
  m.out().writeMessageBegin("explode", T_CALL, 2);
  m.out().writeFieldStop();
  const auto call = read_call(m.bytes());
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->kind, FrontCall::Kind::kUnknown);
  EXPECT_EQ(call->name, "explode");
}

TEST(Front, RefusesOtherVersionsAndRepliesAsCalls) {
  std::string bytes = invoke(kValidFields, "s");
  bytes[1] = 2;
  EXPECT_FALSE(read_call(bytes).has_value());
  Message old;
  old.out().setStrict(false, false);
  old.out().writeMessageBegin("invoke", T_CALL, 1);
  old.out().writeFieldStop();
  EXPECT_FALSE(read_call(old.bytes()).has_value());
  Message reply;
  reply.out().writeMessageBegin("invoke", T_REPLY, 1);
  reply.out().writeFieldStop();
  EXPECT_FALSE(read_call(reply.bytes()).has_value());
}

TEST(Front, EveryTruncationIsRefused) {
  const std::string whole = invoke(kValidFields, "select 1");
  for (std::size_t n = 0; n < whole.size(); ++n)
    EXPECT_FALSE(read_call(std::string_view(whole).substr(0, n)).has_value()) << n;
}

TEST(Front, MutatedInputDoesNoHarm) {
  const std::string whole = invoke(kValidFields, "select 1");
  std::mt19937 random(20261201);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = whole;
    const int changes = 1 + static_cast<int>(random() % 4);
    for (int i = 0; i < changes; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    const auto call = read_call(bytes);
    const bool usable = call && call->request;
    EXPECT_FALSE(usable && call->request->time_budget <= 0);
  }
}

TEST(Front, EndlessContainersAndDeepStructuresAreRefused) {
  Writer w;
  w.message(MessageType::kCall, "ping", 1);
  w.field(FieldType::kList, 1);
  w.u8(static_cast<std::uint8_t>(FieldType::kStruct));
  w.u32(0x7fffffff);
  EXPECT_FALSE(read_call(w.text()).has_value());
  Writer deep;
  deep.message(MessageType::kCall, "ping", 1);
  for (int i = 0; i < 1000; ++i) deep.field(FieldType::kStruct, 1);
  EXPECT_FALSE(read_call(deep.text()).has_value());
}

// Decodes an answer of ours with libthrift.
class Answer {
 public:
  explicit Answer(const std::string& frame) {
    const std::string body = frame.substr(4);
    EXPECT_EQ(framed(body), frame);
    buffer_ = std::make_shared<TMemoryBuffer>();
    buffer_->write(reinterpret_cast<const std::uint8_t*>(body.data()),
                   static_cast<std::uint32_t>(body.size()));
    in_ = std::make_unique<TBinaryProtocol>(buffer_);
    in_->setStrict(true, true);
    in_->readMessageBegin(name, type, sequence);
  }
  std::pair<TType, std::int16_t> field() {
    std::string unused;
    TType field_type = T_STOP;
    std::int16_t id = 0;
    in_->readFieldBegin(unused, field_type, id);
    return {field_type, id};
  }
  Fields text_map() {
    TType key = T_STOP;
    TType value = T_STOP;
    std::uint32_t count = 0;
    in_->readMapBegin(key, value, count);
    Fields out;
    for (std::uint32_t i = 0; i < count; ++i) {
      const std::string k = text();
      out[k] = text();
    }
    return out;
  }
  std::string text() {
    std::string out;
    in_->readBinary(out);
    return out;
  }
  bool flag() {
    bool out = false;
    in_->readBool(out);
    return out;
  }
  TBinaryProtocol& in() { return *in_; }
  std::uint32_t left() { return buffer_->available_read(); }

  std::string name;
  TMessageType type = T_CALL;
  std::int32_t sequence = 0;

 private:
  std::shared_ptr<TMemoryBuffer> buffer_;
  std::unique_ptr<TBinaryProtocol> in_;
};

using Field = std::pair<TType, std::int16_t>;

TEST(Front, LibthriftReadsAServedAnswer) {
  const std::string rows = "a\tb\tc\n";
  Answer answer(served_head(7, rows.size()) + rows + served_tail());
  EXPECT_EQ(answer.name, "invoke");
  EXPECT_EQ(answer.type, T_REPLY);
  EXPECT_EQ(answer.sequence, 7);
  EXPECT_EQ(answer.field(), Field(T_STRUCT, 0));
  EXPECT_EQ(answer.field(), Field(T_STRING, 1));
  EXPECT_EQ(answer.text(), rows);
  EXPECT_EQ(answer.field(), Field(T_MAP, 2));
  EXPECT_TRUE(answer.text_map().empty());
  EXPECT_EQ(answer.field(), Field(T_BOOL, 3));
  EXPECT_TRUE(answer.flag());
  EXPECT_EQ(answer.field().first, T_STOP);
  EXPECT_EQ(answer.field().first, T_STOP);
  EXPECT_EQ(answer.left(), 0U);
}

TEST(Front, LibthriftReadsARefusalWithItsCooldown) {
  Answer answer(refused(3, 250));
  EXPECT_EQ(answer.sequence, 3);
  EXPECT_EQ(answer.field(), Field(T_STRUCT, 1));
  EXPECT_EQ(answer.field(), Field(T_MAP, 1));
  EXPECT_EQ(answer.text_map(), (Fields{{"cooldown", "250"}}));
  EXPECT_EQ(answer.field().first, T_STOP);
  EXPECT_EQ(answer.field().first, T_STOP);
  EXPECT_EQ(answer.left(), 0U);
  Answer plain(refused(3, 0));
  plain.field();
  plain.field();
  EXPECT_TRUE(plain.text_map().empty());
}

TEST(Front, LibthriftReadsAFailure) {
  Answer answer(failed(4, "unknown class"));
  EXPECT_EQ(answer.field(), Field(T_STRUCT, 2));
  EXPECT_EQ(answer.field(), Field(T_MAP, 1));
  EXPECT_EQ(answer.text_map(), (Fields{{"reason", "unknown class"}}));
}

TEST(Front, LibthriftReadsAnApplicationException) {
  Answer answer(application_exception("explode", 5, ApplicationError::kUnknownMethod, "unknown method"));
  EXPECT_EQ(answer.type, T_EXCEPTION);
  EXPECT_EQ(answer.sequence, 5);
  apache::thrift::TApplicationException error;
  error.read(&answer.in());
  EXPECT_EQ(error.getType(), apache::thrift::TApplicationException::UNKNOWN_METHOD);
  EXPECT_STREQ(error.what(), "unknown method");
}

TEST(Front, LibthriftReadsAPong) {
  for (const bool good : {true, false}) {
    Answer answer(pong(8, good));
    EXPECT_EQ(answer.name, "ping");
    answer.field();
    answer.field();
    answer.text();
    answer.field();
    answer.text_map();
    answer.field();
    EXPECT_EQ(answer.flag(), good);
  }
}

}  // namespace
}  // namespace orchidgw::thrift
