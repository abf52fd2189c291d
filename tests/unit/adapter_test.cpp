// The simulator's adapter (src/sim/), driven with wire lines.
#include <gtest/gtest.h>

#include <sstream>

#include "sim/host.h"

namespace orchidgw::sim {
namespace {

const std::string kSettings =
    R"({"balancers":1,"me":0,"myZone":"z","unknownKey":[1],"classes":[{"name":"short","aim":500000,)"
    R"("deadline":2000000,"effect":"idempotent","value":1}],"domain":{"dop":[1],"sizeCores":[4],)"
    R"("kindMemoryMb":[1000],"bills":true},"shapes":["k"],"policyLimits":{"maxAttempts":2,)"
    R"("retryAfter":true,"maxRetryAfter":90000},"rules":{}})";

class Adapter : public ::testing::Test {
 protected:
  std::string send_batch(const std::string& events, long time = 1000000) {
    return host.handle_line("{\"simTime\":" + std::to_string(time) + ",\"arrivals\":[" + events + "]}");
  }
  static std::string start_events(const std::string& name) {
    return "[\"UP\",\"" + name + "\",5," + kSettings + "],[\"ROSTER_CHANGE\",\"" + name +
           "\",\"Persisted\",1,0]";
  }
  static std::string list_event(const std::string& address) {
    return R"(["REGISTER",0,[["z",1,null,"in_service",")" + address + R"(","k",0]]])";
  }
  static std::string query_event(const std::string& name, long id) {
    return "[\"WORK_ITEM\",\"" + name + "\"," + std::to_string(id) +
           R"(,"t",false,3,"short",false,1500000,null,0,20000])";
  }
  std::ostringstream errors;
  Host host{errors};
};

const std::string kStartReply =
    R"({"output":[["ARM","controller_1",20000,1],["ARM","controller_1",5000000,2]]})";

TEST_F(Adapter, EmptyBatch) {
  EXPECT_EQ(send_batch(""), R"({"output":[]})");
  EXPECT_TRUE(errors.str().empty());
}

TEST_F(Adapter, StartListAndDispatch) {
  EXPECT_EQ(send_batch(list_event("10.1.2.3:7000") + "," + start_events("controller_1")), kStartReply);
  EXPECT_EQ(send_batch(query_event("controller_1", 4000000000), 1005000),
            R"({"output":[["DISPATCH","controller_1",4000000000,2505000,"10.1.2.3:7000"]]})");
  EXPECT_TRUE(errors.str().empty()) << errors.str();
}

TEST_F(Adapter, AnErrorThenAFullAnswerEndsInARefusal) {
  send_batch(list_event("10.1.2.3:7000") + "," + start_events("controller_1"));
  send_batch(query_event("controller_1", 7), 1005000);
  EXPECT_EQ(
      send_batch(R"(["DONE","controller_1",7,9000,"10.1.2.3:7000",false,0,1,0,null])", 1014000),
      R"({"output":[["ARM","controller_1",461000,3],["DISPATCH","controller_1",7,2505000,"10.1.2.3:7000"]]})");
  EXPECT_EQ(send_batch(R"(["DONE","controller_1",7,9000,"10.1.2.3:7000",false,0,2,1,{"cpu":0.5,"new":1}])",
                       1024000),
            R"({"output":[["PUSH_BACK","controller_1",7,90000]]})");
}

TEST_F(Adapter, ListNumbersResolveInEventOrderWithinABatch) {
  send_batch(list_event("10.0.0.1:1") + "," + start_events("a") + "," + list_event("10.0.0.2:1") + "," +
             start_events("b"));
  const std::string reply = send_batch(query_event("a", 1) + "," + query_event("b", 1));
  EXPECT_NE(reply.find(R"(["DISPATCH","a",1,2500000,"10.0.0.1:1"])"), std::string::npos) << reply;
  EXPECT_NE(reply.find(R"(["DISPATCH","b",1,2500000,"10.0.0.2:1"])"), std::string::npos) << reply;
}

TEST_F(Adapter, AKilledInstanceLosesAllState) {
  send_batch(list_event("10.0.0.1:1") + "," + start_events("a"));
  send_batch(query_event("a", 1));
  send_batch(R"(["DESTROY","a"])");
  EXPECT_EQ(send_batch(R"(["WAKEUP","a",1])"), R"({"output":[]})");
  EXPECT_NE(errors.str().find("unknown instance"), std::string::npos);
  send_batch(start_events("a"));
  EXPECT_EQ(send_batch(R"(["DONE","a",1,9000,"10.0.0.1:1",true,0,0,0,null])"), R"({"output":[]})");
}

TEST_F(Adapter, LateEventsOfAnEndedQueryAreHarmless) {
  send_batch(list_event("10.0.0.1:1") + "," + start_events("a"));
  send_batch(query_event("a", 1));
  const std::string done = R"(["DONE","a",1,9000,"10.0.0.1:1",true,81921,0,0,null])";
  EXPECT_EQ(send_batch(done + R"(,["HANGUP","a",1],)" + done + R"(,["PROGRESS","a",1,0.5,"10.0.0.1:1",0,1])"),
            R"({"output":[]})");
  EXPECT_TRUE(errors.str().empty()) << errors.str();
}

struct BadEvent {
  const char* event;
  const char* expected_text;
};

class BadInput : public Adapter, public ::testing::WithParamInterface<BadEvent> {};

TEST_P(BadInput, OneMessageAndNeighboursGoOn) {
  send_batch(list_event("10.0.0.1:1") + "," + start_events("a"));
  const std::string reply = send_batch(std::string(GetParam().event) + "," + query_event("a", 5));
  EXPECT_EQ(reply, R"({"output":[["DISPATCH","a",5,2500000,"10.0.0.1:1"]]})");
  const std::string error_text = errors.str();
  EXPECT_EQ(std::count(error_text.begin(), error_text.end(), '\n'), 1) << error_text;
  EXPECT_NE(error_text.find("line 2: event 1"), std::string::npos) << error_text;
  EXPECT_NE(error_text.find(GetParam().expected_text), std::string::npos) << error_text;
}

INSTANTIATE_TEST_SUITE_P(
    Each, BadInput,
    ::testing::Values(BadEvent{R"(["NONSENSE","a"])", "unknown event"},
                      BadEvent{R"(["WAKEUP","zz",1])", "'i'"}, BadEvent{R"(["WAKEUP","a","x"])", "'mark'"},
                      BadEvent{R"(["WAKEUP","a"])", "'mark'"}, BadEvent{R"(["WAKEUP",4,1])", "'i'"},
                      BadEvent{R"({"no":"list"})", "starts with a name"},
                      BadEvent{R"(["ROSTER_CHANGE","a","Complete",1,9])", "'setId'"},
                      BadEvent{R"(["ROSTER_CHANGE","a","Odd",1,0])", "'mode'"},
                      BadEvent{R"(["REGISTER",77,[]])", "'setId'"},
                      BadEvent{R"(["REGISTER",1,[["z",1,null,"odd","1.1.1.1:1","k",0]]])", "'phase'"},
                      BadEvent{R"(["WORK_ITEM","a",1,"t",false,3,"who",false,1500000,null,0,20000])",
                               "'qos'"},
                      BadEvent{R"(["WORK_ITEM","a",-1,"t",false,3,"short",false,1500000])", "'req'"},
                      BadEvent{R"(["WORK_ITEM","a",1,"t",false,3,"short",false])", "'timeBudget'"},
                      BadEvent{R"(["DONE","a",1,9000,"10.0.0.1:1",true,0,55,0,null])", "'verdict'"},
                      BadEvent{R"(["NOTE_FROM","a",1,"!!"])", "'bytes'"}));

TEST_F(Adapter, ALineThatIsNotJsonIsNamedAndAnswered) {
  EXPECT_EQ(host.handle_line("{oops"), R"({"output":[]})");
  EXPECT_EQ(errors.str(), "line 1: not a JSON object\n");
  EXPECT_EQ(host.handle_line(R"({"simTime":"x","arrivals":[]})"), R"({"output":[]})");
  EXPECT_EQ(host.handle_line(R"({"simTime":1})"), R"({"output":[]})");
}

TEST_F(Adapter, UnusableSettingsBecomeAFault) {
  EXPECT_EQ(send_batch(R"(["UP","a",1,{"classes":[]}])"),
            R"({"output":[["BAIL_OUT","a","settings: no gateways or no classes"]]})");
  EXPECT_EQ(send_batch(R"(["UP","b",1,{"classes":[{"name":"x","effect":"odd"}]}])"),
            R"({"output":[["BAIL_OUT","b","settings: field 'classes.effect': unknown word"]]})");
}

TEST(Base64, GoesThereAndBack) {
  for (const std::string& s : {std::string(""), std::string("a"), std::string("hi"), std::string("hi 7"),
                               std::string("\0\xff\x7f\x80", 4)})
    EXPECT_EQ(from_base64(to_base64(s)), s);
  EXPECT_EQ(to_base64("hi 7"), "aGkgNw==");
}

}  // namespace
}  // namespace orchidgw::sim
