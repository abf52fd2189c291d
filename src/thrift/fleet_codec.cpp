#include "thrift/fleet_codec.h"

#include <type_traits>
#include <utility>
#include <vector>

#include "thrift/binary.h"

namespace orchidgw::thrift {
namespace {

using namespace budget;
using namespace fleet;
using namespace promises;

// The ids and fields of each structure, used for writing and reading.

struct MemberEntry {  // a member in the ledger
  MemberKey key;
  Member member;
};
struct KeyHoldEntry {  // an entry in the table of held keys
  std::string identity;
  KeyHold key_hold;
};
struct EncodedState {
  Terms terms;
  std::vector<MemberEntry> members;
  Parts level = kFullLevel;
  std::vector<KeyHoldEntry> holds;
  std::uint64_t last_number = 0;
  bool settled = false;
};

template <typename F, typename T>
void each_field(F&& f, T& t) {
  using S = std::remove_const_t<T>;
  if constexpr (std::is_same_v<S, MemberKey>) {
    f(1, t.name), f(2, t.incarnation);
  } else if constexpr (std::is_same_v<S, Allowance>) {
    f(1, t.name), f(2, t.whole), f(3, t.cut_off), f(4, t.reserve), f(5, t.least);
  } else if constexpr (std::is_same_v<S, Terms>) {
    f(1, t.revision), f(2, t.largest), f(3, t.term), f(4, t.drift_ppm), f(5, t.allowances), f(6, t.ramp);
    f(7, t.longest_key_hold);
  } else if constexpr (std::is_same_v<S, LeaseRequest>) {
    f(1, t.from), f(2, t.seq), f(3, t.revision), f(4, t.acked), f(5, t.leaving), f(6, t.demand), f(7, t.held);
  } else if constexpr (std::is_same_v<S, Grant>) {
    f(1, t.to), f(2, t.seq), f(3, t.kind), f(4, t.number), f(5, t.revision), f(6, t.term), f(7, t.live);
    f(8, t.place), f(9, t.parts), f(10, t.level), f(11, t.half_granted);
  } else if constexpr (std::is_same_v<S, Expiry>) {
    f(1, t.member), f(2, t.number);
  } else if constexpr (std::is_same_v<S, fleet::Entry>) {
    f(1, t.budget.terms), f(2, t.budget.expired), f(3, t.budget.asks), f(4, t.budget.level);
    f(5, t.keys.ended_holds), f(6, t.keys.settled), f(7, t.keys.asks);
  } else if constexpr (std::is_same_v<S, HoldRequest>) {
    f(1, t.query), f(2, t.identity), f(3, t.key_hold);
  } else if constexpr (std::is_same_v<S, HoldRelease>) {
    f(1, t.query), f(2, t.identity);
  } else if constexpr (std::is_same_v<S, KeyRequest>) {
    f(1, t.from), f(2, t.seq), f(3, t.wants), f(4, t.free);
  } else if constexpr (std::is_same_v<S, KeyReply>) {
    f(1, t.to), f(2, t.seq), f(3, t.wants);
  } else if constexpr (std::is_same_v<S, KeyHold>) {
    f(1, t.holder), f(2, t.query), f(3, t.number), f(4, t.time);
  } else if constexpr (std::is_same_v<S, KeyHoldEntry>) {
    f(1, t.identity), f(2, t.key_hold);
  } else if constexpr (std::is_same_v<S, Member>) {
    f(1, t.seq), f(2, t.number), f(3, t.acked), f(4, t.superseded), f(5, t.term), f(6, t.demand);
    f(7, t.granted), f(8, t.held), f(9, t.unacked);
  } else if constexpr (std::is_same_v<S, MemberEntry>) {
    f(1, t.key), f(2, t.member);
  } else if constexpr (std::is_same_v<S, EncodedState>) {
    f(1, t.terms), f(2, t.members), f(3, t.level), f(4, t.holds), f(5, t.last_number), f(6, t.settled);
  } else if constexpr (std::is_same_v<S, Hello>) {
    f(1, t.version), f(2, t.fleet), f(3, t.number), f(4, t.from), f(5, t.keeper), f(6, t.bootstrapped),
        f(7, t.at);
  } else if constexpr (std::is_same_v<S, LogPosition>) {
    f(1, t.term), f(2, t.index);
  } else if constexpr (std::is_same_v<S, LogProgress>) {
    f(1, t.term), f(2, t.last), f(3, t.agreed);
  } else if constexpr (std::is_same_v<S, GrantReply>) {
    f(1, t.grant), f(2, t.terms), f(3, t.keys_settled);
  } else if constexpr (std::is_same_v<S, Redirect>) {
    f(1, t.seq), f(2, t.leader);
  } else if constexpr (std::is_same_v<S, LogEntry>) {
    f(1, t.term), f(2, t.type), f(3, t.data);
  } else {
    static_assert(std::is_same_v<S, LogMessage>);
    f(1, t.kind), f(2, t.from), f(3, t.to), f(4, t.term), f(5, t.index), f(6, t.index_term), f(7, t.commit);
    f(8, t.granted), f(9, t.disrupt), f(10, t.pre_vote), f(11, t.entries), f(12, t.configuration),
        f(13, t.data);
  }
}

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};

template <typename T>
constexpr FieldType type_of() {
  if constexpr (std::is_same_v<T, bool>)
    return FieldType::kBool;
  else if constexpr (std::is_enum_v<T> || (std::is_integral_v<T> && sizeof(T) == 4))
    return FieldType::kI32;
  else if constexpr (std::is_integral_v<T>)
    return FieldType::kI64;
  else if constexpr (std::is_same_v<T, std::string>)
    return FieldType::kString;
  else if constexpr (IsVector<T>::value)
    return FieldType::kList;
  else
    return FieldType::kStruct;
}

template <typename T>
void write(Writer& writer, const T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    writer.u8(value ? 1 : 0);
  } else if constexpr (type_of<T>() == FieldType::kI32) {
    writer.u32(static_cast<std::uint32_t>(value));
  } else if constexpr (type_of<T>() == FieldType::kI64) {
    const auto bits = static_cast<std::uint64_t>(value);
    writer.u32(static_cast<std::uint32_t>(bits >> 32));
    writer.u32(static_cast<std::uint32_t>(bits));
  } else if constexpr (std::is_same_v<T, std::string>) {
    writer.bytes(value);
  } else if constexpr (IsVector<T>::value) {
    writer.u8(static_cast<std::uint8_t>(type_of<typename T::value_type>()));
    writer.u32(static_cast<std::uint32_t>(value.size()));
    for (const auto& item : value) write(writer, item);
  } else {
    each_field(
        [&writer](std::uint16_t id, const auto& field) {
          writer.field(type_of<std::remove_cvref_t<decltype(field)>>(), id);
          write(writer, field);
        },
        value);
    writer.stop();
  }
}

