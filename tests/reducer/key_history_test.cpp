// Guards against a keyed query that runs twice: a client's next try of it, a query of its own, is started
// after the time in which engines recognise a repeat (review/1).
#include "core/key_history.h"

#include "reducer_fixture.h"

namespace orchidgw::core {
namespace {

using Kind = CallAnswer::Kind;

constexpr TimeUs kWindow = 12 * kSecond;

class KeyTries : public ReducerTest {
 protected:
  KeyTries() {
    ClassSettings keyed = settings.classes[0];
    keyed.name = "keyed";
    keyed.effect = Effect::kDeduplicated;
    keyed.repeat_window = kWindow;
    keyed.latency_target = 10 * kSecond;
    keyed.deadline = 20 * kSecond;
    settings.classes.push_back(keyed);
    settings.limits.max_attempts = 1;
  }

  void try_key(RequestTag tag, const std::string& key = "a key") {
    ClientRequest client_request = valid_request(tag, "keyed", 20 * kSecond);
    client_request.idempotency_key = key;
    apply(RequestArrived{kClient, tag, client_request, ""});
  }

  // The connection ends without an answer: the first try may have run. It is refused, as its only attempt is
  // used up.
  void lose_first_try() {
    try_key(1);
    first_sent_at = now;
    end_call(last_call().call, ConnectionEnd::kResetUnanswered);
    while (answers[1].empty()) {
      if (last_call().kind != CallKind::kStart) end_call(last_call().call, ConnectionEnd::kRefused);
      if (answers[1].empty()) run_until(now + 100 * kMs);
    }
    ASSERT_EQ(answer_to(1), "refused");
    calls.clear();
  }

  void set_engines(EngineState state) {
    EnginesChanged change;
    change.engines = {engine(0, state), engine(1, state)};
    apply(std::move(change));
  }

  std::string answer_to(RequestTag tag) {
    if (answers[tag].empty()) return "";
    EXPECT_EQ(answers[tag].size(), 1U);
    return answers[tag][0].substr(0, answers[tag][0].find(' '));
  }

  std::size_t start_count() const {
    return static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [](const SendCall& call) { return call.kind == CallKind::kStart; }));
  }

  std::uint64_t violation_count() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t count : counters.violations) sum += count;
    return sum;
  }

  TimeUs first_sent_at = 0;
};

// The failure itself: the try comes within the window and waits past it for an engine.
TEST_F(KeyTries, ATryThatWaitsPastItsKeysWindowIsFailedAndNotStarted) {
  start_reducer();
  lose_first_try();
  set_engines(EngineState::kDraining);
  run_until(first_sent_at + 9 * kSecond);
  try_key(2);
  run_until(first_sent_at + kWindow - kMs);
  EXPECT_EQ(answer_to(2), "");
  run_until(first_sent_at + kWindow + kMs);
  set_engines(EngineState::kInService);
  run_until(now + kSecond);
  EXPECT_EQ(start_count(), 0U);
  EXPECT_EQ(answer_to(2), "failed");  // a refusal would say that a further try is harmless
  EXPECT_EQ(violation_count(), 0U);
}

TEST_F(KeyTries, ATryAfterItsKeysWindowIsFailedAtOnce) {
  start_reducer();
  lose_first_try();
  run_until(first_sent_at + kWindow);
  try_key(2);
  EXPECT_EQ(start_count(), 0U);
  EXPECT_EQ(answer_to(2), "failed");
}

TEST_F(KeyTries, ATryWithinItsKeysWindowIsStarted) {
  start_reducer();
  lose_first_try();
  run_until(first_sent_at + kWindow - 2 * kSecond);
  try_key(2);
  ASSERT_EQ(start_count(), 1U);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  EXPECT_EQ(answer_to(2), "served");
}

