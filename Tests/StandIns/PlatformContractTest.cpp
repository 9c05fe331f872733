#include "Core/Common/ErrorCode.h"
#include "LogClient/HttpLogClient.h"
#include "Net/HttpClient.h"
#include "Tests/StandIns/ContractCase.h"
#include "Tests/Support/BlockingHttpClient.h"
#include "Tests/Support/ChildProcess.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

const std::string Log = "/v1/log/settings";
const std::string FromStart = "/v1/log/settings?from=0";
const std::string Entry = R"({"kind":"service","address":"127.0.0.1:9","data_center":"karratha",)"
                          R"("state":"live","incarnation":3,"service":"lift-desk"})";
const std::string LeavingEntry = R"({"kind":"service","address":"127.0.0.1:9","state":"leaving"})";

const ContractCase Cases[] = {
    {"offsets rise and reads honour from and max",
     {},
     {{"POST", Log, "a", 200, R"({"offset":0})"},
      {"POST", Log, "b", 200, R"({"offset":1})"},
      {"GET", "/v1/log/settings?from=1", "", 200,
       R"({"first":0,"next":2,"records":[{"offset":1,"body":"b"}]})"},
      {"GET", "/v1/log/settings?from=0&max=1", "", 200,
       R"("next":2,"records":[{"offset":0,"body":"a"}]})"},
      {"POST", "/v1/log/claims", "c", 200, R"({"offset":0})"},
      {"GET", "/v1/log/nothing", "", 200, R"({"first":0,"next":0,"records":[]})"}}},
    {"a read at the tail waits and gives nothing",
     {},
     {{"GET", "/v1/log/settings?from=0&wait_ms=20", "", 200, R"("records":[])"}}},
    {"records beyond the retention are gone",
     {"--retain", "2"},
     {{"POST", Log, "a"},
      {"POST", Log, "b"},
      {"POST", Log, "c", 200, R"({"offset":2})"},
      {"GET", FromStart, "", 410, R"({"first":1,"next":3})"},
      faults(R"({"retain_records":1})"),
      {"GET", "/v1/log/settings?from=1", "", 410, R"("first":2)"}}},
    {"a lost append answer leaves the record",
     {},
     {faults(R"({"lose_append_answers":1})"),
      {"POST", Log, "a", ClosedUnanswered},
      {"POST", Log, "b", 200, R"({"offset":1})"},
      {"GET", FromStart, "", 200, R"({"offset":0,"body":"a"})"}}},
    {"a duplicated append stands twice",
     {},
     {faults(R"({"duplicate_appends":1})"),
      {"POST", Log, "a", 200, R"({"offset":1})"},
      {"GET", FromStart, "", 200, R"([{"offset":0,"body":"a"},{"offset":1,"body":"a"}])"}}},
    {"a failed append leaves nothing",
     {},
     {faults(R"({"fail_appends":1})"),
      {"POST", Log, "a", 503},
      {"GET", FromStart, "", 200, R"("records":[])"}}},
    {"append faults concern the named streams",
     {},
     {faults(R"({"fail_appends":1,"lose_append_answers":1,"streams":["claims"]})"),
      {"POST", Log, "a", 200},
      {"POST", "/v1/log/claims", "c", 503},
      {"POST", "/v1/log/claims", "c", ClosedUnanswered}}},
    {"appends beyond the rate wait, and those that would wait long fail",
     {"--appends-per-second", "0.01"},
     {{"POST", Log, "a", 200}, {"POST", Log, "b", 503}}},
    {"a platform that is down closes connections",
     {},
     {faults(R"({"down":true})"),
      {"GET", "/v1/instances", "", ClosedUnanswered},
      {"POST", Log, "a", ClosedUnanswered},
      {"GET", "/healthz", "", 200},
      faults(R"({"down":false})"),
      {"GET", FromStart, "", 200, R"("records":[])"}}},
    {"a hanging platform answers once it goes on, and the append takes effect late",
     {},
     {faults(R"({"hang":true})"),
      {"POST", Log, "a", NoAnswer},
      faults(R"({"hang":false})"),
      {"GET", FromStart, "", 200, R"({"offset":0,"body":"a"})"}}},
    {"a delayed append takes effect after its sender gave up",
     {"--faults", R"({"delay_ms":300})"},
     {{"POST", Log, "a", NoAnswer}, {"GET", FromStart, "", 200, R"("body":"a")"}}},
    {"the list holds what was registered",
     {},
     {{"PUT", "/v1/instances/svc-1", Entry},
      {"GET", "/v1/instances", "", 200, R"("version":1)"},
      {"PUT", "/v1/instances/svc-1", Entry},
      {"GET", "/v1/instances", "", 200, R"("version":1,"instances":[{"id":"svc-1",)"},
      {"GET", "/v1/instances", "", 200, R"("incarnation":3,"service":"lift-desk"})"},
      {"PUT", "/v1/instances/svc-1", LeavingEntry},
      {"GET", "/v1/instances", "", 200, R"("state":"leaving")"},
      {"DELETE", "/v1/instances/svc-1", ""},
      {"DELETE", "/v1/instances/svc-1", "", 404},
      {"GET", "/v1/instances", "", 200, R"({"version":3,"instances":[]})"}}},
    {"the list lags",
     {},
     {faults(R"({"list_lag_ms":100000})"),
      {"PUT", "/v1/instances/svc-1", Entry},
      {"GET", "/v1/instances", "", 200, R"({"version":0,"instances":[]})"}}},
    {"the list goes backwards",
     {},
     {{"PUT", "/v1/instances/svc-1", Entry},
      {"PUT", "/v1/instances/svc-1", LeavingEntry},
      faults(R"({"list_backwards":true})"),
      {"GET", "/v1/instances", "", 200, R"("version":1)"},
      {"GET", "/v1/instances", "", 200, R"("version":2)"}}},
    {"the weight store is limited",
     {"--weights-per-second", "0.01"},
     {{"GET", "/v1/weights/brief/3/0-16", "", 200, "brief/3/0-16"},
      {"GET", "/v1/weights/brief/3/16-32", "", 429}}},
    {"what is no request of the protocol is refused",
     {},
     {{"PUT", "/v1/instances/svc-1", "no entry", 400},
      {"GET", "/v2", "", 404},
      {"POST", "/faults", "[]", 400},
      {"POST", Log, std::string(4 * 1024 * 1024 + 1, 'x'), 413}}},
};

} // namespace