// The smallest encoded size of an element in bytes. Bounds the count of a list by the bytes that are left, so
// that a count can't reserve memory without the bytes for it.
template <typename T>
constexpr std::size_t min_size() {
  switch (type_of<T>()) {
    case FieldType::kI64:
      return 8;
    case FieldType::kI32:
    case FieldType::kString:
      return 4;
    default:
      return 1;
  }
}

template <typename T>
void read(Reader& reader, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    value = reader.u8() != 0;
  } else if constexpr (type_of<T>() == FieldType::kI32) {
    value = static_cast<T>(reader.u32());
  } else if constexpr (type_of<T>() == FieldType::kI64) {
    const std::uint64_t high = reader.u32();
    value = static_cast<T>(high << 32 | reader.u32());
  } else if constexpr (std::is_same_v<T, std::string>) {
    value = std::string(reader.bytes());
  } else if constexpr (IsVector<T>::value) {
    using Item = typename T::value_type;
    const bool fits = static_cast<FieldType>(reader.u8()) == type_of<Item>();
    const std::uint32_t count = reader.u32();
    if (!fits || count > reader.left() / min_size<Item>()) return reader.fail();
    for (std::uint32_t i = 0; i < count && reader.ok(); ++i) read(reader, value.emplace_back());
  } else {
    while (reader.ok()) {
      const auto type = static_cast<FieldType>(reader.u8());
      if (type == FieldType::kStop) return;
      const std::uint16_t id = reader.u16();
      bool known = false;
      each_field(
          [&](std::uint16_t one, auto& field) {
            using F = std::remove_cvref_t<decltype(field)>;
            if (one != id || known || type != type_of<F>()) return;
            known = true;
            field = F{};
            read(reader, field);
          },
          value);
      if (!known) reader.skip(type);  // a field of a later version
    }
  }
}

