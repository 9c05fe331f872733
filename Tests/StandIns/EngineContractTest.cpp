#include "Tests/StandIns/ContractCase.h"

#include "Core/Common/ErrorCode.h"
#include "Net/HttpClient.h"
#include "Tests/Support/Cluster.h"

#include <boost/json/value.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <optional>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

/// The fields of a step request that differ between cases.
struct StepFields {
  std::string Request_ = "r1";
  int Attempt_ = 1;
  int Position_ = 0;
  int Count_ = 1;
  int LayerBegin_ = 0;
  int LayerEnd_ = 48;
  std::string Version_ = "1";
  std::string Model_ = "brief";
  std::string Input_ = R"({"tokens":["a"]})";
};

Exchange step(const StepFields &Fields, int Status = 200, std::string Contains = {}) {
  std::string Body = fmt::format(
      R"({{"request":"{}","attempt":{},"model":"{}","version":"{}","position":{},"count":{},)"
      R"("layer_begin":{},"layer_end":{},"layer_count":48,"priority":1,"prefix":"p-{}","input":{}}})",
      Fields.Request_, Fields.Attempt_, Fields.Model_, Fields.Version_, Fields.Position_,
      Fields.Count_, Fields.LayerBegin_, Fields.LayerEnd_, Fields.Request_, Fields.Input_);
  return {"POST", "/v1/step", std::move(Body), Status, std::move(Contains)};
}

Exchange cancel(std::string Request, int Attempt) {
  return {"POST", "/v1/cancel",
          fmt::format(R"({{"request":"{}","attempt":{}}})", Request, Attempt)};
}

const StepFields First;
const StepFields Second{"r1", 1, 1};
const StepFields FirstHalf{"r1", 1, 0, 1, 0, 24};