// The connection comes up too late: the start is denied at its first byte.
TEST_F(KeyTries, AStartIsDeniedAtItsFirstByteOnceTheKeysWindowIsOver) {
  start_reducer();
  lose_first_try();
  run_until(first_sent_at + kWindow - kSecond);
  try_key(2);
  ASSERT_EQ(start_count(), 1U);
  EXPECT_EQ(reducer->start_denied(first_sent_at + kWindow - 1, last_call().call), Denial::kNone);
  EXPECT_EQ(reducer->start_denied(first_sent_at + kWindow, last_call().call), Denial::kWindowOver);
  now = first_sent_at + kWindow;
  end_call(last_call().call, ConnectionEnd::kWithdrawn);
  run_until(now + kSecond);
  EXPECT_EQ(answer_to(2), "failed");
  EXPECT_EQ(violation_count(), 0U);
}

TEST_F(KeyTries, AFirstTryThatDidNotRunLeavesTheKeyFree) {
  start_reducer();
  try_key(1);
  answer(last_call().call, Kind::kFull);
  ASSERT_EQ(answer_to(1), "refused");
  EXPECT_EQ(reducer->remembered_keys(), 0U);
  calls.clear();
  run_until(now + kWindow + kSecond);
  try_key(2);
  EXPECT_EQ(start_count(), 1U);
}

// Both tries are open: the second waits while the first is started.
TEST_F(KeyTries, AStartByATryThatIsStillOpenCountsToo) {
  start_reducer();
  set_engines(EngineState::kDraining);
  try_key(1);
  set_engines(EngineState::kInService);
  ASSERT_EQ(start_count(), 1U);
  first_sent_at = now;
  answer(last_call().call, Kind::kPending);
  set_engines(EngineState::kDraining);
  run_until(first_sent_at + 5 * kSecond);
  try_key(2);
  run_until(first_sent_at + kWindow);
  set_engines(EngineState::kInService);
  run_until(now + kSecond);
  EXPECT_EQ(start_count(), 1U);
  EXPECT_EQ(answer_to(2), "failed");
}

TEST_F(KeyTries, ATryThatIsShutDownAfterItsKeysWindowIsFailed) {
  start_reducer();
  lose_first_try();
  set_engines(EngineState::kDraining);
  run_until(first_sent_at + kWindow - kSecond);
  try_key(2);
  now = first_sent_at + kWindow;
  apply(ShutdownBegun{now});
  apply(TimePassed{});
  EXPECT_EQ(answer_to(2), "failed");
  EXPECT_EQ(violation_count(), 0U);
}

// The bound: a new key is refused before anything of it is sent, and known keys are still served.
TEST_F(KeyTries, ANewKeyIsRefusedWhileNoFurtherOneCanBeRemembered) {
  ProtocolBounds bounds;
  bounds.max_remembered_keys = 2;
  reducer = std::make_unique<Reducer>(settings, 1, counters, bounds);
  EnginesChanged change;
  change.kind = ListKind::kStored;
  change.engines = {engine(0), engine(1)};
  apply(std::move(change));
  for (RequestTag tag = 1; tag <= 2; ++tag) {
    try_key(tag, "key " + std::to_string(tag));
    answer(last_call().call, Kind::kServed, "x\n", 1);
    ASSERT_EQ(answer_to(tag), "served");
  }
  const TimeUs sent_at = now;
  calls.clear();
  try_key(3, "key 3");
  EXPECT_EQ(answer_to(3), "refused");
  EXPECT_EQ(counters.refusals[static_cast<std::size_t>(Reason::kKeysFull)], 1U);
  EXPECT_EQ(start_count(), 0U);
  try_key(4, "key 2");
  EXPECT_EQ(start_count(), 1U);
  answer(last_call().call, Kind::kServed, "x\n", 1);
  run_until(sent_at + key_retention_of(settings.classes.back()));
  try_key(5, "key 5");
  EXPECT_EQ(start_count(), 2U);
  EXPECT_LE(reducer->remembered_keys(), 2U);
}

