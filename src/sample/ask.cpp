#include "sample/ask.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <random>
#include <stdexcept>

#include "thrift/binary.h"

namespace orchidgw::sample {
namespace {

using thrift::FieldType;

constexpr std::uint32_t kMaxAnswerBytes = 64 * 1024;
constexpr int kExtraWaitMs = 1000;

std::string random_reference() {
  std::random_device device;
  constexpr char kHex[] = "0123456789abcdef";
  std::string out;
  for (int i = 0; i < 16; ++i) out += kHex[device() % 16];
  return out;
}

std::string request_frame(const Request& request) {
  std::map<std::string, std::string> fields = {{"service", request.class_name},
                                               {"ref", random_reference()},
                                               {"allow", std::to_string(request.wait_ms)},
                                               {"effort", "15.0"},
                                               {"mem", "4"}};
  if (!request.tenant.empty()) fields["project"] = request.tenant;
  if (!request.key.empty()) fields["replay"] = request.key;
  thrift::Writer body;
  body.message(thrift::MessageType::kCall, "invoke", 1);
  body.field(FieldType::kMap, 1);
  body.text_map(fields);
  body.field(FieldType::kString, 2);
  body.bytes(request.statement);
  body.stop();
  thrift::Writer framed;
  framed.bytes(body.text());  // the body behind its length: a frame
  return framed.text();
}

void receive(Poco::Net::StreamSocket& socket, char* destination, std::size_t length) {
  for (std::size_t received = 0; received < length;) {
    const int count = socket.receiveBytes(destination + received, static_cast<int>(length - received));
    if (count <= 0) throw std::runtime_error("the connection was closed without an answer");
    received += static_cast<std::size_t>(count);
  }
}

std::map<std::string, std::string> read_map(thrift::Reader& in) {
  std::map<std::string, std::string> out;
  in.u8();
  in.u8();
  for (std::uint32_t n = in.u32(); n > 0 && in.ok(); --n) {
    const std::string key(in.bytes());
    out[key] = std::string(in.bytes());
  }
  return out;
}

// Reads the struct of an answer: rows and fields, or fields alone.
void read_struct(thrift::Reader& in, Reply& reply) {
  while (in.ok()) {
    const auto type = static_cast<FieldType>(in.u8());
    if (type == FieldType::kStop) return;
    in.u16();
    if (type == FieldType::kString) {
      reply.rows = std::string(in.bytes());
    } else if (type == FieldType::kMap) {
      reply.fields = read_map(in);
    } else {
      in.skip(type);
    }
  }
}

Reply read_reply(std::string_view frame) {
  thrift::Reader in(frame);
  Reply reply;
  const std::uint32_t head = in.u32();
  in.bytes();
  in.u32();
  if ((head & 0xff) != static_cast<std::uint32_t>(thrift::MessageType::kReply)) {
    reply.fields["why"] = "the controller answered with a protocol error";
    return reply;
  }
  const auto type = static_cast<FieldType>(in.u8());
  const std::uint16_t field = in.u16();
  if (!in.ok() || type != FieldType::kStruct) throw std::runtime_error("the answer is malformed");
  reply.kind = field == 0 ? Reply::Kind::kServed : field == 1 ? Reply::Kind::kRefused : Reply::Kind::kFailed;
  read_struct(in, reply);
  if (!in.ok()) throw std::runtime_error("the answer is malformed");
  return reply;
}

}  // namespace

Reply ask(const Request& request) {
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(request.address), Poco::Timespan(2, 0));
  socket.setReceiveTimeout(Poco::Timespan((request.wait_ms + kExtraWaitMs) * 1000L));
  const std::string frame = request_frame(request);
  socket.sendBytes(frame.data(), static_cast<int>(frame.size()));
  char head[4];
  receive(socket, head, sizeof head);
  const std::uint32_t length = thrift::Reader({head, sizeof head}).u32();
  if (length > kMaxAnswerBytes) throw std::runtime_error("the answer is too long");
  std::string answer(length, '\0');
  receive(socket, answer.data(), answer.size());
  return read_reply(answer);
}

}  // namespace orchidgw::sample