const ContractCase StepCases[] = {
    {"a step at the last layer gives the next token, a repeat its result",
     {},
     {step({"r1", 1, 0, 2, 0, 48, "1", "brief", R"({"tokens":["a","#2"]})"}, 200,
           R"("position":0,"count":2,"engine":"engine-1","token":"w909d4b","end":false)"),
      step({"r1", 1, 0, 2, 0, 48, "1", "brief", R"({"tokens":["a","#2"]})"}, 200, "w909d4b"),
      {"GET", "/v1/history", "", 200, R"("position":0,"count":2,"layer_begin":0,"layer_end":48)",
       R"("sequence":2)"},
      step({"r1", 1, 2, 1, 0, 48, "1", "brief", R"({"tokens":["w909d4b"]})"}, 200,
           R"("end":true)")}},
    {"an earlier stage names its output",
     {},
     {step(FirstHalf, 200, R"("output":{"ref":"t1","address":"127.0.0.1:)"),
      {"GET", "/v1/tensor/t1", "", 200, R"({"tokens":["a"],"layer":24})"},
      {"GET", "/v1/tensor/t2", "", 404}}},
    {"a later stage fetches its input, and can't tell a foreign one",
     {},
     {step(FirstHalf),
      step({"r2", 1, 0, 1, 24, 48, "1", "brief", R"({"ref":"t1","address":"$SELF"})"}, 200,
           R"("token":"w)")}},
    {"an input that can't be had or does not fit fails the step, which may be repeated",
     {},
     {step(FirstHalf),
      step({"r2", 1, 0, 1, 24, 48, "1", "brief", R"({"ref":"t9","address":"$SELF"})"}, 502),
      step({"r2", 1, 0, 2, 24, 48, "1", "brief", R"({"ref":"t1","address":"$SELF"})"}, 409,
           "tensor"),
      step({"r2", 1, 0, 1, 24, 48, "1", "brief", R"({"ref":"t1","address":"$SELF"})"}, 200)}},
    {"positions go up one after the other",
     {},
     {step(Second, 409, R"({"error":"position","expected":0})"), step(First),
      step({"r1", 1, 3}, 409, R"({"error":"position","expected":1})"), step(Second),
      step(First, 409, R"({"error":"position","expected":2})")}},
    {"other models, versions and layers are refused",
     {"--layers", "0-24"},
     {step({"r1", 1, 0, 1, 0, 24, "2"}, 409, R"({"error":"version"})"),
      step({"r1", 1, 0, 1, 0, 24, "1", "other"}, 409, R"({"error":"model"})"),
      step(First, 409, R"({"error":"layers"})")}},
    {"a newer attempt replaces an older one",
     {},
     {step(First), step({"r1", 2}), step(Second, 409, R"({"error":"attempt"})"),
      step({"r1", 2, 1})}},
    {"a cancelled attempt is refused, a newer one is not",
     {},
     {step(First), cancel("r1", 1), step(Second, 409, "attempt"), step(First, 409, "attempt"),
      step({"r1", 2}), cancel("unknown", 1)}},
    {"a leaving engine finishes its attempts and takes no new ones",
     {},
     {step(First),
      faults(R"({"leaving":true})"),
      step(Second),
      step({"r2"}, 409, R"({"error":"leaving"})"),
      {"GET", "/v1/load", "", 200, R"("leaving":true)"}}},
    {"a full engine refuses new attempts",
     {"--max-sequences", "1"},
     {step(First), step({"r2"}, 503), cancel("r1", 1), step({"r2"})}},
    {"a malformed step is refused",
     {},
     {{"POST", "/v1/step", "x", 400},
      {"POST", "/v1/step", "{}", 400},
      {"POST", "/v1/step", R"({"request":"r1","incarnation":7})", 409, "incarnation"},
      step({"r1", 1, 0, 1, 0, 48, "1", "brief", "{}"}, 409, "tensor"),
      {"GET", "/v2", "", 404}}},
};

const ContractCase OtherCases[] = {
    {"the load report shows the engine",
     {"--id", "eng-9", "--layers", "0-16", "--slots", "4", "--step-us", "700", "--prefill-us", "9",
      "--link-delay-us", "5", "--cache-tokens", "50"},
     {step({"r1", 1, 0, 1, 0, 16}),
      {"GET", "/v1/load", "", 200,
       R"("model":"brief","version":"1","layer_begin":0,"layer_end":16,"layer_count":48,"active":1,)"
       R"("queued":0,"batch_slots":4,"step_us":700,"prefill_us_per_token":9)"},
      {"GET", "/v1/load", "", 200, R"("cache_used":1,"cache_limit":50,"sequence":2)"}}},
    {"an engine that checks refuses orders with an older number",
     {"--checks-fencing"},
     {{"POST", "/v1/order", R"({"fence":5,"kind":"role"})"},
      {"POST", "/v1/order", R"({"fence":4,"kind":"leave"})", 409, R"({"fence":5})"},
      {"POST", "/v1/order", R"({"fence":5,"kind":"leave"})"},
      {"GET", "/v1/load", "", 200, R"("leaving":true)"}}},
    {"an engine that does not check takes them",
     {},
     {{"POST", "/v1/order", R"({"fence":5,"kind":"role"})"},
      {"POST", "/v1/order", R"({"fence":4,"kind":"leave"})"},
      {"GET", "/v1/load", "", 200, R"("leaving":true)"}}},
    {"a load order changes the weights and drops the sequences",
     {},
     {step(First),
      {"POST", "/v1/order",
       R"({"fence":1,"kind":"load","model":"brief","version":"2","layer_begin":0,"layer_end":16})"},
      {"GET", "/v1/load", "", 200, R"("version":"2","layer_begin":0,"layer_end":16)"},
      step({"r1", 1, 1, 1, 0, 16, "2"}, 409, R"("expected":0)"),
      {"POST", "/v1/order", R"({"fence":1,"kind":"load"})", 400},
      {"POST", "/v1/order", R"({"fence":1})", 400}}},
    {"a KV cache moves to a newer attempt",
     {},
     {step(First),
      {"GET", "/v1/kv/r1/1", "", 200, R"({"positions":1,"bytes":49152,"payload":)"},
      {"GET", "/v1/kv/r1/2", "", 404},
      {"PUT", "/v1/kv/r1/1", R"({"positions":0,"payload":"{\"version\":\"1\"}"})", 409, "attempt"},
      {"PUT", "/v1/kv/r1/2",
       R"({"positions":1,"payload":"{\"version\":\"1\",\"layer_end\":48,\"tokens\":[\"a\"]}"})"},
      step({"r1", 2, 1}),
      {"PUT", "/v1/kv/r1/3", R"({"positions":2,"payload":"{\"version\":\"1\"}"})", 400},
      {"PUT", "/v1/kv/r1/3", R"({"positions":0,"payload":"{\"version\":\"7\"}"})", 409,
       "version"}}},
    {"an engine that is down loses its sequences",
     {},
     {step(First), faults(R"({"down":true})"), step(Second, ClosedUnanswered),
      faults(R"({"down":false})"), step(Second, 409, R"("expected":0)")}},
    {"a hanging engine runs the step late",
     {},
     {faults(R"({"hang":true})"),
      step(First, NoAnswer),
      faults(R"({"hang":false})"),
      step(First),
      {"GET", "/v1/history", "", 200, R"("sequence":1)", R"("sequence":2)"}}},
    {"a dropped answer belongs to a step that ran, and the repeat gets it",
     {},
     {faults(R"({"drop_step_answers":1})"),
      step(First, NoAnswer),
      step(First),
      {"GET", "/v1/history", "", 200, R"("sequence":1)", R"("sequence":2)"}}},
    {"a failed step did not run",
     {},
     {faults(R"({"fail_steps":1})"),
      step(First, 500),
      {"GET", "/v1/history", "", 200, "", "sequence"},
      step(First)}},
    {"a duplicated answer comes in the place of the next one",
     {},
     {faults(R"({"duplicate_step_answers":true})"), step(First, 200, R"("position":0)"),
      step(Second, 200, R"("position":0)"), step(Second, 200, R"("position":1)")}},
    {"a cut engine is down after its steps",
     {},
     {faults(R"({"cut_after_steps":2})"), step(First), step(Second),
      step({"r1", 1, 2}, ClosedUnanswered)}},
    {"a slow engine takes longer for its steps",
     {},
     {faults(R"({"speed_factor":0.0001})"), step(First, NoAnswer)}},
    {"a delayed engine runs the step late",
     {"--faults", R"({"delay_ms":300})"},
     {step(First, NoAnswer),
      step(First),
      {"GET", "/v1/history", "", 200, R"("sequence":1)", R"("sequence":2)"}}},
    {"the load report lags",
     {},
     {faults(R"({"load_lag_ms":100000})"),
      {"GET", "/v1/load", "", 200, R"("leaving":false)"},
      faults(R"({"leaving":true})"),
      {"GET", "/v1/load", "", 200, R"("leaving":false)"},
      faults(R"({"load_lag_ms":0})"),
      {"GET", "/v1/load", "", 200, R"("leaving":true)"}}},
    {"cache events come late and with gaps",
     {"--cache-tokens", "1"},
     {step(First),
      step({"r2"}),
      {"GET", "/v1/cache-events?from=1", "", 200,
       R"({"first":1,"next":4,"events":[{"sequence":1,"kind":"stored","prefix":"p-r1"},)"},
      {"GET", "/v1/cache-events?from=2", "", 200,
       R"("events":[{"sequence":2,"kind":"evicted","prefix":"p-r1"})"},
      faults(R"({"event_gap_percent":100})"),
      {"GET", "/v1/cache-events?from=1", "", 200, R"({"first":1,"next":4,"events":[]})"},
      faults(R"({"event_lag_ms":100000})"),
      {"GET", "/v1/cache-events?from=1", "", 200, R"({"first":1,"next":1,"events":[]})"}}},
};

HttpRequest toRequest(const Exchange &Row) {
  HttpRequest Request;
  Request.Method_ = Row.Method_;
  Request.Target_ = Row.Target_;
  Request.Body_ = Row.Body_;
  return Request;
}

/// Sends steps without waiting in between, then waits for all answers.
std::vector<std::string> sendTogether(const NetAddress &Address,
                                      const std::vector<Exchange> &Steps) {
  boost::asio::io_context Loop;
  HttpClient Client(Loop);
  std::vector<std::string> Answers(Steps.size());
  std::size_t Received = 0;
  HttpSendOptions Options;
  Options.ResponseTimeout_ = std::chrono::seconds(30);
  for (std::size_t Index = 0; Index < Steps.size(); ++Index)
    Client.send(Address, toRequest(Steps[Index]), Options, [&, Index](HttpResult Result) {
      Answers[Index] = Result.Response_.Body_;
      ++Received;
    });
  while (Received < Steps.size() && Loop.run_one())
    ;
  return Answers;
}

} // namespace

BOOST_DATA_TEST_CASE(EngineRunsStepsByContract, data::make(StepCases), Case) {
  runContract("rattancart-fake-engine", Case);
}

BOOST_DATA_TEST_CASE(EngineKeepsItsContract, data::make(OtherCases), Case) {
  runContract("rattancart-fake-engine", Case);
}

BOOST_AUTO_TEST_CASE(CrossedAnswersAreSwapped) {
  ChildProcess Engine(
      {"rattancart-fake-engine", {"--step-us", "20000", "--faults", R"({"cross_answers":1})"}});
  const auto Answers = sendTogether(Engine.address(), {step({"r1"}), step({"r2"})});
  BOOST_TEST(Answers[0].find(R"("request":"r2")") != std::string::npos);
  BOOST_TEST(Answers[1].find(R"("request":"r1")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RepeatOfARunningStepRunsOnce) {
  ChildProcess Engine({"rattancart-fake-engine", {"--step-us", "20000"}});
  const auto Answers = sendTogether(Engine.address(), {step({"r1"}), step({"r1"})});
  BOOST_TEST(Answers[0] == Answers[1]);
  BOOST_TEST(Answers[0].find("token") != std::string::npos);
  BlockingHttpClient Http;
  const std::string History = Http.get(Engine.address(), "/v1/history").Response_.Body_;
  BOOST_TEST(History.find(R"("sequence":2)") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(LoadOrderFetchesWeightsUntilTheStoreGivesThem) {
  Cluster Group({"--weights-per-second", "2"});
  Group.start({engineSpec("eng-1", {0, 48}, 48)});
  const std::string Order =
      R"({"fence":1,"kind":"load","model":"brief","version":"2","layer_begin":0,"layer_end":16})";
  Group.http().get(Group.platformAddress(), "/v1/weights/brief/2/0-16");
  BOOST_TEST(Group.http().post(Group.address("eng-1"), "/v1/order", Order).Response_.Status_ ==
             200U);
  const auto Report = Group.http().getJson(Group.address("eng-1"), "/v1/load");
  BOOST_TEST(Report.at("version").as_string() == "2");
}

BOOST_AUTO_TEST_CASE(EngineThatWasDownIsAnotherIncarnation) {
  Cluster Group;
  Group.start({engineSpec("eng-1", {0, 48}, 48)});
  const auto Before = Group.http().getJson(Group.address("eng-1"), "/v1/load").at("incarnation");
  Group.setFaults("eng-1", R"({"down":true})");
  Group.setFaults("eng-1", R"({"down":false})");
  const auto After = Group.http().getJson(Group.address("eng-1"), "/v1/load").at("incarnation");
  BOOST_TEST(After.to_number<std::int64_t>() == Before.to_number<std::int64_t>() + 1);
  const std::string Listed = fmt::format(R"("incarnation":{}}})", After.to_number<std::int64_t>());
  Group.http().pollUntil(
      Group.platformAddress(), "/v1/instances",
      [&](const HttpResult &Result) {
        return Result.Response_.Body_.find(Listed) != std::string::npos;
      },
      "the new incarnation");
}

BOOST_AUTO_TEST_CASE(LeavingEngineFinishesItsSequences) {
  Cluster Group;
  Group.start({engineSpec("eng-1", {0, 48}, 48)});
  BlockingHttpClient &Http = Group.http();
  const NetAddress Engine = Group.address("eng-1");
  BOOST_TEST(Http.send(Engine, toRequest(step(First))).Response_.Status_ == 200U);
  Group.endpoint("eng-1").terminate();
  Http.pollUntil(
      Group.platformAddress(), "/v1/instances",
      [](const HttpResult &Result) {
        return Result.Response_.Body_.find(R"("state":"leaving")") != std::string::npos;
      },
      "the leaving entry");
  BOOST_TEST(Http.send(Engine, toRequest(step({"r2"}))).Response_.Status_ == 409U);
  BOOST_TEST(Http.send(Engine, toRequest(step(Second))).Response_.Status_ == 200U);
  Http.send(Engine, toRequest(cancel("r1", 1)));
  BOOST_TEST(Group.endpoint("eng-1").wait() == 0);
}