// Guards against an id that is sent to engines twice because it comes again after its client has left, under
// its own key or another (issue 62, c): engines know a repeat by its key alone, and clients give each try a
// new reference.
TEST_F(KeyTries, AReferenceThatMayHaveRunIsNotStartedAgainWhateverItsKey) {
  start_reducer();
  set_engines(EngineState::kInService);
  ClientRequest client_request = valid_request(1, "keyed", 20 * kSecond);
  client_request.idempotency_key = "key 1";
  apply(RequestArrived{kClient, 1, client_request, ""});
  ASSERT_EQ(start_count(), 1U);
  const CallId start = last_call().call;
  apply(ClientClosed{kClient});
  end_call(start, ConnectionEnd::kDropped);
  answer(last_call().call, Kind::kDone);
  ASSERT_EQ(reducer->queries(), 0U);
  RequestTag tag = 1;
  for (const char* key : {"key 2", "key 1"}) {
    client_request.idempotency_key = key;
    apply(RequestArrived{kClient + 1, ++tag, client_request, ""});
    EXPECT_EQ(answers[tag], std::vector<std::string>{"failed the reference was used before"});
  }
  EXPECT_EQ(start_count(), 1U);
  try_key(++tag, "key 1");
  EXPECT_EQ(start_count(), 2U);  // a try of its own, which the engines drop
}

// Guards against a refusal, which says that a retry is harmless, of a try whose earlier one may have run and
// whose window is over, because no further reference can be remembered.
TEST_F(KeyTries, ATryAfterTheWindowIsFailedAlsoWhereReferencesAreFull) {
  ProtocolBounds bounds;
  bounds.max_remembered_references = 1;
  start_reducer();
  reducer = std::make_unique<Reducer>(settings, 1, counters, bounds);
  set_engines(EngineState::kInService);
  lose_first_try();
  run_until(first_sent_at + kWindow + kSecond);
  try_key(2);
  EXPECT_EQ(answer_to(2), "failed");
  EXPECT_EQ(start_count(), 0U);
}

// Guards against a client that sends ever new keys, and keeps the others' keyed queries from starting.
TEST_F(KeyTries, AClientThatFillsTheRememberedKeysAlonePays) {
  constexpr ClientId kOther = kClient + 1;
  ProtocolBounds bounds;
  bounds.max_remembered_keys = 6;
  start_reducer();
  reducer = std::make_unique<Reducer>(settings, 1, counters, bounds);
  set_engines(EngineState::kInService);
  const auto served = [&](RequestTag tag, ClientId client) {
    const std::size_t before = start_count();
    ClientRequest client_request = valid_request(tag, "keyed", 20 * kSecond);
    client_request.idempotency_key = "key " + std::to_string(tag);
    apply(RequestArrived{client, tag, client_request, ""});
    if (start_count() == before) return false;
    answer(last_call().call, Kind::kServed, "x\n", 1);
    return true;
  };
  RequestTag tag = 0;
  while (served(++tag, kClient)) ASSERT_LE(tag, 6);
  EXPECT_EQ(tag, 7);
  EXPECT_EQ(answer_to(tag), "refused");
  EXPECT_TRUE(served(++tag, kOther));
  EXPECT_FALSE(served(++tag, kClient));
  EXPECT_LE(reducer->remembered_keys(), 12U);
}

TEST_F(KeyTries, AKeyIsRememberedFromItsFirstStartAlone) {
  KeyHistory history(1);
  const EngineEntry engine;
  const TimeUs retention = 50 * kSecond;
  for (QueryId query = 1; query <= 3; ++query) {
    const auto starts = history.open(query * kSecond, "key", kClient);
    ASSERT_NE(starts, nullptr);
    starts->add(query, 0, query * kSecond, engine);
    history.close(query * kSecond, "key", query, retention);
    EXPECT_EQ(starts->first_sent_at(), kSecond);
  }
  EXPECT_EQ(history.open(kSecond + retention - 1, "another", kClient), nullptr);
  EXPECT_NE(history.open(kSecond + retention, "another", kClient), nullptr);
}

}  // namespace
}  // namespace orchidgw::core
