// The codec of the messages between controllers: encoding and decoding gives the same message, and invalid
// bytes are rejected without a crash.
#include <gtest/gtest.h>

#include <random>

#include "thrift/fleet_codec.h"

namespace orchidgw::thrift {
namespace {

using namespace fleet;
using namespace budget;

std::vector<Message> samples() {
  const Terms terms{
      3, 300, 3'000'000, 10'000, {{"cpu/a", 1'000'000, 600, 50'000, 300}, {"rate/r", 5, 0, 0, 0}}};
  const LeaseRequest ask{{"c1", 1ULL << 63}, 7, 3, 6, true, {1, -2, 3}, {0, 0, 9'000'000'000}};
  const Grant grant{{"c1", 42}, 7, Grant::Kind::kSuperseded, 8, 3, 3'000'000, 12, 3, {5, 6}};
  LogMessage append{LogMessage::Kind::kAppend, 1, 2, 9, 100, 8, 99, false, true, 2, {}, "", ""};
  append.entries = {{9, 1, std::string("\0x", 2)}, {9, 3, ""}};
  LogMessage snapshot = append;
  snapshot.kind = LogMessage::Kind::kSnapshot;
  snapshot.configuration = "1 1\n2 1\n";
  snapshot.data = std::string(100'000, 's');
  return {Hello{1, "warehouse", 7, {"c1", 42}, 2, {1, 2}, {5, {4, 70}, {3, 60}}},
          ask,
          GrantReply{grant, {terms}},
          Redirect{7, 2},
          append,
          snapshot,
          promises::KeyRequest{{"c1", 42}, 9, {{5, "key k", 12'000'000}}, {{4, "reference r"}}},
          promises::KeyReply{{"c1", 42}, 9, {promises::KeyResult::kGranted, promises::KeyResult::kHeld}}};
}

std::string_view body(const std::string& framed) { return std::string_view(framed).substr(4); }

TEST(FleetCodec, EveryMessageComesBackAsItWas) {
  for (const Message& message : samples()) {
    const auto decoded = decode_fleet_message(body(encode_fleet_message(message)));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, message);
  }
}

TEST(FleetCodec, EntriesAndLedgersComeBackAsTheyWere) {
  const budget::Entry asked{{Terms{1, 2, 3, 4, {{"a", 10, 1, 1, 1}}}},
                            {{{"x", 1}, 9}},
                            {LeaseRequest{{"c", 1}, 1, 1, 0, false, {5}, {0}}}};
  const promises::KeyEntry keys{
      {3, 4}, true, {{{"c", 1}, 9, {{5, "key k", 6}, {6, "key l", 7}}, {{4, "key j"}}}}};
  const fleet::Entry entry{asked, keys};
  EXPECT_EQ(decode_entry(encode_entry(entry)), entry);
  State state;
  state.ledger.apply(asked);
  state.keys.apply(keys);
  ASSERT_EQ(state.ledger.members().size(), 1U);
  ASSERT_EQ(state.keys.holds().size(), 2U);
  EXPECT_EQ(decode_state(encode_state(state)), state);
}

TEST(FleetCodec, CutAndSpoiltBytesAreNoMessage) {
  std::mt19937_64 random(5);
  for (const Message& message : samples()) {
    const std::string encoded(body(encode_fleet_message(message)));
    for (std::size_t n = 0; n < std::min<std::size_t>(encoded.size(), 400); ++n)
      EXPECT_FALSE(decode_fleet_message(std::string_view(encoded).substr(0, n))) << n;
    EXPECT_FALSE(decode_fleet_message(encoded + "x"));
    for (int n = 0; n < 2'000; ++n) {  // may decode or not, but must return
      std::string corrupted = encoded.substr(0, 400);
      for (int i = 0; i < 3; ++i) corrupted[random() % corrupted.size()] = static_cast<char>(random());
      decode_fleet_message(corrupted);
      decode_state(corrupted);
    }
  }
}

// Guards against a count of elements that makes the decoder reserve memory for which there are no bytes.
TEST(FleetCodec, ACountBeyondTheBytesIsNoMessage) {
  std::string encoded(body(encode_fleet_message(samples()[1])));
  const auto list_header = encoded.rfind(std::string("\x0f\x00\x06\x0a", 4));
  ASSERT_NE(list_header, std::string::npos);
  encoded[list_header + 4] = 0x7f;
  EXPECT_FALSE(decode_fleet_message(encoded));
}

// Fields of a later version are skipped.
TEST(FleetCodec, UnknownFieldsAreSkipped) {
  std::string encoded(body(encode_fleet_message(Redirect{7, 2})));
  encoded.insert(encoded.size() - 1, std::string("\x0b\x00\x63\x00\x00\x00\x02hi", 9));
  EXPECT_EQ(decode_fleet_message(encoded), Message(Redirect{7, 2}));
}

}  // namespace
}  // namespace orchidgw::thrift