template <typename T>
std::optional<T> read_all(Reader& reader) {
  T value;
  read(reader, value);
  if (!reader.ok() || reader.left() > 0) return std::nullopt;
  return value;
}

constexpr const char* kMessageNames[] = {"hello", "ask", "grant", "elsewhere", "log", "keys", "keys_told"};
static_assert(std::size(kMessageNames) == std::variant_size_v<Message>);

template <std::size_t I>
std::optional<Message> read_as(std::string_view name, Reader& reader) {
  if constexpr (I == std::variant_size_v<Message>) {
    return std::nullopt;
  } else {
    if (name != kMessageNames[I]) return read_as<I + 1>(name, reader);
    auto value = read_all<std::variant_alternative_t<I, Message>>(reader);
    return value ? std::optional<Message>(std::move(*value)) : std::nullopt;
  }
}

template <typename T>
std::string bytes_of(const T& value) {
  Writer writer;
  write(writer, value);
  return writer.text();
}

// Returns false if a member's list has not one element for each of the ledger's allowances.
bool list_lengths_match(const EncodedState& state) {
  const std::size_t n = state.terms.allowances.size();
  for (const MemberEntry& m : state.members)
    if (m.member.demand.size() != n || m.member.granted.size() != n || m.member.held.size() != n ||
        m.member.unacked.size() != n)
      return false;
  return true;
}

}  // namespace

std::string encode_fleet_message(const fleet::Message& message) {
  Writer body;
  body.message(MessageType::kOneway, kMessageNames[message.index()], 0);
  std::visit([&body](const auto& value) { write(body, value); }, message);
  Writer out;
  out.bytes(body.text());
  return out.text();
}

std::optional<fleet::Message> decode_fleet_message(std::string_view frame) {
  Reader reader(frame);
  const std::uint32_t head = reader.u32();
  const std::string_view name = reader.bytes();
  reader.u32();
  if (!reader.ok() || head != (kVersion1 | static_cast<std::uint32_t>(MessageType::kOneway)))
    return std::nullopt;
  return read_as<0>(name, reader);
}

std::string encode_entry(const fleet::Entry& entry) { return bytes_of(entry); }

std::optional<fleet::Entry> decode_entry(std::string_view bytes) {
  Reader reader(bytes);
  return read_all<fleet::Entry>(reader);
}

std::string encode_state(const fleet::State& state) {
  const budget::Ledger& ledger = state.ledger;
  EncodedState out{ledger.terms(), {}, ledger.level(), {}, state.keys.last_number(), state.keys.settled()};
  for (const auto& [key, member] : ledger.members()) out.members.push_back({key, member});
  for (const auto& [identity, key_hold] : state.keys.holds()) out.holds.push_back({identity, key_hold});
  return bytes_of(out);
}

std::optional<fleet::State> decode_state(std::string_view bytes) {
  Reader reader(bytes);
  auto state = read_all<EncodedState>(reader);
  if (!state || !list_lengths_match(*state)) return std::nullopt;
  std::map<MemberKey, Member> members;
  for (MemberEntry& m : state->members) members.emplace(std::move(m.key), std::move(m.member));
  KeyTable::KeyHolds holds;
  for (KeyHoldEntry& one : state->holds) holds.emplace(std::move(one.identity), std::move(one.key_hold));
  fleet::State out;
  out.ledger.restore(std::move(state->terms), std::move(members), state->level);
  out.keys.restore(std::move(holds), state->last_number, state->settled);
  return out;
}

}  // namespace orchidgw::thrift
