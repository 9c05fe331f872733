#include "Core/Common/ErrorCode.h"
#include "Net/HttpClient.h"
#include "Tests/StandIns/ContractCase.h"
#include "Tests/Support/BlockingHttpClient.h"
#include "Tests/Support/ChildProcess.h"
#include "Tests/Support/Relay.h"

#include <boost/json/value.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

const std::string Lift = R"({"lift":"L1","day":"mon"})";
const Exchange LookUpOne{"GET", "/bookings/L1", "", 200,
                         R"({"lift":"L1","booked":true,"count":1})"};
const Exchange LookUpNone{"GET", "/bookings/L1", "", 200,
                          R"({"lift":"L1","booked":false,"count":0})"};

const ContractCase Cases[] = {
    {"each call received is executed once",
     {},
     {LookUpNone,
      {"POST", "/bookings", Lift, 201, R"("booking":"b1")"},
      LookUpOne,
      {"POST", "/bookings", Lift, 201, R"("booking":"b2")"},
      {"GET", "/bookings/L1", "", 200, R"("count":2)"},
      {"POST", "/reminders", "{}", 201, "reminder"},
      {"POST", "/orders", "{}", 201, "order"},
      {"GET", "/v1/history?from=6", "", 200, R"("sequence":6,"service":"service-1")",
       R"("sequence":5)"}}},
    {"the load report names the service",
     {"--id", "svc-1", "--service", "remind-app"},
     {{"GET", "/v1/load", "", 200, R"({"id":"svc-1","service":"remind-app","incarnation":)"},
      faults(R"({"leaving":true})"),
      {"GET", "/v1/load", "", 200, R"("leaving":true)"},
      {"GET", "/v1/history", "", 200, "", "load"}}},
    {"a call that fails before execution is not executed",
     {},
     {faults(R"({"fail_percent":100})"),
      {"POST", "/bookings", Lift, 500},
      faults(R"({"fail_percent":0})"),
      LookUpNone}},
    {"a call that fails after execution was executed",
     {},
     {faults(R"({"fail_after_percent":100})"),
      {"POST", "/bookings", Lift, 500},
      faults(R"({"fail_after_percent":0})"),
      LookUpOne}},
    {"a call whose answer is lost was executed",
     {},
     {faults(R"({"lose_answers":1})"), {"POST", "/bookings", Lift, ClosedUnanswered}, LookUpOne}},
    {"a call whose answer is cut was executed",
     {},
     {faults(R"({"cut_answers":1})"), {"POST", "/bookings", Lift, ClosedUnanswered}, LookUpOne}},
    {"a service that is down executes nothing",
     {},
     {faults(R"({"down":true})"),
      {"POST", "/bookings", Lift, ClosedUnanswered},
      faults(R"({"down":false})"),
      LookUpNone}},
    {"a hanging service executes late",
     {},
     {faults(R"({"hang":true})"),
      {"POST", "/bookings", Lift, NoAnswer},
      faults(R"({"hang":false})"),
      LookUpOne}},
    {"a slow service executes after its caller gave up",
     {"--delay-ms", "300"},
     {{"POST", "/bookings", Lift, NoAnswer}, LookUpOne}},
};

struct KeyCase {
  std::string Name_;
  std::vector<std::string> Arguments_;
  /// The fencing numbers of calls with one key; 0 sends none.
  std::vector<int> Fences_;
  std::vector<std::uint32_t> Statuses_;
  std::size_t Executions_;
};
std::ostream &operator<<(std::ostream &Out, const KeyCase &Case) { return Out << Case.Name_; }

const KeyCase KeyCases[] = {
    {"keys mean nothing by default", {}, {0, 0}, {201, 201}, 2},
    {"a deduplicating service executes a key once", {"--deduplicates"}, {0, 0}, {201, 201}, 1},
    {"old fencing numbers pass where they are not checked", {}, {5, 4}, {201, 201}, 2},
    {"a checking service refuses an older number",
     {"--checks-fencing"},
     {5, 4, 6},
     {201, 409, 201},
     2},
};

std::size_t lineCount(const std::string &Text) {
  return static_cast<std::size_t>(std::count(Text.begin(), Text.end(), '\n'));
}

} // namespace

BOOST_DATA_TEST_CASE(ServiceKeepsItsContract, data::make(Cases), Case) {
  runContract("rattancart-fake-service", Case);
}

BOOST_DATA_TEST_CASE(KeysAndFencingNumbersFollowTheOptions, data::make(KeyCases), Case) {
  ChildProcess Process({"rattancart-fake-service", Case.Arguments_});
  BlockingHttpClient Http;
  for (std::size_t Row = 0; Row < Case.Fences_.size(); ++Row) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/orders";
    Request.Body_ = "{}";
    Request.Headers_.add("idempotency-key", "k1");
    Request.Headers_.add("x-rattancart-call", "c" + std::to_string(Row));
    if (Case.Fences_[Row] > 0)
      Request.Headers_.add("x-rattancart-fence", std::to_string(Case.Fences_[Row]));
    BOOST_TEST(Http.send(Process.address(), Request).Response_.Status_ == Case.Statuses_[Row]);
  }
  const std::string History = Http.get(Process.address(), "/v1/history").Response_.Body_;
  BOOST_TEST(lineCount(History) == Case.Executions_);
  BOOST_TEST(History.find(R"("key":"k1","call":"c0")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RegistrationIsRetriedUntilThePlatformTakesIt) {
  ChildProcess Platform({"rattancart-fake-platform", {}});
  Relay PlatformRelay(Platform.address());
  PlatformRelay.refuse();
  ChildProcess Service({"rattancart-fake-service", {"--platform", PlatformRelay.address().str()}});
  BlockingHttpClient Http;
  BOOST_TEST(Http.get(Service.address(), "/healthz").Response_.Status_ == 200U);
  PlatformRelay.forward();
  Http.pollUntil(
      Platform.address(), "/v1/instances",
      [&](const HttpResult &Result) {
        return Result.Response_.Body_.find(Service.address().str()) != std::string::npos;
      },
      "the registration");
}

BOOST_AUTO_TEST_CASE(LeavingServiceFinishesItsCalls) {
  ChildProcess Service({"rattancart-fake-service", {"--delay-ms", "300"}});
  BlockingHttpClient Http;
  boost::asio::io_context Loop;
  HttpClient Client(Loop);
  std::optional<HttpResult> Received;
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/orders";
  HttpSendOptions Options;
  Options.ResponseTimeout_ = std::chrono::seconds(30);
  Client.send(Service.address(), Request, Options, [&](HttpResult Result) { Received = Result; });
  const auto CallArrived = [&] {
    return Http.getJson(Service.address(), "/healthz").at("waiting").to_number<int>() == 1;
  };
  while (!CallArrived())
    Loop.run_for(std::chrono::milliseconds(1));
  Service.terminate();
  while (!Received && Loop.run_one())
    ;
  BOOST_TEST(!Received->Error_);
  BOOST_TEST(Received->Response_.Status_ == 201U);
  BOOST_TEST(Service.wait() == 0);
}