BOOST_DATA_TEST_CASE(PlatformKeepsItsContract, data::make(Cases), Case) {
  runContract("rattancart-fake-platform", Case);
}

BOOST_AUTO_TEST_CASE(WaitingReadIsAnsweredByTheAppend) {
  ChildProcess Process({"rattancart-fake-platform", {}});
  boost::asio::io_context Loop;
  HttpClient Client(Loop);
  HttpLogClient Platform(Client, Process.address(), std::chrono::seconds(30));
  std::optional<LogPage> Page;
  Platform.read("settings", LogOffset(0), 10, std::chrono::seconds(60),
                [&](Result<LogPage> Received) { Page = *Received; });
  Loop.run_for(std::chrono::milliseconds(20));
  BOOST_TEST(!Page);
  Platform.append("settings", "a", [](const Result<LogOffset> &) {});
  while (!Page && Loop.run_one())
    ;
  BOOST_REQUIRE(Page->Records_.size() == 1U);
  BOOST_TEST(Page->Records_[0].Body_ == "a");
}

BOOST_AUTO_TEST_CASE(LeavingPlatformAnswersItsWaitingReads) {
  ChildProcess Process({"rattancart-fake-platform", {}});
  boost::asio::io_context Loop;
  HttpClient Client(Loop);
  std::optional<HttpResult> Received;
  HttpRequest Request;
  Request.Target_ = "/v1/log/settings?from=0&wait_ms=60000";
  HttpSendOptions Options;
  Options.ResponseTimeout_ = std::chrono::seconds(30);
  Client.send(Process.address(), Request, Options, [&](HttpResult Result) { Received = Result; });
  Loop.run_for(std::chrono::milliseconds(50));
  Process.terminate();
  while (!Received && Loop.run_one())
    ;
  BOOST_TEST(!Received->Error_);
  BOOST_TEST(Process.wait() == 0);
}
